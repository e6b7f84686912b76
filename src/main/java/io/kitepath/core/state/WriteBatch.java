package io.kitepath.core.state;

import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.port.Store.Write;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.JobPart;
import io.kitepath.core.state.StateWriter.BatchContributor;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * One transaction of the shard leader, conditional on the revision of the shard's record, together
 * with the changes to apply in memory once the store has committed it.
 */
final class WriteBatch {
    /** Maximum estimated size of the JSON form; a transaction may hold 64 KiB. */
    private static final int MAX_ESTIMATED_BYTES = 48 * 1024;

    /** Estimated size of a record's key and conditions, without its value. */
    private static final int RECORD_OVERHEAD_BYTES = 128;

    /** A part of a job as written: up to {@code version} of the job, or removed. */
    record WrittenPart(JobPart part, int version, boolean removed) {
        private String key() {
            return StoreKeys.partKey(part.job.spec.id(), part.index);
        }
    }

    /** The state of a record that shows that its batch was committed. */
    private enum CommittedIf {
        REVISION_CHANGED,
        JOB_DONE,
        RECORD_GONE
    }

    /**
     * A record that shows whether the batch was committed: this batch writes it, and no other
     * writer writes it under the same revision of the shard's record.
     *
     * @param revisionBefore the record's revision before the batch, 0 if it did not exist
     */
    record CommitCheck(String key, long revisionBefore, CommittedIf committedIf) {
        /**
         * Returns whether the batch was committed.
         *
         * @param current the current record, null if it does not exist
         */
        boolean isCommitted(Entry current) {
            return switch (committedIf) {
                case REVISION_CHANGED -> current != null && current.revision() != revisionBefore;
                // A user's cancellation may have been written instead.
                case JOB_DONE ->
                        current != null
                                && DocumentReader.of(current.value())
                                        .text("status")
                                        .equals(EndStatus.DONE.storedName());
                case RECORD_GONE -> current == null;
            };
        }
    }

    private final Transaction transaction = new Transaction();
    private final List<WrittenPart> parts = new ArrayList<>();
    private final List<Job> completedJobs = new ArrayList<>();
    private final List<Job> cancelledJobs = new ArrayList<>();
    private final Set<JobPart> visitedParts = new HashSet<>();
    private final Set<Job> conditionedJobs = new HashSet<>();
    private final List<BatchContributor> contributors = new ArrayList<>();
    private Optional<RecordMigration> migration = Optional.empty();
    private boolean mayHaveExecuted;
    private int estimatedBytes;

    /** Creates an empty batch that is conditional on the revision of the shard's record. */
    WriteBatch(String shardKey, long shardRevision) {
        transaction.requireRevision(shardKey, shardRevision);
    }

    // ---- composing ------------------------------------------------------------------------------

    int writeCount() {
        return transaction.writes().size();
    }

    boolean isFull() {
        return estimatedBytes >= MAX_ESTIMATED_BYTES;
    }

    /**
     * Returns whether the batch has reached half its size. From then on only records of the shard's
     * own state are added.
     */
    boolean isHalfFull() {
        return estimatedBytes >= MAX_ESTIMATED_BYTES / 2;
    }

    /** Marks the part as visited; returns false if it was visited before. */
    boolean markVisited(JobPart part) {
        return visitedParts.add(part);
    }

    /** Makes the batch conditional on the open job's record; repeated calls have no effect. */
    void requireOpenJob(Job job) {
        if (conditionedJobs.add(job)) {
            transaction.requireRevision(job.recordKey, job.revision());
        }
    }

    void putPart(JobPart part, Map<String, Object> record, int recordBytes) {
        WrittenPart written = new WrittenPart(part, part.job.version(), false);
        transaction.requireRevision(written.key(), part.revision()).put(written.key(), record);
        parts.add(written);
        addRecordBytes(recordBytes);
    }

    void removePart(JobPart part) {
        WrittenPart written = new WrittenPart(part, part.job.version(), true);
        transaction.requireRevision(written.key(), part.revision()).remove(written.key());
        parts.add(written);
    }

    /** Moves the job from the open jobs to the ended jobs and removes its record of lent tasks. */
    void complete(Job job, Map<String, Object> record, int recordBytes) {
        moveToEnded(job, record, recordBytes);
        if (job.loansRevision() > 0) {
            String lentKey = StoreKeys.LENT_TASKS + job.spec.id();
            transaction.requireRevision(lentKey, job.loansRevision()).remove(lentKey);
        }
        completedJobs.add(job);
    }

    /** Moves a job that never started from the open jobs to the ended jobs. */
    void cancel(Job job, Map<String, Object> record, int recordBytes) {
        moveToEnded(job, record, recordBytes);
        cancelledJobs.add(job);
    }

    private void moveToEnded(Job job, Map<String, Object> record, int recordBytes) {
        addRecordBytes(recordBytes);
        transaction
                .requireRevision(job.recordKey, job.revision())
                .remove(job.recordKey)
                .put(StoreKeys.ENDED_JOBS + job.spec.id(), record);
    }

    void addContributor(BatchContributor contributor, int expectedBytes) {
        contributor.contributeTo(transaction);
        contributors.add(contributor);
        estimatedBytes += expectedBytes;
    }

    void addMigration(RecordMigration recordMigration) {
        recordMigration.contributeTo(transaction);
        migration = Optional.of(recordMigration);
    }

    /** Adds a hint: a record without a condition that no state in memory depends on. */
    void putHint(Write write) {
        transaction.put(write.key(), write.value());
    }

    private void addRecordBytes(int recordBytes) {
        estimatedBytes += recordBytes + RECORD_OVERHEAD_BYTES;
    }

    // ---- after sending --------------------------------------------------------------------------

    Transaction transaction() {
        return transaction;
    }

    List<WrittenPart> parts() {
        return Collections.unmodifiableList(parts);
    }

    /** Returns the jobs that the batch ends because all their tasks are done. */
    List<Job> completedJobs() {
        return Collections.unmodifiableList(completedJobs);
    }

    /** Returns the jobs that the batch cancels because a dependency was cancelled. */
    List<Job> cancelledJobs() {
        return Collections.unmodifiableList(cancelledJobs);
    }

    List<BatchContributor> contributors() {
        return Collections.unmodifiableList(contributors);
    }

    Optional<RecordMigration> migration() {
        return migration;
    }

    /** Returns the number of changes in the batch, each of which may take several writes. */
    int changeCount() {
        return parts.size() + contributors.size() + completedJobs.size() + cancelledJobs.size();
    }

    /**
     * Returns whether an earlier attempt to send the batch may have been or may yet be executed.
     */
    boolean mayHaveExecuted() {
        return mayHaveExecuted;
    }

    void markMayHaveExecuted() {
        mayHaveExecuted = true;
    }

    /**
     * Returns a record that shows whether the batch was committed; empty if other writers may have
     * written all records of the batch.
     */
    Optional<CommitCheck> commitCheck() {
        for (WrittenPart written : parts) {
            if (!written.removed) {
                return Optional.of(
                        new CommitCheck(
                                written.key(),
                                written.part.revision(),
                                CommittedIf.REVISION_CHANGED));
            }
        }
        if (!completedJobs.isEmpty()) {
            String key = StoreKeys.ENDED_JOBS + completedJobs.get(0).spec.id();
            return Optional.of(new CommitCheck(key, 0, CommittedIf.JOB_DONE));
        }
        // A removed record has no revision, but contributors need the one of the commit.
        if (parts.isEmpty() || !contributors.isEmpty()) {
            return Optional.empty();
        }
        WrittenPart removed = parts.get(0);
        return Optional.of(
                new CommitCheck(removed.key(), removed.part.revision(), CommittedIf.RECORD_GONE));
    }
}
