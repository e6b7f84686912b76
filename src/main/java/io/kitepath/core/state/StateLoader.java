package io.kitepath.core.state;

import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.port.Store.ListResult;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Timers;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Reads the records of all jobs that are open or still have something of them left, once, for a new
 * holder.
 */
public final class StateLoader {
    private static final int PAGE_TRIES = 20;

    /** Records read at the same time, of jobs that are over. */
    private static final int READS_AT_ONCE = 8;

    /**
     * What was read.
     *
     * @param revision from before the first record was read: from there on changes have to be
     *     followed
     * @param endedJobs by id: jobs that are over and have parts left, so that something of them may
     *     be on machines
     * @param lentTasks what of open jobs is lent to other cells
     * @param borrowedTasks what other cells lent to this one
     * @param quotaShares of the teams' limits, what came to this cell and what went
     * @param voidedNumbers which of their numbers can't be taken any more
     * @param cancellationRequests open jobs whose users asked to cancel them
     * @param cloudIntents what was asked of the cloud, read at its own revision
     * @param layout how records are laid out, null if nobody has put it down yet
     */
    public record LoadedState(
            long revision,
            List<Entry> openJobs,
            List<Entry> parts,
            Map<String, Entry> endedJobs,
            List<Entry> lentTasks,
            List<Entry> borrowedTasks,
            List<Entry> cancellationRequests,
            List<Entry> voidedNumbers,
            List<Entry> quotaShares,
            ListResult cloudIntents,
            Entry layout) {}

    /** Takes what the records say about other cells. */
    public interface LoanRecords {
        /** All of it, after the open jobs and before their parts. */
        void adoptLoaded(LoadedState found);

        /**
         * A job's user asks to cancel it while some of it may be lent, or no more if there is no
         * value.
         */
        void cancellationRequestChanged(Entry entry);
    }

    private final Store store;
    private final Timers timers;

    /** Whether nobody waits for what is read any more. */
    private final BooleanSupplier stale;

    /** Whether there are other cells. */
    private final boolean cells;

    /**
     * Is told of the ids of all jobs of which something may run, before anything else of them is
     * read.
     */
    private final Consumer<Set<String>> running;

    private Consumer<LoadedState> answer;
    private List<Entry> lent = List.of();
    private List<Entry> guests = List.of();
    private List<Entry> leaving = List.of();
    private List<Entry> voids = List.of();
    private List<Entry> shares = List.of();
    private ListResult acts;
    private Entry layout;

    /** What is called once all is there, except for what else is still being read. */
    private Runnable jobsRead;

    private final Deque<String> closed = new ArrayDeque<>();
    private final Map<String, Entry> over = new HashMap<>();
    private int missing;

    StateLoader(
            Store store,
            Timers timers,
            boolean cells,
            BooleanSupplier stale,
            Consumer<Set<String>> running) {
        this.running = running;
        this.cells = cells;
        this.store = store;
        this.timers = timers;
        this.stale = stale;
    }

    /** Answers null if it can't be had now; not at all once it is stale. */
    void read(Consumer<LoadedState> then) {
        answer =
                found -> {
                    answer = loaded -> {}; // The first of the readings that fails speaks for all.
                    then.accept(found);
                };
        // Beside the jobs, so that a takeover does not take longer for it.
        pages(
                StoreKeys.CLOUD_INTENTS,
                listing -> {
                    acts = listing;
                    joined();
                });
        store.get(
                StoreKeys.LAYOUT,
                (outcome, entry) -> {
                    if (stale.getAsBoolean()) {
                        return;
                    }
                    if (outcome == Outcome.OK || outcome == Outcome.REJECTED) {
                        layout = entry;
                        readJobs();
                    } else {
                        answer.accept(null);
                    }
                });
    }

    private void readJobs() {
        pages(
                StoreKeys.OPEN_JOBS,
                open -> {
                    if (cells) {
                        readElsewhere(open);
                    } else {
                        running.accept(ids(open));
                        pages(StoreKeys.JOB_PARTS, parts -> readClosed(open, parts));
                    }
                });
    }

    private static Set<String> ids(ListResult open) {
        Set<String> ids = new HashSet<>();
        open.entries()
                .forEach(entry -> ids.add(entry.key().substring(StoreKeys.OPEN_JOBS.length())));
        return ids;
    }

    private void joined() {
        if (jobsRead != null && acts != null) {
            jobsRead.run();
        }
    }

    private void readElsewhere(ListResult open) {
        pages(
                StoreKeys.LENT_TASKS,
                l -> {
                    lent = l.entries();
                    pages(
                            StoreKeys.BORROWED_TASKS,
                            g -> {
                                guests = g.entries();
                                Set<String> all = ids(open);
                                guests.forEach(
                                        entry ->
                                                all.add(
                                                        DocumentReader.of(entry.value())
                                                                .textOr("job", "")));
                                running.accept(all);
                                pages(
                                        StoreKeys.CANCELLATION_REQUESTS,
                                        x -> {
                                            leaving = x.entries();
                                            pages(
                                                    StoreKeys.VOIDED_NUMBERS,
                                                    v -> {
                                                        voids = v.entries();
                                                        pages(
                                                                StoreKeys.QUOTA_SHARES,
                                                                s -> {
                                                                    shares = s.entries();
                                                                    pages(
                                                                            StoreKeys.JOB_PARTS,
                                                                            parts ->
                                                                                    readClosed(
                                                                                            open,
                                                                                            parts));
                                                                });
                                                    });
                                        });
                            });
                });
    }

    private void pages(String prefix, Consumer<ListResult> then) {
        PagedScan.read(
                store,
                timers,
                prefix,
                PAGE_TRIES,
                listing -> {
                    if (stale.getAsBoolean()) {
                        return;
                    }
                    if (listing.outcome() == Outcome.OK) {
                        then.accept(listing);
                    } else {
                        answer.accept(null);
                    }
                });
    }

    private void readClosed(ListResult open, ListResult parts) {
        Set<String> ids = new LinkedHashSet<>();
        parts.entries().forEach(x -> ids.add(StoreKeys.jobOfPart(x.key())));
        ids.removeAll(ids(open));
        // Of what other cells lent to us, nothing is over here that is not over in the loan's own
        // record.
        guests.forEach(g -> ids.remove(DocumentReader.of(g.value()).textOr("job", "")));
        closed.addAll(ids);
        missing = closed.size();
        Runnable done =
                () -> {
                    jobsRead =
                            () ->
                                    answer.accept(
                                            new LoadedState(
                                                    open.revision(),
                                                    open.entries(),
                                                    parts.entries(),
                                                    over,
                                                    lent,
                                                    guests,
                                                    leaving,
                                                    voids,
                                                    shares,
                                                    acts,
                                                    layout));
                    joined();
                };
        if (missing == 0) {
            done.run();
            return;
        }
        for (int i = 0; i < READS_AT_ONCE; i++) {
            readOver(closed.poll(), 1, done);
        }
    }

    private void readOver(String id, int attempt, Runnable done) {
        if (id == null || stale.getAsBoolean()) {
            return;
        }
        store.get(
                StoreKeys.ENDED_JOBS + id,
                (outcome, entry) -> {
                    if (stale.getAsBoolean()) {
                        return;
                    }
                    if (outcome != Outcome.OK && outcome != Outcome.REJECTED) {
                        timers.schedule(
                                Math.min(1, 0.1 * attempt), () -> readOver(id, attempt + 1, done));
                        return;
                    }
                    if (outcome == Outcome.OK) {
                        over.put(id, entry);
                    }
                    if (--missing == 0) {
                        done.run();
                    } else {
                        readOver(closed.poll(), 1, done);
                    }
                });
    }
}
