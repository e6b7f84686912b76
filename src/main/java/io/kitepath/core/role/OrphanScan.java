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
 * A step-by-step scan of the store for orphaned and inconsistent records. Whether jobs are open or
 * ended is determined by read-only comparisons of many jobs at once. A scan thus takes one request
 * per page of records and one or two per hundred jobs, however many jobs have ended.
 */
public final class OrphanScan {
    /** Number of records in a page. */
    private static final int PAGE_SIZE = 200;

    /**
     * An orphaned or inconsistent record.
     *
     * @param isRemovable whether it may be removed; if not, an operator has to examine it
     * @param reason why it is orphaned or inconsistent, for people
     * @param conditions for its removal, including its own revision
     */
    public record Finding(
            boolean isRemovable, String key, String reason, List<Condition> conditions) {}

    private final Store store;
    private final int maxConditions;
    private final Consumer<Finding> findingListener;
    private final Deque<String> remainingPrefixes =
            new ArrayDeque<>(
                    List.of(StoreKeys.JOB_PARTS, StoreKeys.OPEN_JOBS, StoreKeys.CLOUD_INTENTS));

    /** The key prefix of the next page; null when there are no more pages. */
    private String prefix = remainingPrefixes.poll();

    /** The key after which the next page begins; empty for the first page of a prefix. */
    private String lastKey = "";

    /** Comparisons to make before the next page is read. */
    private final Deque<Runnable> pendingComparisons = new ArrayDeque<>();

    private Runnable onStepDone = () -> {};
    private long recordsSeen;
    private boolean hasLastStepFailed;

    /**
     * Creates a scan; {@link #step} advances it.
     *
     * @param maxConditions maximum number of conditions in one transaction
     * @param findingListener receives each finding
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

    /** Returns how many records have been read so far. */
    public long recordsSeen() {
        return recordsSeen;
    }

    /**
     * Executes the next step, which is one request, or more if the store accepts only smaller ones.
     * The next call retries a step that failed.
     *
     * @param onDone runs when the step has completed or failed
     */
    public void step(Runnable onDone) {
        onStepDone = onDone;
        hasLastStepFailed = false;
        Runnable next = pendingComparisons.poll();
        if (next != null) {
            next.run();
        } else if (prefix != null) {
            readPage();
        } else {
            onStepDone.run();
        }
    }

    /** Whether the last step failed, so that the caller should wait before the next one. */
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
                            prefix = remainingPrefixes.poll();
                            lastKey = "";
                        }
                    }
                    hasLastStepFailed = listing.outcome() != Outcome.OK;
                    onStepDone.run();
                });
    }

    private void checkPage(ListResult listing) {
        recordsSeen += listing.entries().size();
        switch (prefix) {
            case StoreKeys.JOB_PARTS -> checkJobParts(listing.entries());
            case StoreKeys.OPEN_JOBS -> checkOpenJobs(listing.entries());
            default -> listing.entries().forEach(this::checkCloudIntent);
        }
    }

    // ---- parts without a job --------------------------------------------------------------------

    private void checkJobParts(List<Entry> entries) {
        Map<String, List<Entry>> partsByJob = new LinkedHashMap<>();
        for (Entry entry : entries) {
            Optional<String> id = StoreKeys.findJobIdOfPart(entry.key());
            if (id.isEmpty()) {
                findingListener.accept(
                        new Finding(false, entry.key(), "is not the key of a job part", List.of()));
            } else {
                partsByJob.computeIfAbsent(id.get(), key -> new ArrayList<>()).add(entry);
            }
        }
        // A job moves from open to ended in one write, so both keys are compared in one
        // transaction.
        Map<String, Long> absentRevisions = new LinkedHashMap<>();
        partsByJob.keySet().forEach(id -> absentRevisions.put(id, 0L));
        compare(
                absentRevisions,
                (id, isOpen, isEnded) -> {
                    if (!isOpen && !isEnded) {
                        partsByJob.get(id).forEach(entry -> reportOrphanedPart(id, entry));
                    }
                });
    }

    private void reportOrphanedPart(String id, Entry entry) {
        boolean isRemovable = hasNoLiveTasks(entry);
        String description = isRemovable ? "a part of job " : "tasks on machines of job ";
        findingListener.accept(
                new Finding(
                        isRemovable,
                        entry.key(),
                        description + id + ", which is neither open nor ended",
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

    // ---- jobs both open and ended ---------------------------------------------------------------

    private void checkOpenJobs(List<Entry> entries) {
        Map<String, Long> revisions = new LinkedHashMap<>();
        for (Entry entry : entries) {
            String id = entry.key().substring(StoreKeys.OPEN_JOBS.length());
            revisions.put(id, entry.revision());
        }
        // Guards against reporting a job as both open and ended because it ended between two reads.
        compare(
                revisions,
                (id, hasChanged, isEnded) -> {
                    if (isEnded && !hasChanged) {
                        findingListener.accept(
                                new Finding(
                                        false,
                                        StoreKeys.OPEN_JOBS + id,
                                        "the job is both open and ended",
                                        List.of()));
                    }
                });
    }

    // ---- cloud intents --------------------------------------------------------------------------

    /**
     * Reports unreadable intents; the leader handles all readable ones, also of earlier leaders.
     */
    private void checkCloudIntent(Entry entry) {
        try {
            CloudIntent.read(entry);
        } catch (InvalidInputException | ClassCastException unreadable) {
            findingListener.accept(
                    new Finding(
                            false,
                            entry.key(),
                            "is unreadable: " + unreadable.getMessage(),
                            List.of()));
        }
    }

    // ---- comparisons ----------------------------------------------------------------------------

    /** Receives the state of each job as of a single comparison. */
    private interface JobComparisonListener {
        /**
         * Called once for each job.
         *
         * @param isOpenChanged whether the revision of the open job's record differs from the one
         *     that it was compared with; 0 stands for no record
         * @param isEnded whether a record of the ended job exists
         */
        void accept(String id, boolean isOpenChanged, boolean isEnded);
    }

    /**
     * Schedules comparisons of the open and ended records of each job for later steps.
     *
     * @param openRevisions revisions with which the records of the open jobs are compared, by job
     *     id
     */
    private void compare(Map<String, Long> openRevisions, JobComparisonListener listener) {
        List<String> jobIds = new ArrayList<>(openRevisions.keySet());
        int maxIds = Math.max(1, maxConditions / 2);
        for (int start = 0; start < jobIds.size(); start += maxIds) {
            List<String> compared = jobIds.subList(start, Math.min(jobIds.size(), start + maxIds));
            pendingComparisons.add(
                    () -> compare(openRevisions, compared, listener, () -> onStepDone.run()));
        }
    }

    /**
     * Compares the records of these jobs and then runs {@code onCompared}. Schedules the comparison
     * again if the store does not respond.
     */
    private void compare(
            Map<String, Long> openRevisions,
            List<String> jobIds,
            JobComparisonListener listener,
            Runnable onCompared) {
        Transaction transaction = new Transaction();
        for (String id : jobIds) {
            transaction
                    .requireRevision(StoreKeys.OPEN_JOBS + id, openRevisions.get(id))
                    .requireRevision(StoreKeys.ENDED_JOBS + id, 0);
        }
        store.commit(
                transaction,
                result -> {
                    if (isDefinite(result)) {
                        notifyListener(jobIds, new HashSet<>(result.failedKeys()), listener);
                        onCompared.run();
                    } else if (result.outcome() == Outcome.INVALID && jobIds.size() > 1) {
                        // The store now accepts fewer conditions than configured.
                        int half = jobIds.size() / 2;
                        List<String> rest = jobIds.subList(half, jobIds.size());
                        compare(
                                openRevisions,
                                jobIds.subList(0, half),
                                listener,
                                () -> compare(openRevisions, rest, listener, onCompared));
                    } else {
                        pendingComparisons.addFirst(
                                () -> compare(openRevisions, jobIds, listener, onCompared));
                        hasLastStepFailed = true;
                        onStepDone.run();
                    }
                });
    }

    private static boolean isDefinite(CommitResult result) {
        return result.outcome() == Outcome.OK
                || result.outcome() == Outcome.REJECTED && !result.failedKeys().isEmpty();
    }

    private static void notifyListener(
            List<String> jobIds, Set<String> differingKeys, JobComparisonListener listener) {
        for (String id : jobIds) {
            listener.accept(
                    id,
                    differingKeys.contains(StoreKeys.OPEN_JOBS + id),
                    differingKeys.contains(StoreKeys.ENDED_JOBS + id));
        }
    }
}
