package io.kitepath.core.shard;

import java.util.Collections;
import java.util.HashSet;
import java.util.Set;

/**
 * The successes and failures of one job's tasks, which {@link FailureDiagnosis} uses to find the
 * cause, and the time until which the job is backed off.
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

    /** Ids of the machines on which a task of the job failed; a read-only view. */
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

    /** The number of consecutive failed retries since the job itself is considered at fault. */
    int failedRetries() {
        return failedRetries;
    }

    /** The longest observed run time of a task of the job before it failed. */
    double longestFailedRunSeconds() {
        return longestFailedRunSeconds;
    }

    /** The time before which no task of the job is placed, in seconds on the steady clock. */
    double notBefore() {
        return notBefore;
    }

    void setNotBefore(double notBeforeSeconds) {
        notBefore = notBeforeSeconds;
    }

    /** Records a success and returns whether it is the job's first one. */
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
     * Records a failed retry of a job that is considered at fault, and returns whether it counts as
     * a new one: tasks of an array that were placed together share an attempt number and count as
     * one retry.
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
