package io.kitepath.core.shard;

import io.kitepath.core.model.JobSpec;
import java.util.Collection;
import java.util.List;

/**
 * How a job's tasks are divided into {@link JobPart parts}, which of them differ from their
 * records, and whether those records fit into the store's limit.
 *
 * <p>The version counts the changes that some record has to follow. It only ever rises, also across
 * a migration to other parts.
 */
final class JobParts {
    private final Job job;
    private int tasksPerPart;
    private JobPart[] parts;
    private int version = 1;

    JobParts(Job job, int tasksPerPart) {
        this.job = job;
        create(tasksPerPart);
    }

    private void create(int tasks) {
        tasksPerPart = tasks;
        parts = new JobPart[(job.spec.taskCount() + tasksPerPart - 1) / tasksPerPart];
        for (int i = 0; i < parts.length; i++) {
            parts[i] = new JobPart(job, i);
        }
    }

    /** Replaces all parts by new ones of another size, whose records are not known yet. */
    void recreate(int tasks, Collection<Attempt> live) {
        create(tasks);
        live.forEach(this::countLive);
    }

    int tasksPerPart() {
        return tasksPerPart;
    }

    int count() {
        return parts.length;
    }

    JobPart get(int index) {
        return parts[index];
    }

    List<JobPart> all() {
        return List.of(parts);
    }

    int indexOf(int task) {
        return task / tasksPerPart;
    }

    int firstTask(int index) {
        return index * tasksPerPart;
    }

    /** The task after the part's last one; may be beyond the job's last task. */
    int endTask(int index) {
        return (index + 1) * tasksPerPart;
    }

    private JobPart partOf(int task) {
        return parts[indexOf(task)];
    }

    // ---- dirty parts ----------------------------------------------------------------------------

    int version() {
        return version;
    }

    /** Starts a new version, which the parts that are marked from now on differ by. */
    void advanceVersion() {
        version++;
    }

    /** Marks the task's part as changed in the present version. */
    void markDirtyInVersion(int task) {
        partOf(task).markDirty();
    }

    /** Marks the task's part as changed in a new version. */
    JobPart markDirty(int task) {
        advanceVersion();
        JobPart part = partOf(task);
        part.markDirty();
        return part;
    }

    /** Marks the task's part as having a new placement, in a new version. */
    JobPart markPlacementDirty(int task) {
        advanceVersion();
        JobPart part = partOf(task);
        part.markPlacementDirty();
        return part;
    }

    /** Marks all parts as changed in one new version. */
    void markAllDirty() {
        advanceVersion();
        for (JobPart part : parts) {
            part.markDirty();
        }
    }

    boolean hasRecords() {
        for (JobPart part : parts) {
            if (part.revision() > 0) {
                return true;
            }
        }
        return false;
    }

    // ---- size of the records --------------------------------------------------------------------

    void countLive(Attempt attempt) {
        partOf(attempt.task).countLive(attempt);
    }

    void uncountLive(Attempt attempt) {
        partOf(attempt.task).uncountLive(attempt);
    }

    /** An upper bound of the bytes of the part's record as it is now. */
    int recordBytes(int index) {
        return PartRecord.bytesWithoutAttempts(tasksPerPart) + parts[index].liveBytes();
    }

    /** Whether the record of the task's part can take one more attempt. */
    boolean fitsRecord(int task, int maxRecordBytes) {
        return PartRecord.hasRoomFor(1, recordBytes(indexOf(task)), maxRecordBytes);
    }

    /** Whether the records hold all tasks at once, each on a machine of its own. */
    static boolean allTasksFitRecords(JobSpec spec, int tasksPerPart, int maxRecordBytes) {
        int tasksInPart = Math.min(spec.taskCount(), tasksPerPart);
        return PartRecord.hasRoomFor(
                tasksInPart, PartRecord.bytesWithoutAttempts(tasksPerPart), maxRecordBytes);
    }
}
