package io.kitepath.core.shard;

import io.kitepath.core.model.JobSpec;
import java.util.Collection;
import java.util.List;

/**
 * The division of a job's tasks into {@link JobPart parts}. Tracks which parts differ from their
 * records, and whether the records fit the size limit of the store.
 *
 * <p>The version counts the changes that have to be stored. It never decreases, not even when a
 * migration replaces the parts.
 */
final class JobParts {
    private final Job job;
    private int tasksPerPart;
    private JobPart[] parts;
    private int version = 1;

    JobParts(Job job, int tasksPerPart) {
        this.job = job;
        createParts(tasksPerPart);
    }

    private void createParts(int newTasksPerPart) {
        tasksPerPart = newTasksPerPart;
        parts = new JobPart[(job.spec.taskCount() + tasksPerPart - 1) / tasksPerPart];
        for (int i = 0; i < parts.length; i++) {
            parts[i] = new JobPart(job, i);
        }
    }

    /** Replaces all parts by parts of another size, whose records are not known yet. */
    void recreate(int newTasksPerPart, Collection<Attempt> liveAttempts) {
        createParts(newTasksPerPart);
        liveAttempts.forEach(this::addLiveAttempt);
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

    /** The end (exclusive) of the part's tasks; may exceed the number of the job's tasks. */
    int endTask(int index) {
        return (index + 1) * tasksPerPart;
    }

    private JobPart partContaining(int task) {
        return parts[indexOf(task)];
    }

    // ---- dirty parts ----------------------------------------------------------------------------

    int version() {
        return version;
    }

    /** Starts a new version, to which subsequent changes belong. */
    void advanceVersion() {
        version++;
    }

    /** Marks the task's part as changed in the current version. */
    void markDirtyInVersion(int task) {
        partContaining(task).markDirty();
    }

    /** Marks the task's part as changed in a new version. */
    JobPart markDirty(int task) {
        advanceVersion();
        JobPart part = partContaining(task);
        part.markDirty();
        return part;
    }

    /** Marks the task's part as having a new placement, in a new version. */
    JobPart markPlacementDirty(int task) {
        advanceVersion();
        JobPart part = partContaining(task);
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

    // ---- record size ----------------------------------------------------------------------------

    void addLiveAttempt(Attempt attempt) {
        partContaining(attempt.task).addLiveAttempt(attempt);
    }

    void removeLiveAttempt(Attempt attempt) {
        partContaining(attempt.task).removeLiveAttempt(attempt);
    }

    /** An upper bound of the current size of the part's record, in bytes. */
    int recordBytes(int index) {
        return PartRecord.bytesWithoutAttempts(tasksPerPart) + parts[index].liveAttemptBytes();
    }

    /** Whether one more attempt fits into the record of the task's part. */
    boolean fitsRecord(int task, int maxRecordBytes) {
        return PartRecord.fitsAttempts(1, recordBytes(indexOf(task)), maxRecordBytes);
    }

    /** Whether the records can hold attempts of all tasks at once, each on a different machine. */
    static boolean allTasksFitRecords(JobSpec spec, int tasksPerPart, int maxRecordBytes) {
        int tasksInPart = Math.min(spec.taskCount(), tasksPerPart);
        return PartRecord.fitsAttempts(
                tasksInPart, PartRecord.bytesWithoutAttempts(tasksPerPart), maxRecordBytes);
    }
}
