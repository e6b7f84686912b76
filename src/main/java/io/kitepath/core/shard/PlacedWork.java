package io.kitepath.core.shard;

import io.kitepath.core.model.JobSpec;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * What is placed on one machine: its attempts that are not proven over, the resources that they
 * use, ended attempts that the store does not know yet, and tasks that belong to no known job.
 */
final class PlacedWork {
    /** Attempts not proven over. */
    private final List<Attempt> attempts = new ArrayList<>();

    private final List<Attempt> attemptsView = Collections.unmodifiableList(attempts);
    private final List<Attempt> unwrittenEnds = new ArrayList<>();
    private int unknownTasks;
    private double usedCpus;
    private double usedGpus;
    private double usedMemory;
    private double nonSpotCpus;
    private int unconfirmedStarts;

    void add(Attempt attempt) {
        attempts.add(attempt);
        countUsage(attempt.job.spec, 1);
        unconfirmedStarts += attempt.isSeen ? 0 : 1;
    }

    /** Returns whether the attempt was there. */
    boolean remove(Attempt attempt) {
        if (!attempts.remove(attempt)) {
            return false;
        }
        countUsage(attempt.job.spec, -1);
        unconfirmedStarts -= attempt.isSeen ? 0 : 1;
        if (attempts.isEmpty()) {
            resetUsage();
        }
        return true;
    }

    /** Forgets all attempts, ended ones too; unknown tasks stay as the last report showed them. */
    void forgetAttempts() {
        attempts.clear();
        unwrittenEnds.clear();
        resetUsage();
    }

    /**
     * Sums are maintained, not recomputed; an empty machine starts from zero, so that rounding
     * errors don't add up.
     */
    private void resetUsage() {
        usedCpus = 0;
        usedGpus = 0;
        usedMemory = 0;
        nonSpotCpus = 0;
        unconfirmedStarts = 0;
    }

    private void countUsage(JobSpec spec, int sign) {
        usedCpus += sign * spec.cpusPerTask();
        usedGpus += sign * spec.gpusPerTask();
        usedMemory += sign * spec.memoryGigabytesPerTask();
        if (!spec.allowsSpot()) {
            nonSpotCpus += sign * spec.cpusPerTask();
        }
    }

    /** Counts a task that is about to be placed here (1), or is not after all (-1). */
    void countTentatively(JobSpec spec, int sign) {
        countUsage(spec, sign);
        unconfirmedStarts += sign;
    }

    /** A report has shown an attempt for the first time. */
    void confirmStart() {
        unconfirmedStarts--;
    }

    /** An attempt is proven over, which the store does not know yet. */
    void addUnwrittenEnd(Attempt attempt) {
        unwrittenEnds.add(attempt);
    }

    void removeUnwrittenEnd(Attempt attempt) {
        unwrittenEnds.remove(attempt);
    }

    /** Attempts proven over, which the store does not know yet; they are cleared once it does. */
    List<Attempt> unwrittenEnds() {
        return Collections.unmodifiableList(unwrittenEnds);
    }

    /** Unmodifiable view of the attempts not proven over. */
    List<Attempt> attempts() {
        return attemptsView;
    }

    /**
     * Tasks on the machine that belong to no job we know; until they are gone, the machine takes
     * nothing.
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

    /** In GB. */
    double usedMemory() {
        return usedMemory;
    }

    /** Of the used CPUs, those of work that may not use spot instances. */
    double nonSpotCpus() {
        return nonSpotCpus;
    }

    /** Starts that no report has shown. */
    int unconfirmedStarts() {
        return unconfirmedStarts;
    }
}
