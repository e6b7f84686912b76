package io.kitepath.core.shard;

import java.util.HashMap;
import java.util.Map;

/**
 * A range of a job's tasks that is stored as one record, together with the versions that tell
 * whether that record is up to date.
 *
 * <p>Changes are numbered by the job's {@link Job#version() version}. A part is dirty while the
 * version of its last change is higher than the version of its record.
 */
public final class JobPart {
    public final Job job;

    /** The index of the part in its job, from 0; contained in the record's key. */
    public final int index;

    private long revision;
    private boolean isUnreadable;
    private int changedVersion;
    private int placedVersion;
    private int writtenVersion;

    /** The size of the part's live attempts in its record, in bytes. */
    private int liveAttemptBytes;

    /** The number of live attempts by machine id; the record contains each machine id once. */
    private final Map<String, Integer> attemptsPerMachine = new HashMap<>();

    JobPart(Job job, int index) {
        this.job = job;
        this.index = index;
    }

    /** The store revision of the part's record, 0 if there is none. */
    public long revision() {
        return revision;
    }

    /** Whether the part differs from its record and may be written. */
    public boolean isDirty() {
        return !isUnreadable && changedVersion > writtenVersion;
    }

    /** Whether the part has a placement not stored yet, whose task must not be launched. */
    boolean hasUnwrittenPlacement() {
        return placedVersion > writtenVersion;
    }

    /** Marks the part as clean without a record: there is none in the store and none is needed. */
    public void markRecordUnneeded() {
        writtenVersion = job.version();
    }

    void markDirty() {
        changedVersion = job.version();
    }

    void markPlacementDirty() {
        markDirty();
        placedVersion = job.version();
    }

    /** Records that the part's record was found in the store at {@code atRevision}. */
    void markRecordFound(long atRevision) {
        revision = atRevision;
    }

    /** Marks the part's record as unreadable, so that it is neither written nor removed. */
    void markUnreadable() {
        isUnreadable = true;
        revision = 0;
    }

    /** Marks the changes up to {@code version} of the job as stored in the part's record. */
    void markWritten(int version, long atRevision) {
        revision = atRevision;
        writtenVersion = version;
    }

    int liveAttemptBytes() {
        return liveAttemptBytes;
    }

    void addLiveAttempt(Attempt attempt) {
        boolean isFirstOnMachine =
                attemptsPerMachine.merge(attempt.machine.id, 1, Integer::sum) == 1;
        liveAttemptBytes += PartRecord.attemptBytes(attempt, isFirstOnMachine);
    }

    void removeLiveAttempt(Attempt attempt) {
        boolean wasLastOnMachine =
                attemptsPerMachine.merge(attempt.machine.id, -1, Integer::sum) == 0;
        if (wasLastOnMachine) {
            attemptsPerMachine.remove(attempt.machine.id);
        }
        liveAttemptBytes -= PartRecord.attemptBytes(attempt, wasLastOnMachine);
    }
}
