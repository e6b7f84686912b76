package io.kitepath.core.state;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JsonSize;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Timers;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.JobPart;
import io.kitepath.core.shard.ShardState;
import io.kitepath.core.state.StateWriter.BatchContributor;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Composes the next write batch. Changes that users wait for go first: ended jobs, then placements,
 * which have to be committed before their tasks start. Other changes use the rest of the write
 * rate: until the end of a task is committed, its worker keeps reporting it.
 */
final class BatchComposer {
    private static final Logger LOG = LoggerFactory.getLogger(BatchComposer.class);

    /** Writes that end a job: removing its open record and putting its ended record. */
    private static final int WRITES_PER_ENDED_JOB = 2;

    private final ClusterSettings settings;
    private final Timers timers;
    private final ShardState shard;
    private final ImageRecords images;
    private final ContributorQueue contributors;

    /** Write rate available to all batches together. */
    private final double writesPerSecond;

    /** When the service levels were last written, in seconds on the steady clock. */
    private double serviceLevelsWrittenAtSeconds;

    private long oversizeRecords;

    BatchComposer(
            Timers timers,
            ShardState shard,
            ImageRecords images,
            ContributorQueue contributors,
            double writesPerSecond) {
        this.settings = shard.settings();
        this.timers = timers;
        this.shard = shard;
        this.images = images;
        this.contributors = contributors;
        this.writesPerSecond = writesPerSecond;
    }

    /** Returns how often a record was left out because it was too large. */
    long oversizeRecords() {
        return oversizeRecords;
    }

    /**
     * Fills a batch with the changes that are not in the store yet.
     *
     * @param batch an empty batch
     * @param maxWrites the maximum number of writes in one transaction
     * @param availableWrites the number of writes that the write rate currently allows
     * @param endedJobsFirst whether ended jobs go before placements. The order alternates: the ends
     *     of many small jobs, two writes each, would otherwise leave no writes for placements, and
     *     placements none for ended jobs.
     */
    void fill(
            WriteBatch batch,
            int maxWrites,
            double availableWrites,
            boolean endedJobsFirst,
            double nowSeconds) {
        int budget = (int) Math.min(maxWrites, availableWrites);
        if (addMigration(batch, budget)) {
            return;
        }
        addContributors(batch, contributors.urgent(), budget);
        addCascadingCancellations(batch, budget * 3 / 4);
        if (endedJobsFirst) {
            budget = addCompletedJobs(batch, budget);
        }
        // The change that has waited longest is always included, so that a steady flow of
        // placements does not starve it.
        addParts(
                batch,
                shard.dirtyParts().withOtherChanges(),
                Math.min(budget, batch.writeCount() + 1));
        addParts(batch, placementsByRank(), budget);
        if (!endedJobsFirst) {
            addCompletedJobs(batch, budget);
        }
        double spareWrites = availableWrites - writesPerSecond / 2;
        addParts(batch, shard.dirtyParts().withOtherChanges(), (int) Math.min(budget, spareWrites));
        addDeferrableContributors(batch, budget, spareWrites);
        addHint(batch, budget, nowSeconds);
    }

    // ---- parts of jobs --------------------------------------------------------------------------

    /**
     * Returns the parts with new placements in queue order, so that a gang does not wait for the
     * records of small jobs that were placed before it.
     */
    private List<JobPart> placementsByRank() {
        List<JobPart> placements = new ArrayList<>(shard.dirtyParts().withPlacements());
        placements.sort(Comparator.comparingInt(part -> part.job.queueRank()));
        return placements;
    }

    private void addParts(WriteBatch batch, List<JobPart> candidates, int budget) {
        for (JobPart part : candidates) {
            if (batch.writeCount() >= budget || batch.isFull()) {
                return;
            }
            if (isReadyToComplete(part.job)) {
                continue; // Its parts are removed once the job's end is committed.
            }
            shard.dirtyParts().remove(part);
            if (!part.isDirty() || !batch.markVisited(part)) {
                continue;
            }
            if (!part.job.isFinished()) {
                batch.requireOpenJob(part.job);
            }
            addPart(batch, part);
        }
    }

    private void addPart(WriteBatch batch, JobPart part) {
        Job job = part.job;
        if (job.isFinished() && job.liveAttemptsInPart(part.index).isEmpty()) {
            if (part.revision() == 0) {
                part.markRecordUnneeded();
            } else {
                batch.removePart(part);
            }
            return;
        }
        Map<String, Object> record = job.partRecord(part.index);
        int bytes = JsonSize.sizeInBytes(record);
        if (bytes > shard.maxRecordBytes()) {
            // These tasks were placed when records could be larger. Until enough of them have
            // ended, their workers keep reporting ended ones and no more tasks of the part are
            // placed.
            oversizeRecords++;
        } else {
            batch.putPart(part, record, bytes);
        }
    }

    /**
     * Adds the migration of a job whose records need another layout. A migration takes up a whole
     * batch.
     *
     * @return whether the batch is a migration
     */
    private boolean addMigration(WriteBatch batch, int budget) {
        for (Job job : shard.jobsToMigrate()) {
            if (job.isFinished()) {
                shard.clearMigrationRequest(job);
                continue;
            }
            RecordMigration migration = new RecordMigration(job, settings.tasksPerCompactPart());
            if (migration.writeCount() > settings.store().maxTransactionOperations()) {
                LOG.error(
                        "record layout can't be migrated within one transaction: job={} writes={}",
                        job.spec.id(),
                        migration.writeCount());
                shard.clearMigrationRequest(job);
            } else if (migration.writeCount() <= budget) {
                batch.addMigration(migration);
                return true;
            }
        }
        return false;
    }

    // ---- ended jobs -----------------------------------------------------------------------------

    /**
     * Moves jobs whose tasks are all done to the ended jobs, and removes ended jobs without live
     * attempts and part records from memory.
     *
     * @return the budget for later additions, 0 if it was too small for an ended job. Guards
     *     against placements that, batch after batch, leave less than the two writes of an ended
     *     job.
     */
    private int addCompletedJobs(WriteBatch batch, int budget) {
        List<Job> removableJobs = new ArrayList<>();
        int budgetLeft = budget;
        for (Job job : shard.jobs().values()) {
            if (job.isFinished()) {
                if (job.liveAttempts().isEmpty() && !job.hasPartRecords()) {
                    removableJobs.add(job);
                }
            } else if (isReadyToComplete(job) && !job.isWritingLoans()) {
                if (batch.writeCount() + WRITES_PER_ENDED_JOB > budgetLeft) {
                    budgetLeft = 0;
                } else {
                    addCompletedJob(batch, job);
                }
            }
        }
        removableJobs.forEach(shard::removeJob);
        return budgetLeft;
    }

    private void addCompletedJob(WriteBatch batch, Job job) {
        Map<String, Object> record = endedRecord(job, EndStatus.DONE, job.spec.taskCount());
        batch.complete(job, record, JsonSize.sizeInBytes(record));
    }

    /** Returns whether all tasks of the job are done and this cell decides on its end. */
    private static boolean isReadyToComplete(Job job) {
        return !job.isFinished()
                && job.areAllTasksDone()
                && !job.isBorrowed
                && !job.isCancelRequested();
    }

    /**
     * Cancels jobs with a cancelled dependency. Everything needed for this is stored, so the next
     * leader can continue at any point. None of these jobs could start, so they have no tasks to
     * stop, but their users wait for the result.
     */
    private void addCascadingCancellations(WriteBatch batch, int budget) {
        for (Job job : shard.jobDependencies().jobsToCancel()) {
            if (batch.writeCount() + WRITES_PER_ENDED_JOB > budget || batch.isFull()) {
                return;
            }
            Map<String, Object> record = endedRecord(job, EndStatus.CANCELLED, 0);
            batch.cancel(job, record, JsonSize.sizeInBytes(record));
        }
    }

    private Map<String, Object> endedRecord(Job job, EndStatus status, int doneTasks) {
        Map<String, Object> endRecord =
                Map.of(
                        "status", status.storedName(),
                        "done", (long) doneTasks,
                        "endedMs", timers.wallClockMillis());
        return job.record().toFinishedRecord(endRecord, shard.maxRecordBytes());
    }

    // ---- contributors and hints -----------------------------------------------------------------

    /**
     * Adds contributors that are not urgent if the write rate has capacity to spare. Guards against
     * a burst of placements that waits for mere removals of records. A backlog larger than the
     * budget, which would grow without bound, is added nonetheless.
     */
    private void addDeferrableContributors(WriteBatch batch, int budget, double spareWrites) {
        Deque<BatchContributor> deferrable = contributors.deferrable();
        boolean backlogGrows = deferrable.size() > budget;
        addContributors(
                batch, deferrable, (int) Math.min(budget, backlogGrows ? budget : spareWrites));
    }

    /** Adds contributors, a few writes each; a quarter of the budget is left for other writes. */
    private void addContributors(WriteBatch batch, Deque<BatchContributor> waiting, int budget) {
        while (!waiting.isEmpty() && batch.writeCount() < budget * 3 / 4 && !batch.isHalfFull()) {
            BatchContributor contributor = waiting.poll();
            if (contributor.isStillWanted()) {
                batch.addContributor(
                        contributor, (int) (settings.store().maxValueKibibytes() * 1024 / 4));
            }
        }
    }

    /**
     * Adds one record that only helps the next leader, if the batch has capacity and one is due.
     */
    private void addHint(WriteBatch batch, int budget, double nowSeconds) {
        if (batch.writeCount() >= budget || batch.isHalfFull()) {
            return;
        }
        images.nextDueRecord(shard.machines().values(), nowSeconds)
                .or(() -> dueServiceLevels(nowSeconds))
                .filter(hint -> JsonSize.sizeInBytes(hint.value()) <= shard.maxRecordBytes())
                .ifPresent(batch::putHint);
    }

    private Optional<Store.Write> dueServiceLevels(double nowSeconds) {
        if (nowSeconds - serviceLevelsWrittenAtSeconds <= settings.workers().leaseSeconds() / 2) {
            return Optional.empty();
        }
        serviceLevelsWrittenAtSeconds = nowSeconds;
        Object record = shard.serviceLevels().toRecord(timers.wallClockMillis());
        return Optional.of(new Store.Write(StoreKeys.SERVICE_LEVELS, record, 0));
    }
}
