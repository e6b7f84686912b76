package io.kitepath.core.service;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.JobStatus;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.service.JobSubmissionService.JobResponse;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import io.kitepath.core.service.QueryOutcomes.UnansweredReason;
import io.kitepath.core.state.EndStatus;
import io.kitepath.core.state.StoreKeys;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Provides the final states of ended jobs, from memory where this node knows them and from the
 * store otherwise. A final state never changes, so it is the only state that may be returned from
 * memory.
 */
final class FinalStates {
    private static final Logger LOG = LoggerFactory.getLogger(FinalStates.class);

    static final String CANCELLED = EndStatus.CANCELLED.storedName();

    /** The field of an ended job's record that holds the number of its completed tasks. */
    private static final String DONE_TASKS = "done";

    private static final int MAX_REMEMBERED = 5000;
    private static final int MAX_IMPLIED_REMEMBERED = 20_000;

    private final Store store;

    /**
     * Guards against requests that queue up until they time out although it is known that they
     * can't be served: users are notified immediately when to retry.
     */
    private final BooleanSupplier isStoreReachable;

    private final Consumer<String> onCancelled;
    private final Cache<String, JobStatus> statusByJob =
            Caffeine.newBuilder().maximumSize(MAX_REMEMBERED).build();

    /**
     * Jobs that will be cancelled for certain and may be called so; see {@code
     * core.CascadeAnnouncer}.
     */
    private final Cache<String, Boolean> impliedCancellations =
            Caffeine.newBuilder().maximumSize(MAX_IMPLIED_REMEMBERED).build();

    /**
     * @param isStoreReachable whether the store responds to this node
     * @param onCancelled notified of every job that is found to be cancelled, before any user is
     */
    FinalStates(Store store, BooleanSupplier isStoreReachable, Consumer<String> onCancelled) {
        this.store = store;
        this.isStoreReachable = isStoreReachable;
        this.onCancelled = onCancelled;
    }

    /** Returns the job's final state, if this node knows it. */
    Optional<JobStatus> find(String jobId) {
        JobStatus status = statusByJob.getIfPresent(jobId);
        return status == null && impliedCancellations.getIfPresent(jobId) != null
                ? Optional.of(JobCancellation.cancelledStatus(jobId))
                : Optional.ofNullable(status);
    }

    /** Caches a final state that is committed to the store. */
    void remember(JobStatus status) {
        statusByJob.put(status.jobId(), status);
        if (status.status().equals(CANCELLED)) {
            onCancelled.accept(status.jobId());
        }
    }

    /**
     * Caches that the job will be cancelled for certain. It has no tasks, so no component but this
     * one has to know before it is committed.
     */
    void rememberImplied(String jobId) {
        impliedCancellations.put(jobId, true);
    }

    /**
     * Responds if that takes no request to the store: with the job's final state, or with LATER if
     * the store is unreachable.
     *
     * @return whether a response was given
     */
    boolean respondWithoutStore(String jobId, Consumer<JobResponse> onResponse) {
        Optional<JobStatus> finalState = find(jobId);
        if (finalState.isPresent()) {
            onResponse.accept(new JobResponse(Verdict.KNOWN, finalState.get()));
        } else if (!isStoreReachable.getAsBoolean()) {
            onResponse.accept(JobResponse.later(UnansweredReason.STORE_UNREACHABLE));
        } else {
            return false;
        }
        return true;
    }

    /**
     * Reads the job's final state from the store. Responds with NOT_FOUND if there is no record of
     * the ended job, and with LATER if the record can't be read.
     */
    void read(String jobId, Consumer<JobResponse> onResponse) {
        store.get(
                StoreKeys.ENDED_JOBS + jobId,
                (outcome, entry) -> {
                    switch (outcome) {
                        case OK -> onResponse.accept(parseAndRemember(jobId, entry));
                        case REJECTED -> onResponse.accept(JobResponse.NOT_FOUND);
                        default ->
                                onResponse.accept(JobResponse.later(UnansweredReason.STORE_FAILED));
                    }
                });
    }

    /**
     * Parses the record of an ended job. Guards against a user who waits for a response that never
     * comes because the record is unreadable.
     */
    private JobResponse parseAndRemember(String jobId, Entry entry) {
        try {
            JobStatus status = fromRecord(jobId, DocumentReader.of(entry.value()));
            remember(status);
            return new JobResponse(Verdict.KNOWN, status);
        } catch (InvalidInputException invalid) {
            LOG.error("record unreadable: key={} reason={}", entry.key(), invalid.getMessage());
            return JobResponse.later(UnansweredReason.RECORD_UNREADABLE);
        }
    }

    private static JobStatus fromRecord(String jobId, DocumentReader document) {
        String status = EndStatus.fromRecord(document).storedName();
        return new JobStatus(jobId, status, doneTaskCount(document), 0);
    }

    /**
     * Returns 0 if the field is absent: it is for display only, and the final state is valid
     * without it.
     */
    private static int doneTaskCount(DocumentReader document) {
        return document.raw(DONE_TASKS) instanceof Long count ? count.intValue() : 0;
    }
}
