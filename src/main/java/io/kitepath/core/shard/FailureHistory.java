package io.kitepath.core.shard;

import java.util.Collections;
import java.util.HashSet;
import java.util.Set;

/**
 * How the tasks of one job fared: what {@link FailureDiagnosis} judges by, and until when it holds
 * the job back.
 */
final class FailureHistory {
    private final Set<String> failedMachines = new HashSet<>();
    private final Set<String> failedMachinesView = Collections.unmodifiableSet(failedMachines);
    private int failureCount;
    private boolean hasSucceeded;
    private int failedRetries;
    private long lastFailedRetryNumber;
    private double longestFailedRunSeconds;
    private double notBefore;

    /** Ids of the machines on which a task of the job failed; read only. */
    Set<String> failedMachines() {
        return failedMachinesView;
    }

    int failureCount() {
        return failureCount;
    }

    /** Whether a task of the job has ever succeeded. */
    boolean hasSucceeded() {
        return hasSucceeded;
    }

    /** How many retries failed in a row since the job itself is held to be at fault. */
    int failedRetries() {
        return failedRetries;
    }

    /** The longest time that a task of the job ran before it failed, as far as was seen. */
    double longestFailedRunSeconds() {
        return longestFailedRunSeconds;
    }

    /** Nothing of the job is placed before that, in seconds on the steady clock. */
    double notBefore() {
        return notBefore;
    }

    void setNotBefore(double at) {
        notBefore = at;
    }

    /** Counts a success; returns whether it is the job's first one. */
    boolean recordSuccess() {
        failedRetries = 0;
        boolean isFirst = !hasSucceeded;
        hasSucceeded = true;
        return isFirst;
    }

    void recordFailure(Attempt attempt, double now) {
        failureCount++;
        failedMachines.add(attempt.machine.id);
        if (!Double.isNaN(attempt.runningSince)) {
            longestFailedRunSeconds = Math.max(longestFailedRunSeconds, now - attempt.runningSince);
        }
    }

    /**
     * Counts a failed retry of a job that is held to be at fault; returns whether it is a new one:
     * tasks of an array that were placed together share an attempt number and count as one retry.
     */
    boolean recordFailedRetry(long attemptNumber) {
        if (failedRetries > 0 && attemptNumber <= lastFailedRetryNumber) {
            return false;
        }
        lastFailedRetryNumber = Math.max(lastFailedRetryNumber, attemptNumber);
        failedRetries++;
        return true;
    }
}
