package io.kitepath.core.shard;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobRecord;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What of the shard's jobs the store has not been told, and how their records are laid out: a job's
 * tasks are divided into parts, each of which is one record of limited size. A job whose parts have
 * become too large for their records is migrated to smaller ones.
 */
final class PendingWrites {
    private static final Logger LOG = LoggerFactory.getLogger(PendingWrites.class);

    private final ClusterSettings settings;
    private final SchedulingSignal signal;
    private final DirtyParts dirtyParts = new DirtyParts();

    /** Jobs whose parts are to be laid out anew. */
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

    /** How many tasks one part of a job holds whose record does not say. */
    int tasksPerPart() {
        return tasksPerPart;
    }

    void setTasksPerPart(int tasks) {
        tasksPerPart = tasks;
    }

    /** As the settings say, or fewer if the store has refused a record of that size. */
    int maxRecordBytes() {
        return maxRecordBytes;
    }

    /** The store has refused a record of that size. */
    void lowerMaxRecordBytes(int refusedBytes) {
        maxRecordBytes = Math.min(maxRecordBytes, refusedBytes - 1);
    }

    /** Whether the record of the task's part can take one more attempt. */
    boolean fitsRecord(Job job, int task) {
        return job.fitsRecord(task, maxRecordBytes);
    }

    /** Whether the records of its parts can take all its tasks at once, or can't be made to. */
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
     * The store has the job's records in their new layout.
     *
     * @param version of the job, as of which they were written
     * @param writtenParts the parts that have a record; the others need none
     */
    void applyMigration(
            Job job, JobRecord record, long revision, int version, Set<Integer> writtenParts) {
        job.allParts().forEach(dirtyParts::remove); // The parts of the old layout are no more.
        job.applyMigration(record, revision);
        for (JobPart part : job.allParts()) {
            markPartWritten(part, version, writtenParts.contains(part.index) ? revision : 0);
        }
        clearMigrationRequest(job);
    }

    // ---- writes -------------------------------------------------------------------------------

    /**
     * Everything about this part up to {@code version} of its job is in the store: placements are
     * durable, and ends that it covers need not be remembered any more.
     */
    void markPartWritten(JobPart part, int version, long revision) {
        Job job = part.job;
        part.markWritten(version, revision);
        dirtyParts.enqueueIfDirty(part);
        for (Attempt attempt : job.liveAttemptsInPart(part.index)) {
            if (attempt.placedVersion <= version && !attempt.isDurable) {
                attempt.isDurable = true;
                LOG.debug("placement written: attempt={} revision={}", attempt, revision);
            }
        }
        job.unwrittenEnds.removeIf(
                attempt -> {
                    boolean isWritten =
                            job.partOf(attempt.task) == part.index
                                    && attempt.endedVersion <= version;
                    if (isWritten) {
                        attempt.machine.placedWork().removeUncommittedEnd(attempt);
                    }
                    return isWritten;
                });
    }

    /** All the job's parts may differ from their records. */
    void markAllPartsDirty(Job job) {
        job.markAllDirty();
        job.allParts().forEach(dirtyParts::addChange);
    }
}
