package io.kitepath.core.state;

import io.kitepath.core.model.JobStatus;
import io.kitepath.core.port.Timers;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.ShardState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Applies a committed batch to the shard's state in memory. */
final class CommittedBatchApplier {
    private static final Logger LOG = LoggerFactory.getLogger(CommittedBatchApplier.class);

    private final Timers timers;
    private final ShardState shard;
    private final StateWriter.Listener listener;

    CommittedBatchApplier(Timers timers, ShardState shard, StateWriter.Listener listener) {
        this.timers = timers;
        this.shard = shard;
        this.listener = listener;
    }

    /**
     * Applies a batch.
     *
     * @param revision the store's revision at which the batch was committed
     */
    void apply(WriteBatch batch, long revision) {
        batch.contributors().forEach(contributor -> contributor.onCommitted(revision));
        for (WriteBatch.WrittenPart written : batch.parts()) {
            shard.markPartWritten(
                    written.part(), written.version(), written.removed() ? 0 : revision);
        }
        batch.completedJobs().forEach(this::applyCompleted);
        batch.cancelledJobs().forEach(this::applyCancelled);
        batch.migration().ifPresent(migration -> migration.onCommitted(shard, revision));
    }

    private void applyCompleted(Job job) {
        LOG.info(
                "job done: job={} timings=\"{}\"",
                job.spec.id(),
                job.describeTimings(timers.nowSeconds(), timers.wallClockMillis()));
        shard.serviceLevels().recordDone(job, timers.wallClockMillis());
        applyEnd(job, EndStatus.DONE, job.spec.taskCount());
    }

    private void applyCancelled(Job job) {
        LOG.info("job cancelled because a dependency was cancelled: job={}", job.spec.id());
        applyEnd(job, EndStatus.CANCELLED, 0);
    }

    private void applyEnd(Job job, EndStatus status, int doneTasks) {
        String id = job.spec.id();
        shard.jobDependencies()
                .recordOutcome(id, status == EndStatus.DONE, timers.wallClockMillis());
        shard.finishJob(id);
        listener.jobEnded(new JobStatus(id, status.storedName(), doneTasks, 0));
    }
}
