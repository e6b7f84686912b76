package io.kitepath.core.state;

import io.kitepath.core.model.JobRecord;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.ShardState;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Moves one job's records to narrower parts, in one transaction: those of a gang or a service, all
 * of whose tasks have to be on record at the same time, where its parts are too wide for the state
 * service's limits.
 */
final class RecordMigration {
    final Job job;

    /** The job's record as it will be. */
    private final JobRecord record;

    /** The job's version that the new records show. */
    private final int version;

    /** The new records of its parts, by index; parts of which there is nothing to say have none. */
    private final Map<Integer, Map<String, Object>> parts = new LinkedHashMap<>();

    /** Records of parts that go. */
    private final int removedParts;

    /**
     * Works out the new records.
     *
     * @param tasksPerPart how many tasks each of the new parts holds
     */
    RecordMigration(Job job, int tasksPerPart) {
        this.job = job;
        this.version = job.version();
        JobRecord current = job.record();
        this.record =
                new JobRecord(
                        current.spec(),
                        current.submittedMillis(),
                        current.dependencies(),
                        tasksPerPart,
                        job.nextAttempt());
        for (int i = 0; i * tasksPerPart < job.spec.taskCount(); i++) {
            int index = i;
            job.partRecordOf(i, tasksPerPart).ifPresent(part -> parts.put(index, part));
        }
        int removed = 0;
        for (int i = 0; i < job.partCount(); i++) {
            if (isRemoved(i)) {
                removed++;
            }
        }
        this.removedParts = removed;
    }

    private boolean isRemoved(int part) {
        return job.part(part).revision() > 0 && !parts.containsKey(part);
    }

    /** Writes that the migration takes: the job's record, and each part's that comes or goes. */
    int writeCount() {
        return 1 + parts.size() + removedParts;
    }

    void contributeTo(Transaction transaction) {
        String id = job.spec.id();
        transaction
                .requireRevision(job.recordKey, job.revision())
                .put(job.recordKey, record.toRecord());
        for (int i = 0; i < job.partCount(); i++) {
            transaction.requireRevision(StoreKeys.partKey(id, i), job.part(i).revision());
            if (isRemoved(i)) {
                transaction.remove(StoreKeys.partKey(id, i));
            }
        }
        parts.forEach((i, part) -> transaction.put(StoreKeys.partKey(id, i), part));
    }

    /** The store has the new records, at that revision. */
    void onCommitted(ShardState shard, long revision) {
        boolean changedMeanwhile = job.version() != version;
        shard.applyMigration(job, record, revision, version, parts.keySet());
        if (changedMeanwhile) {
            shard.markAllPartsDirty(job);
        }
    }
}
