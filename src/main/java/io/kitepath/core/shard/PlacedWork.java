package io.kitepath.core.shard;

import io.kitepath.core.model.JobSpec;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * The work placed on one machine: its attempts that are not confirmed ended, the resources that
 * they use, ended attempts whose end is not committed to the store yet, and tasks that belong to no
 * known job.
 */
final class PlacedWork {
    /** Attempts that are not confirmed ended. */
    private final List<Attempt> attempts = new ArrayList<>();

    private final List<Attempt> attemptsView = Collections.unmodifiableList(attempts);
    private final List<Attempt> uncommittedEnds = new ArrayList<>();
    private int unknownTasks;
    private double usedCpus;
    private double usedGpus;
    private double usedMemoryGigabytes;
    private double nonSpotCpus;
    private int unconfirmedStarts;

    void addAttempt(Attempt attempt) {
        attempts.add(attempt);
        adjustUsage(attempt.job.spec, 1);
        unconfirmedStarts += attempt.isSeen ? 0 : 1;
    }

    /** Removes the attempt; returns whether it was placed here. */
    boolean removeAttempt(Attempt attempt) {
        if (!attempts.remove(attempt)) {
            return false;
        }
        adjustUsage(attempt.job.spec, -1);
        unconfirmedStarts -= attempt.isSeen ? 0 : 1;
        if (attempts.isEmpty()) {
            resetUsage();
        }
        return true;
    }

    /**
     * Removes all attempts, including ended ones; the number of unknown tasks stays as the last
     * heartbeat showed it.
     */
    void clearAttempts() {
        attempts.clear();
        uncommittedEnds.clear();
        resetUsage();
    }

    /**
     * Resets the sums to zero. The sums are updated incrementally, so an empty machine starts from
     * zero to keep rounding errors from accumulating.
     */
    private void resetUsage() {
        usedCpus = 0;
        usedGpus = 0;
        usedMemoryGigabytes = 0;
        nonSpotCpus = 0;
        unconfirmedStarts = 0;
    }

    private void adjustUsage(JobSpec spec, int sign) {
        usedCpus += sign * spec.cpusPerTask();
        usedGpus += sign * spec.gpusPerTask();
        usedMemoryGigabytes += sign * spec.memoryGigabytesPerTask();
        if (!spec.allowsSpot()) {
            nonSpotCpus += sign * spec.cpusPerTask();
        }
    }

    /** Counts a task that is about to be placed here (1), or that is not placed after all (-1). */
    void countTentatively(JobSpec spec, int sign) {
        adjustUsage(spec, sign);
        unconfirmedStarts += sign;
    }

    /** Records that a heartbeat has listed an attempt for the first time. */
    void confirmStart() {
        unconfirmedStarts--;
    }

    /** Adds an attempt that is confirmed ended, but whose end is not committed to the store yet. */
    void addUncommittedEnd(Attempt attempt) {
        uncommittedEnds.add(attempt);
    }

    void removeUncommittedEnd(Attempt attempt) {
        uncommittedEnds.remove(attempt);
    }

    /** Attempts that are confirmed ended, but whose end is not committed to the store yet. */
    List<Attempt> uncommittedEnds() {
        return Collections.unmodifiableList(uncommittedEnds);
    }

    /** Unmodifiable view of the attempts that are not confirmed ended. */
    List<Attempt> attempts() {
        return attemptsView;
    }

    /**
     * Number of tasks on the machine that belong to no known job; until they have ended, the
     * machine accepts no work.
     */
    int unknownTasks() {
        return unknownTasks;
    }

    void setUnknownTasks(int count) {
        unknownTasks = count;
    }

    boolean isBusy() {
        return unknownTasks > 0 || !attempts.isEmpty();
    }

    double usedCpus() {
        return usedCpus;
    }

    double usedGpus() {
        return usedGpus;
    }

    /** Memory of the attempts that are not confirmed ended, in GB. */
    double usedMemoryGigabytes() {
        return usedMemoryGigabytes;
    }

    /** The part of the used CPUs that belongs to work that may not use spot instances. */
    double nonSpotCpus() {
        return nonSpotCpus;
    }

    /** Number of placed attempts that no heartbeat has listed yet. */
    int unconfirmedStarts() {
        return unconfirmedStarts;
    }
}
