package io.kitepath.core.cell;

import io.kitepath.core.model.JobStatus;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.ShardState;
import io.kitepath.core.state.StateLoader;
import io.kitepath.core.state.StateWriter;
import io.kitepath.core.state.StoreKeys;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Cancels jobs that are lent in part. The request is a record of its own ({@link
 * StoreKeys#CANCELLATION_REQUESTS}); the job's record says cancelled only when no other cell can
 * still run any of its tasks, which may take as long as such a cell can't be reached.
 */
final class JobCancellations {
    private static final Logger LOG = LoggerFactory.getLogger(JobCancellations.class);

    private final CellContext context;
    private final ShardState shard;
    private final Consumer<JobStatus> onCancelled;

    /** Revision of the request's record by job. */
    private final Map<String, Long> requests = new HashMap<>();

    /** {@code onCancelled} is called when the store has it that a job is cancelled. */
    JobCancellations(CellContext context, Consumer<JobStatus> onCancelled) {
        this.context = context;
        this.shard = context.shard();
        this.onCancelled = onCancelled;
    }

    /** Replaces everything by what the store contains. */
    void restore(StateLoader.LoadedState found) {
        requests.clear();
        found.cellRecords().cancellationRequests().forEach(this::onRequestChanged);
    }

    /** A record of {@link StoreKeys#CANCELLATION_REQUESTS} was written or removed. */
    void onRequestChanged(Entry entry) {
        String jobId = entry.key().substring(StoreKeys.CANCELLATION_REQUESTS.length());
        if (entry.value() == null) {
            requests.remove(jobId);
            return;
        }
        requests.put(jobId, entry.revision());
        Job job = shard.jobs().get(jobId);
        if (job != null && !job.isFinished() && !job.isCancelRequested()) {
            job.requestCancel();
            new ArrayList<>(job.liveAttempts().values())
                    .forEach(attempt -> shard.stopAttempt(attempt, 0));
            shard.requestScheduling();
            LOG.info(
                    "job cancellation requested job={} loansToRecall={}",
                    jobId,
                    job.loans().size());
        }
    }

    /** Records the job as cancelled if that was requested and none of it is lent any more. */
    void finishIfReturned(Job job) {
        if (!job.isCancelRequested()
                || !job.loans().isEmpty()
                || !requests.containsKey(job.spec.id())
                || job.isWritingLoans()) {
            return;
        }
        job.setWritingLoans(true);
        context.batchQueue().accept(new FinishCancelled(job, requests.get(job.spec.id())));
    }

    /** Removes requests for jobs that were over already. */
    void removeStale() {
        for (String jobId : new ArrayList<>(requests.keySet())) {
            if (!shard.jobs().containsKey(jobId)) {
                long requestRevision = requests.remove(jobId);
                context.batchQueue().accept(new RemoveRequest(jobId, requestRevision));
            }
        }
    }

    /** Records a job as cancelled; its user learns of it from the next status request. */
    private final class FinishCancelled implements StateWriter.BatchContributor {
        private final Job job;
        private final String jobId;
        private final long requestRevision;

        FinishCancelled(Job job, long requestRevision) {
            this.job = job;
            this.jobId = job.spec.id();
            this.requestRevision = requestRevision;
        }

        @Override
        public boolean isStillWanted() {
            boolean isWanted =
                    !job.isFinished() && job.loans().isEmpty() && requests.containsKey(jobId);
            if (!isWanted) {
                job.setWritingLoans(false);
            }
            return isWanted;
        }

        @Override
        public void contributeTo(Store.Transaction transaction) {
            Map<String, Object> record =
                    job.record()
                            .toFinishedRecord(
                                    Map.of("status", "cancelled", "done", 0L),
                                    shard.settings().store().maxValueBytes());
            transaction
                    .requireRevision(job.recordKey, job.revision())
                    .requireRevision(StoreKeys.LENT_TASKS + jobId, 0)
                    .requireRevision(StoreKeys.CANCELLATION_REQUESTS + jobId, requestRevision)
                    .remove(job.recordKey)
                    .remove(StoreKeys.CANCELLATION_REQUESTS + jobId)
                    .put(StoreKeys.ENDED_JOBS + jobId, record);
        }

        @Override
        public void onCommitted(long revision) {
            job.setWritingLoans(false);
            requests.remove(jobId);
            shard.finishJob(jobId);
            onCancelled.accept(new JobStatus(jobId, "cancelled", 0, 0));
        }
    }

    private record RemoveRequest(String jobId, long requestRevision)
            implements StateWriter.BatchContributor {
        @Override
        public boolean isStillWanted() {
            return true;
        }

        @Override
        public void contributeTo(Store.Transaction transaction) {
            transaction
                    .requireRevision(StoreKeys.CANCELLATION_REQUESTS + jobId, requestRevision)
                    .remove(StoreKeys.CANCELLATION_REQUESTS + jobId);
        }

        @Override
        public void onCommitted(long revision) {}
    }
}
