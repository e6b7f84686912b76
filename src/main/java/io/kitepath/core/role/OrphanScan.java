package io.kitepath.core.role;

import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.CommitResult;
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
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * One scan of the store's records, a step at a time, for records that nothing refers to any more
 * and for records that contradict each other. Whether jobs are open or ended is found out by
 * comparisons that write nothing, for many jobs at once, so that a scan costs one request for each
 * page of records and one or two for each hundred jobs, however many jobs have ended.
 */
public final class OrphanScan {
    /** Records in one page. */
    private static final int PAGE_SIZE = 200;

    /**
     * A record that should not be there.
     *
     * @param isRemovable whether it may be removed; if not, a person has to look at it
     * @param reason in words
     * @param conditions under which it may be removed, its own revision among them
     */
    public record Finding(
            boolean isRemovable, String key, String reason, List<Condition> conditions) {}

    private final Store store;
    private final int maxConditions;
    private final Consumer<Finding> findingListener;
    private final Deque<String> prefixes =
            new ArrayDeque<>(
                    List.of(StoreKeys.JOB_PARTS, StoreKeys.OPEN_JOBS, StoreKeys.CLOUD_INTENTS));

    /** Of the next page; null when there is none. */
    private String prefix = prefixes.poll();

    /** The key after which the next page begins; empty for the first page of a prefix. */
    private String lastKey = "";

    /** Comparisons that have to be made before the next page is read. */
    private final Deque<Runnable> pendingComparisons = new ArrayDeque<>();

    private Runnable whenStepDone = () -> {};
    private long recordsSeen;
    private boolean hasLastStepFailed;

    /**
     * Starts a scan.
     *
     * @param maxConditions that one transaction may have
     * @param findingListener told of each finding
     */
    public OrphanScan(Store store, int maxConditions, Consumer<Finding> findingListener) {
        this.store = store;
        this.maxConditions = maxConditions;
        this.findingListener = findingListener;
    }

    /** Whether all records have been checked. */
    public boolean isComplete() {
        return prefix == null && pendingComparisons.isEmpty();
    }

    /** Records read so far. */
    public long recordsSeen() {
        return recordsSeen;
    }

    /**
     * Takes the next step, which is one request, or more if the store takes smaller ones only. A
     * step that failed is taken again by the next call.
     *
     * @param whenDone runs when the step has been answered
     */
    public void step(Runnable whenDone) {
        whenStepDone = whenDone;
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
                lastKey,
                PAGE_SIZE,
                listing -> {
                    if (listing.outcome() == Outcome.OK) {
                        checkPage(listing);
                        if (listing.hasMore() && !listing.entries().isEmpty()) {
                            lastKey = listing.entries().get(listing.entries().size() - 1).key();
                        } else {
                            prefix = prefixes.poll();
                            lastKey = "";
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
            Optional<String> id = StoreKeys.findJobIdOfPart(entry.key());
            if (id.isEmpty()) {
                findingListener.accept(
                        new Finding(false, entry.key(), "is not the key of a part", List.of()));
            } else {
                byJob.computeIfAbsent(id.get(), key -> new ArrayList<>()).add(entry);
            }
        }
        // A job moves from open to ended in one write, and both places are compared at once.
        Map<String, Long> anywhere = new LinkedHashMap<>();
        byJob.keySet().forEach(id -> anywhere.put(id, 0L));
        compare(
                anywhere,
                (id, isOpen, isEnded) -> {
                    if (!isOpen && !isEnded) {
                        byJob.get(id).forEach(entry -> reportOrphan(id, entry));
                    }
                });
    }

    private void reportOrphan(String id, Entry entry) {
        boolean isIdle = hasNoLiveTasks(entry);
        String what = isIdle ? "a part of job " : "tasks on machines of job ";
        findingListener.accept(
                new Finding(
                        isIdle,
                        entry.key(),
                        what + id + ", which is neither open nor over",
                        List.of(
                                new Condition(entry.key(), entry.revision()),
                                new Condition(StoreKeys.OPEN_JOBS + id, 0),
                                new Condition(StoreKeys.ENDED_JOBS + id, 0))));
    }

    private static boolean hasNoLiveTasks(Entry part) {
        try {
            return DocumentReader.of(part.value()).raw("live") instanceof Map<?, ?> live
                    && live.isEmpty();
        } catch (InvalidInputException invalid) {
            return false;
        }
    }

    // ---- jobs in two places ---------------------------------------------------------------------

    private void checkOpenJobs(List<Entry> entries) {
        Map<String, Long> revisions = new LinkedHashMap<>();
        for (Entry entry : entries) {
            String id = entry.key().substring(StoreKeys.OPEN_JOBS.length());
            revisions.put(id, entry.revision());
        }
        // Guards against a job that is reported as open and ended since it ended between two reads.
        compare(
                revisions,
                (id, hasChanged, isEnded) -> {
                    if (isEnded && !hasChanged) {
                        findingListener.accept(
                                new Finding(
                                        false,
                                        StoreKeys.OPEN_JOBS + id,
                                        "the job is open and over",
                                        List.of()));
                    }
                });
    }

    // ---- cloud intents --------------------------------------------------------------------------

    /** Readable intents are the leader's business, also those of earlier leaders. */
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

    /** What one comparison, and so one moment, says of a job. */
    private interface JobPlacesListener {
        /**
         * Told of each job once.
         *
         * @param isOpenChanged whether the record of the open job has another revision than the one
         *     that it was compared with, 0 for none
         * @param isEnded whether there is a record of the ended job
         */
        void accept(String id, boolean isOpenChanged, boolean isEnded);
    }

    /**
     * Compares both places of each job, in later steps.
     *
     * @param openRevisions with which the records of the open jobs are compared, by job
     */
    private void compare(Map<String, Long> openRevisions, JobPlacesListener listener) {
        List<String> ids = new ArrayList<>(openRevisions.keySet());
        int maxIds = Math.max(1, maxConditions / 2);
        for (int start = 0; start < ids.size(); start += maxIds) {
            List<String> compared = ids.subList(start, Math.min(ids.size(), start + maxIds));
            pendingComparisons.add(
                    () -> compare(openRevisions, compared, listener, () -> whenStepDone.run()));
        }
    }

    /** Runs {@code whenTold} afterwards; if the store does not answer, the step is put back. */
    private void compare(
            Map<String, Long> openRevisions,
            List<String> ids,
            JobPlacesListener listener,
            Runnable whenTold) {
        Transaction transaction = new Transaction();
        for (String id : ids) {
            transaction
                    .requireRevision(StoreKeys.OPEN_JOBS + id, openRevisions.get(id))
                    .requireRevision(StoreKeys.ENDED_JOBS + id, 0);
        }
        store.commit(
                transaction,
                result -> {
                    if (isDefinite(result)) {
                        tell(ids, new HashSet<>(result.failedKeys()), listener);
                        whenTold.run();
                    } else if (result.outcome() == Outcome.INVALID && ids.size() > 1) {
                        // The store takes fewer conditions by now than the settings say.
                        int half = ids.size() / 2;
                        List<String> rest = ids.subList(half, ids.size());
                        compare(
                                openRevisions,
                                ids.subList(0, half),
                                listener,
                                () -> compare(openRevisions, rest, listener, whenTold));
                    } else {
                        pendingComparisons.addFirst(
                                () -> compare(openRevisions, ids, listener, whenTold));
                        hasLastStepFailed = true;
                        whenStepDone.run();
                    }
                });
    }

    private static boolean isDefinite(CommitResult result) {
        return result.outcome() == Outcome.OK
                || result.outcome() == Outcome.REJECTED && !result.failedKeys().isEmpty();
    }

    private static void tell(
            List<String> ids, Set<String> differingKeys, JobPlacesListener listener) {
        for (String id : ids) {
            listener.accept(
                    id,
                    differingKeys.contains(StoreKeys.OPEN_JOBS + id),
                    differingKeys.contains(StoreKeys.ENDED_JOBS + id));
        }
    }
}
