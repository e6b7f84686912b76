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
 * Decides what goes into the next batch. What users wait for goes first: jobs that end, then
 * placements, which no task may start before. Other changes take what is left of the rate: until
 * the end of a task is written, its worker just goes on reporting it.
 */
final class BatchComposer {
    private static final Logger LOG = LoggerFactory.getLogger(BatchComposer.class);

    /** Writes that end a job: its open record goes, its ended record comes. */
    private static final int WRITES_PER_ENDED_JOB = 2;

    private final ClusterSettings settings;
    private final Timers timers;
    private final ShardState shard;
    private final ImageRecords images;
    private final ContributorQueue contributors;

    /** Writes a second that batches may take altogether. */
    private final double writesPerSecond;

    /** When the service levels were written last, in seconds on the steady clock. */
    private double serviceLevelsWrittenAt;

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

    /** Times that a record was left out since it was too large. */
    long oversizeRecords() {
        return oversizeRecords;
    }

    /**
     * Fills a batch with what differs from the store.
     *
     * @param batch an empty batch
     * @param maxWrites what one transaction may carry
     * @param availableWrites what the write rate allows at the moment
     * @param endsFirst whether ended jobs go before placements. They take turns: the ends of a
     *     swarm of jobs, two writes each, would leave nothing to what is to start, and the other
     *     way round.
     */
    void fill(
            WriteBatch batch,
            int maxWrites,
            double availableWrites,
            boolean endsFirst,
            double now) {
        int budget = (int) Math.min(maxWrites, availableWrites);
        if (addMigration(batch, budget)) {
            return;
        }
        addContributors(batch, contributors.urgent(), budget);
        addCascadingCancellations(batch, budget * 3 / 4);
        if (endsFirst) {
            budget = addCompletedJobs(batch, budget);
        }
        // The longest waiting change goes along in any case, so that a stream of placements does
        // not put it off for ever.
        addParts(
                batch,
                shard.dirtyParts().withOtherChanges(),
                Math.min(budget, batch.writeCount() + 1));
        addParts(batch, placementsByRank(), budget);
        if (!endsFirst) {
            addCompletedJobs(batch, budget);
        }
        double spare = availableWrites - writesPerSecond / 2;
        addParts(batch, shard.dirtyParts().withOtherChanges(), (int) Math.min(budget, spare));
        addDeferrableContributors(batch, budget, spare);
        addHint(batch, budget, now);
    }

    // ---- parts of jobs --------------------------------------------------------------------------

    /**
     * By rank, so that a gang does not wait for the records of small jobs that were placed before
     * it.
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
                continue; // Its parts are removed once the job is written as done.
            }
            shard.dirtyParts().remove(part);
            if (!part.isDirty() || !batch.visit(part)) {
                continue;
            }
            if (!part.job.isFinished()) {
                batch.requireOpen(part.job);
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
            // Placed when records could be larger. Until enough of it has ended, its workers go on
            // reporting what has, and no more of it is placed.
            oversizeRecords++;
        } else {
            batch.putPart(part, record, bytes);
        }
    }

    /**
     * Adds a job whose records have to be laid out anew. Such a migration is a batch by itself.
     *
     * @return whether the batch is one
     */
    private boolean addMigration(WriteBatch batch, int budget) {
        for (Job job : shard.jobsToMigrate()) {
            if (job.isFinished()) {
                shard.migrationDone(job);
                continue;
            }
            RecordMigration migration = new RecordMigration(job, settings.tasksPerCompactPart());
            if (migration.writeCount() > settings.store().maxTransactionOperations()) {
                LOG.error(
                        "record layout can't be migrated within one transaction: job={} writes={}",
                        job.spec.id(),
                        migration.writeCount());
                shard.migrationDone(job);
            } else if (migration.writeCount() <= budget) {
                batch.migrate(migration);
                return true;
            }
        }
        return false;
    }

    // ---- ends of jobs ---------------------------------------------------------------------------

    /**
     * Moves jobs whose tasks are all done to the ended jobs, and forgets ended jobs of which
     * nothing is left.
     *
     * @return the budget for what comes after, 0 if it did not suffice. Guards against placements
     *     that leave no job's end its two writes, batch after batch.
     */
    private int addCompletedJobs(WriteBatch batch, int budget) {
        List<Job> settled = new ArrayList<>();
        int budgetLeft = budget;
        for (Job job : shard.jobs().values()) {
            if (job.isFinished()) {
                if (job.liveAttempts().isEmpty() && !job.hasPartRecords()) {
                    settled.add(job);
                }
            } else if (isReadyToComplete(job) && !job.isWritingLoans()) {
                if (batch.writeCount() + WRITES_PER_ENDED_JOB > budgetLeft) {
                    budgetLeft = 0;
                } else {
                    addCompletedJob(batch, job);
                }
            }
        }
        settled.forEach(shard::removeJob);
        return budgetLeft;
    }

    private void addCompletedJob(WriteBatch batch, Job job) {
        Map<String, Object> record = endedRecord(job, EndStatus.DONE, job.spec.taskCount());
        batch.complete(job, record, JsonSize.sizeInBytes(record));
    }

    /** Whether all the job's tasks are done and this cell decides on its end. */
    private static boolean isReadyToComplete(Job job) {
        return !job.isFinished()
                && job.areAllTasksDone()
                && !job.isBorrowed
                && !job.isCancelRequested();
    }

    /**
     * Cancels jobs with a dependency that is cancelled. All that it takes is on record, so the next
     * leader goes on with it wherever this one stops. None of these jobs could start, so they have
     * no tasks to stop; but their users wait for the answer.
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
        Map<String, Object> end =
                Map.of(
                        "status", status.storedName(),
                        "done", (long) doneTasks,
                        "endedMs", timers.wallClockMillis());
        return job.record().toFinishedRecord(end, shard.maxRecordBytes());
    }

    // ---- what others contribute -----------------------------------------------------------------

    /**
     * Guards against placements of a burst that wait for records which are only to be struck off; a
     * backlog of those that would grow for ever goes along all the same.
     */
    private void addDeferrableContributors(WriteBatch batch, int budget, double spare) {
        Deque<BatchContributor> deferrable = contributors.deferrable();
        boolean backlogGrows = deferrable.size() > budget;
        addContributors(batch, deferrable, (int) Math.min(budget, backlogGrows ? budget : spare));
    }

    /** Each takes a handful of writes at most; a quarter is left to everything else. */
    private void addContributors(WriteBatch batch, Deque<BatchContributor> waiting, int budget) {
        while (!waiting.isEmpty() && batch.writeCount() < budget * 3 / 4 && !batch.isHalfFull()) {
            BatchContributor contributor = waiting.poll();
            if (contributor.isStillWanted()) {
                batch.contribute(
                        contributor, (int) (settings.store().maxValueKibibytes() * 1024 / 4));
            }
        }
    }

    /** Adds one record that only helps the next leader, if there is room and one is due. */
    private void addHint(WriteBatch batch, int budget, double now) {
        if (batch.writeCount() >= budget || batch.isHalfFull()) {
            return;
        }
        images.nextDueRecord(shard.machines().values(), now)
                .or(() -> dueServiceLevels(now))
                .filter(hint -> JsonSize.sizeInBytes(hint.value()) <= shard.maxRecordBytes())
                .ifPresent(batch::putHint);
    }

    private Optional<Store.Write> dueServiceLevels(double now) {
        if (now - serviceLevelsWrittenAt <= settings.workers().leaseSeconds() / 2) {
            return Optional.empty();
        }
        serviceLevelsWrittenAt = now;
        Object record = shard.serviceLevels().toRecord(timers.wallClockMillis());
        return Optional.of(new Store.Write(StoreKeys.SERVICE_LEVELS, record, 0));
    }
}
