package io.kitepath.core.shard;

import java.util.HashMap;
import java.util.Map;

/**
 * A slice of a job's tasks that is stored as one record, and how far that record is behind.
 *
 * <p>Changes are numbered by the job's {@link Job#version() version}: a part is dirty while the
 * version of its last change is above the version that its record holds.
 */
public final class JobPart {
    public final Job job;

    /** The position of the part in its job, from 0; part of the record's key. */
    public final int index;

    private long revision;
    private boolean unreadable;
    private int changedVersion;
    private int placedVersion;
    private int writtenVersion;

    /** Bytes that the part's live attempts take in its record. */
    private int liveBytes;

    /** Live attempts of this part by machine id; the record names each machine once. */
    private final Map<String, Integer> attemptsPerMachine = new HashMap<>();

    JobPart(Job job, int index) {
        this.job = job;
        this.index = index;
    }

    /** The store revision of the part's record, 0 if there is none. */
    public long revision() {
        return revision;
    }

    /** Whether the part differs from its record, and may be written. */
    public boolean isDirty() {
        return !unreadable && changedVersion > writtenVersion;
    }

    /** Whether the part has a placement that its record lacks; such a task must not be launched. */
    boolean hasUnwrittenPlacement() {
        return placedVersion > writtenVersion;
    }

    /** Marks the part as clean without a record: the store has none and needs none. */
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

    /** The part's record was found in the store at {@code atRevision}. */
    void markFound(long atRevision) {
        revision = atRevision;
    }

    /** The part's record can't be read; it is neither written nor removed. */
    void markUnreadable() {
        unreadable = true;
        revision = 0;
    }

    /** The part's record holds everything up to that version of the job. */
    void markWritten(int version, long atRevision) {
        revision = atRevision;
        writtenVersion = version;
    }

    int liveBytes() {
        return liveBytes;
    }

    void countLive(Attempt attempt) {
        boolean isFirstOnMachine =
                attemptsPerMachine.merge(attempt.machine.id, 1, Integer::sum) == 1;
        liveBytes += PartRecord.attemptBytes(attempt, isFirstOnMachine);
    }

    void uncountLive(Attempt attempt) {
        boolean wasLastOnMachine =
                attemptsPerMachine.merge(attempt.machine.id, -1, Integer::sum) == 0;
        if (wasLastOnMachine) {
            attemptsPerMachine.remove(attempt.machine.id);
        }
        liveBytes -= PartRecord.attemptBytes(attempt, wasLastOnMachine);
    }
}
