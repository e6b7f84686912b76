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
import io.kitepath.core.state.EndStatus;
import io.kitepath.core.state.StoreKeys;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * How jobs ended, from memory where this node knows it and from the store otherwise. A final state
 * never changes, so it is the only one that may be answered from memory.
 */
final class FinalStates {
    private static final Logger LOG = LoggerFactory.getLogger(FinalStates.class);

    static final String CANCELLED = EndStatus.CANCELLED.storedName();

    /** The field of a record of a job's end that says how many of its tasks are done. */
    private static final String DONE_TASKS = "done";

    private static final int MAX_REMEMBERED = 5000;

    private final Store store;

    /**
     * Guards against requests that wait for their time-out, one behind the other, when it is known
     * that they can't be answered: users are told at once when to come back.
     */
    private final BooleanSupplier isStoreReachable;

    private final Consumer<String> onCancelled;
    private final Cache<String, JobStatus> byJob =
            Caffeine.newBuilder().maximumSize(MAX_REMEMBERED).build();

    /**
     * @param isStoreReachable whether the store answers this node
     * @param onCancelled told of every job that is found to be cancelled, before any user is
     */
    FinalStates(Store store, BooleanSupplier isStoreReachable, Consumer<String> onCancelled) {
        this.store = store;
        this.isStoreReachable = isStoreReachable;
        this.onCancelled = onCancelled;
    }

    /** The job's final state, if this node knows it. */
    Optional<JobStatus> find(String jobId) {
        return Optional.ofNullable(byJob.getIfPresent(jobId));
    }

    /** Remembers a final state that the store has. */
    void remember(JobStatus status) {
        byJob.put(status.jobId(), status);
        if (status.status().equals(CANCELLED)) {
            onCancelled.accept(status.jobId());
        }
    }

    /**
     * Answers if that takes no request to the store: with the job's final state, or that the store
     * can't be asked now. Returns whether it has answered.
     */
    boolean answerWithoutStore(String jobId, Consumer<JobResponse> answer) {
        Optional<JobStatus> known = find(jobId);
        if (known.isPresent()) {
            answer.accept(new JobResponse(Verdict.KNOWN, known.get()));
        } else if (!isStoreReachable.getAsBoolean()) {
            answer.accept(JobResponse.LATER);
        } else {
            return false;
        }
        return true;
    }

    /**
     * Reads how the job ended; NOT_FOUND if the store has no record of its end, LATER if the record
     * does not say how.
     */
    void read(String jobId, Consumer<JobResponse> answer) {
        store.get(
                StoreKeys.ENDED_JOBS + jobId,
                (outcome, entry) -> {
                    switch (outcome) {
                        case OK -> answer.accept(adopt(jobId, entry));
                        case REJECTED -> answer.accept(JobResponse.NOT_FOUND);
                        default -> answer.accept(JobResponse.LATER);
                    }
                });
    }

    /**
     * Guards against a user who waits for an answer that never comes, as the record can't be read.
     */
    private JobResponse adopt(String jobId, Entry entry) {
        try {
            JobStatus status = fromRecord(jobId, DocumentReader.of(entry.value()));
            remember(status);
            return new JobResponse(Verdict.KNOWN, status);
        } catch (InvalidInputException invalid) {
            LOG.error("record {} is unreadable: {}", entry.key(), invalid.getMessage());
            return JobResponse.LATER;
        }
    }

    private static JobStatus fromRecord(String jobId, DocumentReader document) {
        String status = EndStatus.fromRecord(document).storedName();
        return new JobStatus(jobId, status, doneTasks(document), 0);
    }

    /** For display only, so a record that lacks it still tells how the job ended. */
    private static int doneTasks(DocumentReader document) {
        return document.raw(DONE_TASKS) instanceof Long count ? count.intValue() : 0;
    }
}
