package io.kitepath.core.shard;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobRecord;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The changes to the shard's jobs that are not stored yet, and the layout of the jobs' records: a
 * job's tasks are divided into parts, each of which is one record of limited size. A job whose
 * parts have become too large for their records is migrated to smaller parts.
 */
final class PendingWrites {
    private static final Logger LOG = LoggerFactory.getLogger(PendingWrites.class);

    private final ClusterSettings settings;
    private final SchedulingSignal signal;
    private final DirtyParts dirtyParts = new DirtyParts();

    /** Jobs whose records are to be migrated to another part size. */
    private final Set<Job> jobsToMigrate = new LinkedHashSet<>();

    private int tasksPerPart;
    private int maxRecordBytes;

    PendingWrites(ClusterSettings settings, SchedulingSignal signal) {
        this.settings = settings;
        this.signal = signal;
        this.tasksPerPart = settings.tasksPerPart();
        this.maxRecordBytes = settings.store().maxValueBytes();
    }

    DirtyParts dirtyParts() {
        return dirtyParts;
    }

    void clear() {
        dirtyParts.clear();
        jobsToMigrate.clear();
    }

    // ---- layout -------------------------------------------------------------------------------

    /** The number of tasks per part for a job whose record does not contain it. */
    int tasksPerPart() {
        return tasksPerPart;
    }

    void setTasksPerPart(int newTasksPerPart) {
        tasksPerPart = newTasksPerPart;
    }

    /** The limit from the settings, lowered if the store has refused a record of that size. */
    int maxRecordBytes() {
        return maxRecordBytes;
    }

    /** Lowers the limit below the size of a record that the store has refused. */
    void lowerMaxRecordBytes(int refusedBytes) {
        maxRecordBytes = Math.min(maxRecordBytes, refusedBytes - 1);
    }

    /** Whether one more attempt fits into the record of the task's part. */
    boolean fitsRecord(Job job, int task) {
        return job.fitsRecord(task, maxRecordBytes);
    }

    /**
     * Whether attempts of all tasks fit into the records of the job's parts at once, or the parts
     * cannot be made smaller.
     */
    boolean fitsRecord(Job job) {
        return job.hasPartsOfAtMost(settings.tasksPerCompactPart())
                || job.allTasksFitRecords(maxRecordBytes);
    }

    // ---- migration ----------------------------------------------------------------------------

    void requestMigration(Job job) {
        jobsToMigrate.add(job);
        signal.request();
    }

    List<Job> jobsToMigrate() {
        return List.copyOf(jobsToMigrate);
    }

    void clearMigrationRequest(Job job) {
        jobsToMigrate.remove(job);
        signal.request();
    }

    /**
     * Applies a committed migration of the job's records to a new layout.
     *
     * @param version the version of the job that the records contain
     * @param writtenParts the indices of the parts that have a record; the others need none
     */
    void applyMigration(
            Job job, JobRecord record, long revision, int version, Set<Integer> writtenParts) {
        job.allParts().forEach(dirtyParts::remove); // The old layout's parts no longer exist.
        job.applyMigration(record, revision);
        for (JobPart part : job.allParts()) {
            markPartWritten(part, version, writtenParts.contains(part.index) ? revision : 0);
        }
        clearMigrationRequest(job);
    }

    // ---- writes -------------------------------------------------------------------------------

    /**
     * Marks all changes of the part up to {@code version} of its job as stored. Placements up to
     * that version become durable, and attempts whose ends it covers are dropped.
     */
    void markPartWritten(JobPart part, int version, long revision) {
        Job job = part.job;
        part.markWritten(version, revision);
        dirtyParts.enqueueIfDirty(part);
        for (Attempt attempt : job.liveAttemptsInPart(part.index)) {
            if (attempt.placedVersion <= version && !attempt.isDurable) {
                attempt.isDurable = true;
                LOG.debug("placement committed: attempt={} revision={}", attempt, revision);
            }
        }
        job.unwrittenEnds.removeIf(
                attempt -> {
                    boolean isWritten =
                            job.partIndexOf(attempt.task) == part.index
                                    && attempt.endedVersion <= version;
                    if (isWritten) {
                        attempt.machine.placedWork().removeUncommittedEnd(attempt);
                    }
                    return isWritten;
                });
    }

    /** Marks all parts of the job as changed since their last write. */
    void markAllPartsDirty(Job job) {
        job.markAllDirty();
        job.allParts().forEach(dirtyParts::addChange);
    }
}
