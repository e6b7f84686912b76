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
    private static final int PAGE_SIZE = 200;

    /**
     * What was found.
     *
     * @param isRemovable whether it can be removed; if not, it should not be, and a person has to
     *     look
     * @param reason in words
     * @param conditions under which it is rubbish, its own revision among them
     */
    public record Finding(
            boolean isRemovable, String key, String reason, List<Condition> conditions) {}

    private final Store store;
    private final int maxConditions;
    private final Consumer<Finding> findingListener;
    private final Deque<String> prefixes =
            new ArrayDeque<>(
                    List.of(StoreKeys.JOB_PARTS, StoreKeys.OPEN_JOBS, StoreKeys.CLOUD_INTENTS));
    private String prefix = prefixes.poll();
    private String from = "";

    /** What has to be compared before the next page is read. */
    private final Deque<Runnable> pendingComparisons = new ArrayDeque<>();

    private Runnable whenStepDone = () -> {};
    private long recordsSeen;
    private boolean hasLastStepFailed;

    /**
     * A look that begins at the start.
     *
     * @param conditions how many one transaction may have
     * @param found is told of each finding
     */
    public OrphanScan(Store store, int conditions, Consumer<Finding> found) {
        this.store = store;
        this.maxConditions = conditions;
        this.findingListener = found;
    }

    /** Whether all has been looked at. */
    public boolean isComplete() {
        return prefix == null && pendingComparisons.isEmpty();
    }

    /** Records looked at so far. */
    public long recordsSeen() {
        return recordsSeen;
    }

    /**
     * Takes the next step, one request; {@code then} runs when it has been answered. Refused steps
     * are tried again.
     */
    public void step(Runnable afterwards) {
        whenStepDone = afterwards;
        hasLastStepFailed = false;
        Runnable next = pendingComparisons.poll();
        if (next != null) {
            next.run();
        } else if (prefix != null) {
            readPage();
        } else {
            whenStepDone.run();
        }
    }

    /** Whether the last step got no answer, so that the next one should wait. */
    public boolean hasLastStepFailed() {
        return hasLastStepFailed;
    }

    private void readPage() {
        store.list(
                prefix,
                from,
                PAGE_SIZE,
                listing -> {
                    if (listing.outcome() == Outcome.OK) {
                        checkPage(listing);
                        if (listing.hasMore() && !listing.entries().isEmpty()) {
                            from = listing.entries().get(listing.entries().size() - 1).key();
                        } else {
                            prefix = prefixes.poll();
                            from = "";
                        }
                    }
                    hasLastStepFailed = listing.outcome() != Outcome.OK;
                    whenStepDone.run();
                });
    }

    private void checkPage(ListResult listing) {
        recordsSeen += listing.entries().size();
        switch (prefix) {
            case StoreKeys.JOB_PARTS -> checkParts(listing.entries());
            case StoreKeys.OPEN_JOBS -> checkOpenJobs(listing.entries());
            default -> listing.entries().forEach(this::checkIntent);
        }
    }

    // ---- parts without a job --------------------------------------------------------------------

    private void checkParts(List<Entry> entries) {
        Map<String, List<Entry>> byJob = new LinkedHashMap<>();
        for (Entry entry : entries) {
            String id = StoreKeys.findJobOfPart(entry.key());
            if (id == null) {
                findingListener.accept(
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
                        byJob.get(id).forEach(entry -> reportOrphan(id, entry));
                    }
                });
    }

    private void reportOrphan(String id, Entry entry) {
        boolean idle;
        try {
            idle =
                    DocumentReader.of(entry.value()).raw("live") instanceof Map<?, ?> live
                            && live.isEmpty();
        } catch (InvalidInputException invalid) {
            idle = false;
        }
        findingListener.accept(
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

    private void checkOpenJobs(List<Entry> entries) {
        Map<String, Long> read = new LinkedHashMap<>();
        entries.forEach(
                entry ->
                        read.put(
                                entry.key().substring(StoreKeys.OPEN_JOBS.length()),
                                entry.revision()));
        // Guards against a job that is called open and over since it ended between two reads.
        compare(
                read,
                (id, changed, over) -> {
                    if (over && !changed) {
                        findingListener.accept(
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
    private void checkIntent(Entry entry) {
        try {
            CloudIntent.read(entry);
        } catch (InvalidInputException | ClassCastException bad) {
            findingListener.accept(
                    new Finding(
                            false, entry.key(), "is unreadable: " + bad.getMessage(), List.of()));
        }
    }

    // ---- comparing ------------------------------------------------------------------------------

    /** What one comparison, so one moment, says of a job. */
    private interface JobPlacesListener {
        /**
         * Told of each job once.
         *
         * @param open whether its open record has another revision than the one compared with, 0
         *     for none
         * @param over whether it has a record as over
         */
        void accept(String id, boolean open, boolean over);
    }

    /**
     * Compares both places of each of these jobs, {@code opens}: with which revisions of their open
     * records.
     */
    private void compare(Map<String, Long> opens, JobPlacesListener places) {
        List<String> ids = new ArrayList<>(opens.keySet());
        int most = Math.max(1, maxConditions / 2);
        for (int i = 0; i < ids.size(); i += most) {
            List<String> some = ids.subList(i, Math.min(ids.size(), i + most));
            pendingComparisons.add(() -> compare(opens, some, places, () -> whenStepDone.run()));
        }
    }

    /** Not told, and the step put back, if it can't be had now. */
    private void compare(
            Map<String, Long> opens, List<String> ids, JobPlacesListener places, Runnable told) {
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
                            || result.outcome() == Outcome.REJECTED
                                    && !result.failedKeys().isEmpty()) {
                        Set<String> other = new HashSet<>(result.failedKeys());
                        ids.forEach(
                                id ->
                                        places.accept(
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
                        pendingComparisons.addFirst(() -> compare(opens, ids, places, told));
                        hasLastStepFailed = true;
                        whenStepDone.run();
                    }
                });
    }
}
