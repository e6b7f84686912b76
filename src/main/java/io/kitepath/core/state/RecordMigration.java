package io.kitepath.core.state;

import io.kitepath.core.model.JobRecord;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.ShardState;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One job's records laid out anew, in narrower parts, in one transaction: a gang, or a service, all
 * of whose tasks have to be on record at the same time, which its parts are too wide for under the
 * state service's limits.
 */
final class RecordMigration {
    final Job job;
    private final JobRecord record;
    private final int version;
    private final Map<Integer, Map<String, Object>> parts = new LinkedHashMap<>();
    private final int removedParts;

    RecordMigration(Job job, int partTasks) {
        this.job = job;
        this.version = job.version();
        JobRecord was = job.record();
        this.record =
                new JobRecord(
                        was.spec(),
                        was.submittedMillis(),
                        was.dependencies(),
                        partTasks,
                        job.nextAttempt());
        for (int i = 0; i * partTasks < job.spec.taskCount(); i++) {
            Map<String, Object> part = job.partRecordOf(i, partTasks);
            if (part != null) {
                parts.put(i, part);
            }
        }
        int gone = 0;
        for (int i = 0; i < job.partCount(); i++) {
            gone += job.part(i).revision() > 0 && !parts.containsKey(i) ? 1 : 0;
        }
        this.removedParts = gone;
    }

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
            if (job.part(i).revision() > 0 && !parts.containsKey(i)) {
                transaction.remove(StoreKeys.partKey(id, i));
            }
        }
        parts.forEach((i, p) -> transaction.put(StoreKeys.partKey(id, i), p));
    }

    /** The store has it at that revision. */
    void onCommitted(ShardState shard, long revision) {
        boolean same = job.version() == version;
        shard.applyMigration(job, record, revision, version, parts.keySet());
        if (!same) {
            shard.markAllPartsDirty(job);
        }
    }
}
