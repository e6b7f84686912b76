package io.kitepath.core.service;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.JobRecord;
import io.kitepath.core.model.JobStatus;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.CommitResult;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.port.Timers;
import io.kitepath.core.service.JobSubmissionService.JobResponse;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import io.kitepath.core.state.StoreKeys;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Cancels jobs: one transaction moves the job's record from the open jobs to the ended ones. Any
 * node can do this for any job. The leader is notified and stops the job's tasks.
 */
final class JobCancellation {
    /** The number of tries if the job's record changes between reading and writing it. */
    private static final int MAX_TRIES = 4;

    private final ClusterSettings settings;
    private final Store store;
    private final Timers timers;
    private final FinalStates finalStates;

    /** Whether tasks may be lent to other cells. */
    private final boolean mayLendTasks;

    private Consumer<JobStatus> onCancelled = job -> {};

    JobCancellation(
            ClusterSettings settings,
            Store store,
            Timers timers,
            FinalStates finalStates,
            boolean mayLendTasks) {
        this.settings = settings;
        this.store = store;
        this.timers = timers;
        this.finalStates = finalStates;
        this.mayLendTasks = mayLendTasks;
    }

    /**
     * Sets the listener that is notified of every job that this node cancelled, before the user is.
     */
    void onCancelled(Consumer<JobStatus> listener) {
        onCancelled = listener;
    }

    /** Returns the status of a cancelled job. */
    static JobStatus cancelledStatus(String jobId) {
        return new JobStatus(jobId, FinalStates.CANCELLED, 0, 0);
    }

    void cancel(String jobId, Consumer<JobResponse> onResponse) {
        cancel(jobId, MAX_TRIES, onResponse);
    }

    private void cancel(String jobId, int triesLeft, Consumer<JobResponse> onResponse) {
        if (finalStates.respondWithoutStore(jobId, onResponse)) {
            return;
        }
        if (triesLeft == 0) {
            onResponse.accept(JobResponse.LATER);
            return;
        }
        store.get(
                StoreKeys.OPEN_JOBS + jobId,
                (outcome, openEntry) -> {
                    switch (outcome) {
                        case OK -> moveToEnded(jobId, openEntry, triesLeft, onResponse);
                        case REJECTED -> finalStates.read(jobId, onResponse);
                        default -> onResponse.accept(JobResponse.LATER);
                    }
                });
    }

    private void moveToEnded(
            String jobId, Entry openEntry, int triesLeft, Consumer<JobResponse> onResponse) {
        Transaction move =
                new Transaction()
                        .requireRevision(StoreKeys.OPEN_JOBS + jobId, openEntry.revision())
                        .requireRevision(StoreKeys.ENDED_JOBS + jobId, 0)
                        .remove(StoreKeys.OPEN_JOBS + jobId)
                        .put(
                                StoreKeys.ENDED_JOBS + jobId,
                                cancelledRecord(jobId, openEntry.value()));
        if (mayLendTasks) {
            move.requireRevision(StoreKeys.LENT_TASKS + jobId, 0);
        }
        store.commit(
                move,
                result -> {
                    switch (result.outcome()) {
                        case OK -> {
                            JobStatus status = cancelledStatus(jobId);
                            finalStates.remember(status);
                            onCancelled.accept(status);
                            onResponse.accept(new JobResponse(Verdict.KNOWN, status));
                        }
                        case REJECTED -> {
                            if (hasLentTasks(jobId, result)) {
                                requestCancellation(jobId, openEntry.revision(), onResponse);
                            } else {
                                cancel(jobId, triesLeft - 1, onResponse);
                            }
                        }
                        default -> onResponse.accept(JobResponse.LATER);
                    }
                });
    }

    private static boolean hasLentTasks(String jobId, CommitResult result) {
        return result.failedKeys().contains(StoreKeys.LENT_TASKS + jobId);
    }

    /**
     * Commits a cancellation request, upon which the job's lent tasks are recalled. Guards against
     * a user who is notified that the job is cancelled while an unreachable remote cell starts one
     * of its lent tasks. Until that cell's own records show the leader that none of them can start
     * any more, users are asked to retry.
     */
    private void requestCancellation(
            String jobId, long openRevision, Consumer<JobResponse> onResponse) {
        store.commit(
                new Transaction()
                        .requireRevision(StoreKeys.OPEN_JOBS + jobId, openRevision)
                        .requireRevision(StoreKeys.CANCELLATION_REQUESTS + jobId, 0)
                        .put(StoreKeys.CANCELLATION_REQUESTS + jobId, Map.of()),
                result -> onResponse.accept(JobResponse.LATER));
    }

    /** Returns the record of a cancelled job, made from its record as an open job. */
    Map<String, Object> cancelledRecord(String jobId, Object openRecord) {
        Map<String, Object> endFields =
                Map.of(
                        "status",
                        FinalStates.CANCELLED,
                        "done",
                        0L,
                        "endedMs",
                        timers.wallClockMillis());
        try {
            return JobRecord.fromRecord(jobId, openRecord)
                    .toFinishedRecord(endFields, settings.store().maxValueBytes());
        } catch (InvalidInputException | IllegalArgumentException e) {
            // The record was written by a later version or is damaged. It is kept unchanged, and
            // the job is cancelled nonetheless.
            Map<String, Object> record = new LinkedHashMap<>();
            ((Map<?, ?>) openRecord).forEach((name, value) -> record.put((String) name, value));
            record.putAll(endFields);
            return record;
        }
    }
}
