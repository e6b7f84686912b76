package io.kitepath.core;

import io.kitepath.core.shard.Machine;
import io.kitepath.core.shard.ShardState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Measures the steps of a failover in seconds since the new leader won the lease: the jobs are
 * read, the first task is launched, half of the workers and then nearly all of them have sent a
 * heartbeat with the new fencing token. Tasks wait for the first three steps.
 */
final class FailoverTimings {
    private static final Logger LOG = LoggerFactory.getLogger(FailoverTimings.class);

    /**
     * The failover is complete once the workers of this share of the running machines have sent a
     * heartbeat with the new fencing token.
     */
    private static final double COMPLETE_MACHINE_SHARE = 0.95;

    private final ShardState shard;
    private double leaseWonAtSeconds;
    private long launchesInEarlierTerms;
    private double secondsToJobsRead = Double.NaN;
    private double secondsToFirstLaunch = Double.NaN;
    private double secondsToHalfReported = Double.NaN;
    private double secondsToMostReported = Double.NaN;
    private boolean isComplete = true;

    FailoverTimings(ShardState shard) {
        this.shard = shard;
    }

    /**
     * Starts the measurement of a new term of this node as leader.
     *
     * @param launchesInEarlierTerms the number of attempts that this node launched in earlier terms
     */
    void onLeadershipWon(double nowSeconds, long launchesInEarlierTerms) {
        this.leaseWonAtSeconds = nowSeconds;
        this.launchesInEarlierTerms = launchesInEarlierTerms;
        secondsToJobsRead = Double.NaN;
        secondsToFirstLaunch = Double.NaN;
        secondsToHalfReported = Double.NaN;
        secondsToMostReported = Double.NaN;
        isComplete = false;
    }

    /** Records that the jobs are read; only the first call in a term has an effect. */
    void onJobsRead(double nowSeconds) {
        if (Double.isNaN(secondsToJobsRead)) {
            secondsToJobsRead = nowSeconds - leaseWonAtSeconds;
        }
    }

    /**
     * Records the steps that are complete by now.
     *
     * @param totalLaunches the number of attempts launched in all terms of this process
     */
    void update(double nowSeconds, long totalLaunches) {
        if (isComplete || Double.isNaN(secondsToJobsRead)) {
            return;
        }
        if (Double.isNaN(secondsToFirstLaunch) && totalLaunches > launchesInEarlierTerms) {
            secondsToFirstLaunch = nowSeconds - leaseWonAtSeconds;
        }
        int runningMachines = 0;
        int confirmedMachines = 0;
        for (Machine machine : shard.machines().values()) {
            runningMachines += isRunning(machine) ? 1 : 0;
            confirmedMachines += machine.isTokenConfirmed() ? 1 : 0;
        }
        if (Double.isNaN(secondsToHalfReported)
                && runningMachines > 0
                && 2 * confirmedMachines >= runningMachines) {
            secondsToHalfReported = nowSeconds - leaseWonAtSeconds;
        }
        if (runningMachines > 0 && confirmedMachines >= COMPLETE_MACHINE_SHARE * runningMachines) {
            secondsToMostReported = nowSeconds - leaseWonAtSeconds;
            isComplete = true;
            logCompletion(runningMachines);
        }
    }

    private static boolean isRunning(Machine machine) {
        return machine.isTokenConfirmed() || machine.hasReported() || !machine.attempts().isEmpty();
    }

    private void logCompletion(int runningMachines) {
        LOG.info(
                String.format(
                        "failover complete: jobsReadSeconds=%.2f firstLaunchSeconds=%.2f"
                                + " halfReportedSeconds=%.2f reportedSeconds=%.2f"
                                + " reportedShare=%.2f machines=%d",
                        secondsToJobsRead,
                        secondsToFirstLaunch,
                        secondsToHalfReported,
                        secondsToMostReported,
                        COMPLETE_MACHINE_SHARE,
                        runningMachines));
    }

    /** Returns the seconds from winning the lease until the jobs were read; NaN until then. */
    double secondsToJobsRead() {
        return secondsToJobsRead;
    }

    /**
     * Returns the seconds from winning the lease until nearly all workers had sent a heartbeat with
     * the new fencing token; NaN until then.
     */
    double secondsToMostReported() {
        return secondsToMostReported;
    }
}
