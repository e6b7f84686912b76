package io.kitepath.core.state;

import io.kitepath.core.model.JobRecord;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.ShardState;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Migrates the records of one job to smaller parts, in one transaction. Used for a gang or a
 * service, all of whose tasks have to be on record at the same time, if its parts are too large for
 * the state service's limits.
 */
final class RecordMigration {
    final Job job;

    /** The job's new record. */
    private final JobRecord newRecord;

    /** The job's version that the new records contain. */
    private final int jobVersion;

    /** The new records of the job's parts, by index; parts without content have no record. */
    private final Map<Integer, Map<String, Object>> partRecords = new LinkedHashMap<>();

    /** Number of part records that are removed. */
    private final int removedPartCount;

    /**
     * Computes the new records.
     *
     * @param tasksPerPart number of tasks in each new part
     */
    RecordMigration(Job job, int tasksPerPart) {
        this.job = job;
        this.jobVersion = job.version();
        JobRecord current = job.record();
        this.newRecord =
                new JobRecord(
                        current.spec(),
                        current.submittedMillis(),
                        current.dependencies(),
                        tasksPerPart,
                        job.nextAttempt());
        for (int i = 0; i * tasksPerPart < job.spec.taskCount(); i++) {
            int index = i;
            job.partRecordOf(i, tasksPerPart).ifPresent(part -> partRecords.put(index, part));
        }
        int removed = 0;
        for (int i = 0; i < job.partCount(); i++) {
            if (isRemoved(i)) {
                removed++;
            }
        }
        this.removedPartCount = removed;
    }

    private boolean isRemoved(int part) {
        return job.part(part).revision() > 0 && !partRecords.containsKey(part);
    }

    /** Returns the number of writes: the job's record and each part record written or removed. */
    int writeCount() {
        return 1 + partRecords.size() + removedPartCount;
    }

    void contributeTo(Transaction transaction) {
        String id = job.spec.id();
        transaction
                .requireRevision(job.recordKey, job.revision())
                .put(job.recordKey, newRecord.toRecord());
        for (int i = 0; i < job.partCount(); i++) {
            transaction.requireRevision(StoreKeys.partKey(id, i), job.part(i).revision());
            if (isRemoved(i)) {
                transaction.remove(StoreKeys.partKey(id, i));
            }
        }
        partRecords.forEach((i, part) -> transaction.put(StoreKeys.partKey(id, i), part));
    }

    /** Applies the migration once the store has committed it at the given revision. */
    void onCommitted(ShardState shard, long revision) {
        boolean changedMeanwhile = job.version() != jobVersion;
        shard.applyMigration(job, newRecord, revision, jobVersion, partRecords.keySet());
        if (changedMeanwhile) {
            shard.markAllPartsDirty(job);
        }
    }
}
