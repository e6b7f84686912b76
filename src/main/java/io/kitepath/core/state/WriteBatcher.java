package io.kitepath.core.state;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobStatus;
import io.kitepath.core.model.JsonSize;
import io.kitepath.core.model.TokenBucket;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.CommitResult;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Timers;
import io.kitepath.core.shard.Attempt;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.JobPart;
import io.kitepath.core.shard.ShardState;
import io.kitepath.core.state.StateWriter.BatchContributor;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the holder writes, round by round, one transaction at a time. Every write depends on the
 * block's revision, the job's and the part's, and an unknown outcome is settled by the very same
 * transaction.
 */
final class WriteBatcher {
    private static final Logger LOG = LoggerFactory.getLogger(WriteBatcher.class);

    /** Of the store's write rate; the rest is for submissions, cancellations and leases. */
    private static final double WRITE_SHARE = 0.7;

    /** Of the 64 KiB that a transaction may hold, by an estimate of its JSON form. */
    private static final int MAX_BYTES = 48 * 1024;

    /** Of those, a record's key and what depends on it. */
    private static final int RECORD_BYTES = 128;

    private final ClusterSettings settings;
    private final Store store;
    private final Timers timers;
    private final ShardState shard;
    private final ImageRecords images;
    private final StateWriter.Listener listener;
    private final TokenBucket writes;

    /** What waits to be written along, in order. */
    private final ArrayDeque<BatchContributor> riders = new ArrayDeque<>();

    private final ArrayDeque<BatchContributor> patient = new ArrayDeque<>();

    /**
     * Writes that a transaction may have: fewer after one was refused for good, until others have
     * gone through.
     */
    private int mostWrites;

    private int refusedWrites = Integer.MAX_VALUE;
    private long epoch;
    private String blockKey;
    private long blockRevision;
    private WriteBatch round;

    /** When what was served was written last. */
    private double servedAt;

    private long transactionsSent;
    private long recordsSent;
    private long rejectedTransactions;
    private long oversizeRecords;

    WriteBatcher(
            Store store,
            Timers timers,
            ShardState shard,
            ImageRecords images,
            StateWriter.Listener listener) {
        this.settings = shard.settings();
        this.store = store;
        this.timers = timers;
        this.shard = shard;
        this.images = images;
        this.listener = listener;
        this.writes = new TokenBucket(settings.store().writesPerSecond() * WRITE_SHARE);
        this.mostWrites = settings.store().maxTransactionOperations();
    }

    /** The block's record, under whose revision everything is written from now on. */
    void useShardRecord(String key, long revision) {
        blockKey = key;
        blockRevision = revision;
    }

    /** What is under way or waits is not wanted any more. */
    void stop() {
        epoch++;
        round = null;
        riders.clear();
        patient.clear();
    }

    void enqueue(BatchContributor contributor) {
        (contributor.isUrgent() ? riders : patient).add(contributor);
    }

    boolean isWriting() {
        return round != null;
    }

    long rejectedTransactions() {
        return rejectedTransactions;
    }

    long oversizeRecords() {
        return oversizeRecords;
    }

    long transactionsSent() {
        return transactionsSent;
    }

    long recordsSent() {
        return recordsSent;
    }

    /**
     * Writes what differs, if anything does and the rate allows; {@code done} runs when it is in
     * the store. What users wait for goes first: jobs that end, then placings, which nothing may
     * start before. Other changes take what is left of the rate: until an end is written, its
     * worker just goes on reporting it.
     */
    void write(Runnable done) {
        if (round != null) {
            return;
        }
        double now = timers.nowSeconds();
        double available = writes.available(now);
        int budget = (int) Math.min(mostWrites, available);
        WriteBatch batch = new WriteBatch();
        batch.transaction.requireRevision(blockKey, blockRevision);
        if (layOutAnew(batch, budget)) {
            go(batch, done, now);
            return;
        }
        board(batch, riders, budget);
        cascade(batch, budget * 3 / 4);
        // In turns: a swarm's ends, two writes each, would leave nothing to what is to start, and
        // the other way round.
        boolean endsFirst = transactionsSent % 2 == 0;
        if (endsFirst) {
            budget = ends(batch, budget);
        }
        // The longest waiting change goes along in any case, so that a stream of placings does not
        // put it off for ever.
        take(
                batch,
                shard.dirtyParts().withOtherChanges(),
                Math.min(budget, batch.transaction.writes().size() + 1));
        // Guards against a gang that waits for the records of hundreds of small jobs that were
        // placed before it.
        List<JobPart> placings = new ArrayList<>(shard.dirtyParts().withPlacements());
        placings.sort(Comparator.comparingInt(part -> part.job.queueRank()));
        take(batch, placings, budget);
        if (!endsFirst) {
            ends(batch, budget);
        }
        double spare = available - settings.store().writesPerSecond() * WRITE_SHARE / 2;
        take(batch, shard.dirtyParts().withOtherChanges(), (int) Math.min(budget, spare));
        // Guards against placings of a burst that wait for records which are only to be struck off;
        // a backlog of those
        // that would grow for ever goes along all the same.
        board(batch, patient, (int) Math.min(budget, patient.size() > budget ? budget : spare));
        if (batch.transaction.writes().size() < budget && batch.bytes < MAX_BYTES / 2) {
            Store.Write due = images.nextDueRecord(shard.machines().values(), now);
            if (due == null && now - servedAt > settings.workers().leaseSeconds() / 2) {
                servedAt = now;
                due =
                        new Store.Write(
                                StoreKeys.SERVICE_LEVELS,
                                shard.serviceLevels().toRecord(timers.wallClockMillis()),
                                0);
            }
            if (due != null && JsonSize.sizeInBytes(due.value()) <= shard.maxRecordBytes()) {
                batch.transaction.put(due.key(), due.value());
            }
        }
        if (!batch.transaction.writes().isEmpty()) {
            go(batch, done, now);
        }
    }

    private void go(WriteBatch batch, Runnable done, double now) {
        writes.tryTake(batch.transaction.writes().size(), now);
        round = batch;
        transactionsSent++;
        recordsSent += batch.transaction.writes().size();
        send(epoch, done);
    }

    /** A job whose parts can't be on record as they are laid out is written anew, by itself. */
    private boolean layOutAnew(WriteBatch batch, int budget) {
        for (Job job : shard.jobsToMigrate()) {
            if (job.isFinished()) {
                shard.migrationDone(job);
                continue;
            }
            RecordMigration l = new RecordMigration(job, settings.tasksPerCompactPart());
            if (l.writeCount() > settings.store().maxTransactionOperations()) {
                LOG.error(
                        "job {} has parts that can't be written under the limits that will come",
                        job.spec.id());
                shard.migrationDone(job);
            } else if (l.writeCount() <= budget) {
                l.contributeTo(batch.transaction);
                batch.migration = l;
                return true;
            }
        }
        return false;
    }

    private void board(WriteBatch batch, ArrayDeque<BatchContributor> waiting, int budget) {
        // Each takes a handful of writes at most; a quarter is left to everything else.
        while (!waiting.isEmpty()
                && batch.transaction.writes().size() < budget * 3 / 4
                && batch.bytes < MAX_BYTES / 2) {
            BatchContributor contributor = waiting.poll();
            if (contributor.isStillWanted()) {
                contributor.contributeTo(batch.transaction);
                batch.contributors.add(contributor);
                batch.bytes += settings.store().maxValueKibibytes() * 1024 / 4;
            }
        }
    }

    /**
     * Moves jobs that are done from open to over; returns the budget for what comes after, 0 if it
     * did not suffice.
     */
    private int ends(WriteBatch batch, int budget) {
        List<Job> dropped = new ArrayList<>();
        int left = budget;
        for (Job job : shard.jobs().values()) {
            if (job.isFinished()) {
                if (job.liveAttempts().isEmpty() && !job.hasPartRecords()) {
                    dropped.add(job);
                }
            } else if (ending(job) && !job.writingLoans()) {
                if (batch.transaction.writes().size() + 2 > left) {
                    left = 0; // Guards against placings that leave no job's end its two writes,
                    // round after round.
                } else {
                    finish(batch, job);
                }
            }
        }
        dropped.forEach(shard::removeJob);
        return left;
    }

    /** All its tasks are done, and it is for us to say so. */
    private static boolean ending(Job job) {
        return !job.isFinished()
                && job.areAllTasksDone()
                && !job.borrowed
                && !job.isCancelRequested();
    }

    private void take(WriteBatch batch, List<JobPart> from, int budget) {
        for (JobPart part : from) {
            if (batch.transaction.writes().size() >= budget || batch.bytes >= MAX_BYTES) {
                return;
            }
            Job job = part.job;
            if (ending(job)) {
                continue; // Once the job is written as done.
            }
            shard.dirtyParts().remove(part);
            if (!part.isDirty() || !batch.taken.add(part)) {
                continue;
            }
            if (!job.isFinished() && batch.conditioned.add(job)) {
                batch.transaction.requireRevision(job.recordKey, job.revision());
            }
            putPart(batch, part);
        }
    }

    private void finish(WriteBatch batch, Job job) {
        over(batch, job, "done", job.spec.taskCount());
        if (job.loansRevision() > 0) {
            batch.transaction
                    .requireRevision(StoreKeys.LENT_TASKS + job.spec.id(), job.loansRevision())
                    .remove(StoreKeys.LENT_TASKS + job.spec.id());
        }
        batch.finishing.add(job);
    }

    /**
     * Cancels jobs that need one which is cancelled. All that it takes is on record, so that the
     * next holder goes on with it wherever this one ends. They have no tasks to stop, as none of
     * them could start; but their users wait for word.
     */
    private void cascade(WriteBatch batch, int budget) {
        for (Job job : shard.jobDependencies().jobsToCancel()) {
            if (batch.transaction.writes().size() + 2 > budget || batch.bytes >= MAX_BYTES) {
                return;
            }
            over(batch, job, "cancelled", 0);
            batch.cancelling.add(job);
        }
    }

    private void over(WriteBatch batch, Job job, String status, int done) {
        Map<String, Object> record =
                job.record()
                        .toFinishedRecord(
                                Map.of(
                                        "status",
                                        status,
                                        "done",
                                        (long) done,
                                        "endedMs",
                                        timers.wallClockMillis()),
                                shard.maxRecordBytes());
        batch.bytes += JsonSize.sizeInBytes(record) + RECORD_BYTES;
        batch.transaction
                .requireRevision(job.recordKey, job.revision())
                .remove(job.recordKey)
                .put(StoreKeys.ENDED_JOBS + job.spec.id(), record);
    }

    private void putPart(WriteBatch batch, JobPart part) {
        Job job = part.job;
        String key = StoreKeys.partKey(job.spec.id(), part.index);
        List<Attempt> live = job.liveAttemptsInPart(part.index);
        boolean remove = job.isFinished() && live.isEmpty();
        if (remove && part.revision() == 0) {
            part.markRecordUnneeded();
            return;
        }
        batch.transaction.requireRevision(key, part.revision());
        if (remove) {
            batch.transaction.remove(key);
        } else {
            Map<String, Object> record = job.partRecord(part.index);
            if (JsonSize.sizeInBytes(record) > shard.maxRecordBytes()) {
                // Placed when records could be larger. Until enough of it has ended, its workers go
                // on reporting what has, and no more of it is placed.
                oversizeRecords++;
                batch.transaction.conditions().remove(batch.transaction.conditions().size() - 1);
                return;
            }
            batch.bytes += JsonSize.sizeInBytes(record) + RECORD_BYTES;
            batch.transaction.put(key, record);
        }
        batch.parts.add(new WriteBatch.WrittenPart(part, job.version(), remove));
    }

    private void send(long e, Runnable done) {
        WriteBatch batch = round;
        store.commit(
                batch.transaction,
                result -> {
                    if (e != epoch || round != batch) {
                        return;
                    }
                    switch (result.outcome()) {
                        case OK -> committed(batch, result.revision(), done);
                        case REJECTED -> refused(batch, result, done);
                        case INVALID -> rejectedTransactions(batch);
                        case NOT_EXECUTED -> timers.schedule(0.2, () -> resend(e, batch, done));
                        default -> {
                            // It may have been executed, or still be: the very same transaction
                            // again settles it, since its conditions let only one of the two
                            // through.
                            batch.mayHaveExecuted = true;
                            timers.schedule(0.1, () -> resend(e, batch, done));
                        }
                    }
                });
    }

    private void resend(long e, WriteBatch batch, Runnable done) {
        if (e == epoch && round == batch) {
            send(e, done);
        }
    }

    private void committed(WriteBatch batch, long revision, Runnable done) {
        round = null;
        mostWrites =
                Math.min(
                        Math.min(settings.store().maxTransactionOperations(), refusedWrites - 1),
                        mostWrites + 1);
        batch.contributors.forEach(x -> x.onCommitted(revision));
        for (WriteBatch.WrittenPart written : batch.parts) {
            shard.markPartWritten(
                    written.part(), written.version(), written.removed() ? 0 : revision);
        }
        for (Job job : batch.finishing) {
            LOG.info(
                    "job {} done: {}",
                    job.spec.id(),
                    job.describeTimings(timers.nowSeconds(), timers.wallClockMillis()));
            shard.serviceLevels().recordDone(job, timers.wallClockMillis());
            shard.jobDependencies().recordOutcome(job.spec.id(), true, timers.wallClockMillis());
            shard.finishJob(job.spec.id());
            listener.jobEnded(new JobStatus(job.spec.id(), "done", job.spec.taskCount(), 0));
        }
        for (Job job : batch.cancelling) {
            LOG.info("job {} cancelled, as one that it needs was", job.spec.id());
            shard.jobDependencies().recordOutcome(job.spec.id(), false, timers.wallClockMillis());
            shard.finishJob(job.spec.id());
            listener.jobEnded(new JobStatus(job.spec.id(), "cancelled", 0, 0));
        }
        if (batch.migration != null) {
            batch.migration.onCommitted(shard, revision);
        }
        done.run();
    }

    /** None of it was written; all of it waits again. */
    private void putBack(WriteBatch batch) {
        round = null;
        batch.parts.forEach(written -> shard.dirtyParts().enqueueIfDirty(written.part()));
        for (int i = batch.contributors.size() - 1; i >= 0; i--) {
            BatchContributor contributor = batch.contributors.get(i);
            (contributor.isUrgent() ? riders : patient).addFirst(contributor);
        }
    }

    /**
     * The store won't ever take it: its limits are lower than anybody said. Guards against the same
     * transaction worked out again and again while everything else waits: the next ones are
     * smaller, down to a single record, and one that is refused by itself waits until it has
     * changed.
     */
    private void rejectedTransactions(WriteBatch batch) {
        rejectedTransactions++;
        int n = batch.transaction.writes().size();
        Store.Write largest =
                batch.transaction.writes().stream()
                        .max(Comparator.comparingInt(WriteBatcher::size))
                        .orElseThrow();
        LOG.warn(
                "{} writes were refused for good, the largest one {} of {} bytes",
                n,
                largest.key(),
                size(largest));
        if (n > 1) {
            refusedWrites = Math.min(refusedWrites, n);
            mostWrites = Math.max(2, n / 2);
        } else if (largest.value() != null) {
            shard.lowerMaxRecordBytes(size(largest));
            refusedWrites = Integer.MAX_VALUE; // It may have been this one all the time.
        }
        if (batch.mayHaveExecuted) {
            round = null;
            listener.reloadRequired("an earlier try of this write may have been executed");
        } else if (batch.parts.size()
                        + batch.contributors.size()
                        + batch.finishing.size()
                        + batch.cancelling.size()
                > 1) {
            putBack(batch);
        } else {
            round = null;
            if (batch.migration != null) {
                shard.migrationDone(batch.migration.job);
            }
        }
    }

    private static int size(Store.Write write) {
        return write.value() == null ? 0 : JsonSize.sizeInBytes(write.value());
    }

    private void refused(WriteBatch batch, CommitResult result, Runnable done) {
        if (result.failedKeys().contains(blockKey)) {
            putBack(batch);
            listener.shardLost();
        } else if (batch.mayHaveExecuted) {
            settle(epoch, batch, result, done);
        } else {
            notWritten(batch, result);
        }
    }

    /**
     * An earlier try may have been carried out: whether it was shows where nobody else writes.
     * Guards against a holder that reads all jobs again for each answer that gets lost, and does
     * nothing else meanwhile.
     */
    private void settle(long e, WriteBatch batch, CommitResult result, Runnable done) {
        WriteBatch.Witness witness = batch.witness();
        if (witness == null) {
            putBack(batch);
            listener.reloadRequired("an earlier try of this write may have been executed");
            return;
        }
        store.get(
                witness.key(),
                (outcome, entry) -> {
                    if (e != epoch || round != batch) {
                        return;
                    }
                    boolean known = outcome == Outcome.OK || outcome == Outcome.REJECTED;
                    if (known && witness.showsCommitted(entry)) {
                        committed(batch, entry == null ? 0 : entry.revision(), done);
                    } else if (known) {
                        // Nor can it be any more: a revision that was passed never comes back.
                        notWritten(batch, result);
                    } else {
                        timers.schedule(0.2, () -> settle(e, batch, result, done));
                    }
                });
    }

    private void notWritten(WriteBatch batch, CommitResult result) {
        putBack(batch);
        for (String key : result.failedKeys()) {
            if (!key.startsWith(StoreKeys.OPEN_JOBS)) {
                listener.reloadRequired("unexpected revision of " + key);
                return;
            }
            // Cancelled just now; the next round goes without it.
            shard.finishJob(key.substring(StoreKeys.OPEN_JOBS.length()));
        }
        if (result.failedKeys().isEmpty()) {
            listener.reloadRequired("a write was refused without a reason");
        }
    }
}
