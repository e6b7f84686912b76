package io.kitepath.core.role;

import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Condition;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.port.Store.ListResult;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.state.StoreKeys;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * One look through the records, a step at a time: what nothing refers to any more, and what should
 * not be. Whether jobs are open or over is asked by comparisons that write nothing, for many at
 * once, so that a look costs one request for each page of records and one or two for each hundred
 * jobs, however much history there is.
 */
public final class OrphanScan {
    /** Records in one page. */
    private static final int PAGE = 200;

    /**
     * What was found.
     *
     * @param rubbish whether it can be removed; if not, it should not be, and a person has to look
     * @param why in words
     * @param conditions under which it is rubbish, its own revision among them
     */
    public record Finding(boolean rubbish, String key, String why, List<Condition> conditions) {}

    private final Store store;
    private final int conditions;
    private final Consumer<Finding> found;
    private final Deque<String> prefixes =
            new ArrayDeque<>(List.of(StoreKeys.JOB_PARTS, StoreKeys.OPEN_JOBS, StoreKeys.CLOUD_INTENTS));
    private String prefix = prefixes.poll();
    private String from = "";

    /** What has to be compared before the next page is read. */
    private final Deque<Runnable> steps = new ArrayDeque<>();

    private Runnable then = () -> {};
    private long seen;
    private boolean failed;

    /**
     * A look that begins at the start.
     *
     * @param conditions how many one transaction may have
     * @param found is told of each finding
     */
    public OrphanScan(Store store, int conditions, Consumer<Finding> found) {
        this.store = store;
        this.conditions = conditions;
        this.found = found;
    }

    /** Whether all has been looked at. */
    public boolean done() {
        return prefix == null && steps.isEmpty();
    }

    /** Records looked at so far. */
    public long seen() {
        return seen;
    }

    /**
     * Takes the next step, one request; {@code then} runs when it has been answered. Refused steps
     * are tried again.
     */
    public void step(Runnable afterwards) {
        then = afterwards;
        failed = false;
        Runnable next = steps.poll();
        if (next != null) {
            next.run();
        } else if (prefix != null) {
            page();
        } else {
            then.run();
        }
    }

    /** Whether the last step got no answer, so that the next one should wait. */
    public boolean failed() {
        return failed;
    }

    private void page() {
        store.list(
                prefix,
                from,
                PAGE,
                listing -> {
                    if (listing.outcome() == Outcome.OK) {
                        read(listing);
                        if (listing.hasMore() && !listing.entries().isEmpty()) {
                            from = listing.entries().get(listing.entries().size() - 1).key();
                        } else {
                            prefix = prefixes.poll();
                            from = "";
                        }
                    }
                    failed = listing.outcome() != Outcome.OK;
                    then.run();
                });
    }

    private void read(ListResult listing) {
        seen += listing.entries().size();
        switch (prefix) {
            case StoreKeys.JOB_PARTS -> parts(listing.entries());
            case StoreKeys.OPEN_JOBS -> open(listing.entries());
            default -> listing.entries().forEach(this::act);
        }
    }

    // ---- parts without a job --------------------------------------------------------------------

    private void parts(List<Entry> entries) {
        Map<String, List<Entry>> byJob = new LinkedHashMap<>();
        for (Entry entry : entries) {
            String id = StoreKeys.findJobOfPart(entry.key());
            if (id == null) {
                found.accept(
                        new Finding(false, entry.key(), "is not the key of a part", List.of()));
            } else {
                byJob.computeIfAbsent(id, key -> new ArrayList<>()).add(entry);
            }
        }
        // A job moves from open to over in one write, and its two places are looked at in one
        // comparison.
        Map<String, Long> anywhere = new LinkedHashMap<>();
        byJob.keySet().forEach(id -> anywhere.put(id, 0L));
        compare(
                anywhere,
                (id, open, over) -> {
                    if (!open && !over) {
                        byJob.get(id).forEach(entry -> orphan(id, entry));
                    }
                });
    }

    private void orphan(String id, Entry entry) {
        boolean idle;
        try {
            idle =
                    DocumentReader.of(entry.value()).raw("live") instanceof Map<?, ?> live
                            && live.isEmpty();
        } catch (InvalidInputException invalid) {
            idle = false;
        }
        found.accept(
                new Finding(
                        idle,
                        entry.key(),
                        idle
                                ? "a part of job " + id + ", which is neither open nor over"
                                : "tasks on machines of job "
                                        + id
                                        + ", which is neither open nor over",
                        List.of(
                                new Condition(entry.key(), entry.revision()),
                                new Condition(StoreKeys.OPEN_JOBS + id, 0),
                                new Condition(StoreKeys.ENDED_JOBS + id, 0))));
    }

    // ---- jobs in two places ---------------------------------------------------------------------

    private void open(List<Entry> entries) {
        Map<String, Long> read = new LinkedHashMap<>();
        entries.forEach(
                entry ->
                        read.put(entry.key().substring(StoreKeys.OPEN_JOBS.length()), entry.revision()));
        // Guards against a job that is called open and over since it ended between two reads.
        compare(
                read,
                (id, changed, over) -> {
                    if (over && !changed) {
                        found.accept(
                                new Finding(
                                        false,
                                        StoreKeys.OPEN_JOBS + id,
                                        "the job is open and over",
                                        List.of()));
                    }
                });
    }

    // ---- acts -----------------------------------------------------------------------------------

    /**
     * Those that can be read are the holder's: it takes in whatever has come of them, also of
     * earlier ones' acts.
     */
    private void act(Entry entry) {
        try {
            CloudIntent.read(entry);
        } catch (InvalidInputException | ClassCastException bad) {
            found.accept(
                    new Finding(
                            false, entry.key(), "is unreadable: " + bad.getMessage(), List.of()));
        }
    }

    // ---- comparing ------------------------------------------------------------------------------

    /** What one comparison, so one moment, says of a job. */
    private interface Places {
        /**
         * Told of each job once.
         *
         * @param open whether its open record has another revision than the one compared with, 0
         *     for none
         * @param over whether it has a record as over
         */
        void are(String id, boolean open, boolean over);
    }

    /**
     * Compares both places of each of these jobs, {@code opens}: with which revisions of their open
     * records.
     */
    private void compare(Map<String, Long> opens, Places places) {
        List<String> ids = new ArrayList<>(opens.keySet());
        int most = Math.max(1, conditions / 2);
        for (int i = 0; i < ids.size(); i += most) {
            List<String> some = ids.subList(i, Math.min(ids.size(), i + most));
            steps.add(() -> compare(opens, some, places, () -> then.run()));
        }
    }

    /** Not told, and the step put back, if it can't be had now. */
    private void compare(Map<String, Long> opens, List<String> ids, Places places, Runnable told) {
        Transaction transaction = new Transaction();
        ids.forEach(
                id ->
                        transaction
                                .requireRevision(StoreKeys.OPEN_JOBS + id, opens.get(id))
                                .requireRevision(StoreKeys.ENDED_JOBS + id, 0));
        store.commit(
                transaction,
                result -> {
                    if (result.outcome() == Outcome.OK
                            || result.outcome() == Outcome.REJECTED && !result.failedKeys().isEmpty()) {
                        Set<String> other = new HashSet<>(result.failedKeys());
                        ids.forEach(
                                id ->
                                        places.are(
                                                id,
                                                other.contains(StoreKeys.OPEN_JOBS + id),
                                                other.contains(StoreKeys.ENDED_JOBS + id)));
                        told.run();
                    } else if (result.outcome() == Outcome.INVALID && ids.size() > 1) {
                        // The store takes fewer conditions by now than anybody said.
                        int half = ids.size() / 2;
                        compare(
                                opens,
                                ids.subList(0, half),
                                places,
                                () -> compare(opens, ids.subList(half, ids.size()), places, told));
                    } else {
                        steps.addFirst(() -> compare(opens, ids, places, told));
                        failed = true;
                        then.run();
                    }
                });
    }
}
