package io.kitepath.core;

import io.kitepath.core.shard.Machine;
import io.kitepath.core.shard.ShardState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * How long a new leader takes until the shard is served as before, step by step, in seconds since
 * it won the lease: the jobs are read, the first task is launched, half of the workers, then nearly
 * all of them, have reported with the new fencing token. Tasks wait for the first three of them.
 */
final class FailoverTimings {
    private static final Logger LOG = LoggerFactory.getLogger(FailoverTimings.class);

    /** The share of the machines that were up whose workers' reports end the failover. */
    private static final double COMPLETE_SHARE = 0.95;

    private final ShardState shard;
    private double wonAt;
    private long launchesBefore;
    private double secondsToJobsRead = Double.NaN;
    private double secondsToFirstLaunch = Double.NaN;
    private double secondsToHalfReported = Double.NaN;
    private double secondsToMostReported = Double.NaN;
    private boolean isComplete = true;

    FailoverTimings(ShardState shard) {
        this.shard = shard;
    }

    /** This node begins to lead, having launched so many attempts in earlier terms. */
    void onLeadershipWon(double nowSeconds, long launchesBefore) {
        this.wonAt = nowSeconds;
        this.launchesBefore = launchesBefore;
        secondsToJobsRead = Double.NaN;
        secondsToFirstLaunch = Double.NaN;
        secondsToHalfReported = Double.NaN;
        secondsToMostReported = Double.NaN;
        isComplete = false;
    }

    /** The jobs are known; only the first call in a term counts. */
    void onJobsRead(double nowSeconds) {
        if (Double.isNaN(secondsToJobsRead)) {
            secondsToJobsRead = nowSeconds - wonAt;
        }
    }

    /** Notes the steps that are done by now; {@code launches}: in all terms of this process. */
    void update(double nowSeconds, long launches) {
        if (isComplete || Double.isNaN(secondsToJobsRead)) {
            return;
        }
        if (Double.isNaN(secondsToFirstLaunch) && launches > launchesBefore) {
            secondsToFirstLaunch = nowSeconds - wonAt;
        }
        int up = 0;
        int confirmed = 0;
        for (Machine machine : shard.machines().values()) {
            up += isUp(machine) ? 1 : 0;
            confirmed += machine.isTokenConfirmed() ? 1 : 0;
        }
        if (Double.isNaN(secondsToHalfReported) && up > 0 && 2 * confirmed >= up) {
            secondsToHalfReported = nowSeconds - wonAt;
        }
        if (up > 0 && confirmed >= COMPLETE_SHARE * up) {
            secondsToMostReported = nowSeconds - wonAt;
            isComplete = true;
            logCompletion(up);
        }
    }

    private static boolean isUp(Machine machine) {
        return machine.isTokenConfirmed() || machine.hasReported() || !machine.attempts().isEmpty();
    }

    private void logCompletion(int machinesUp) {
        LOG.info(
                String.format(
                        "failover complete: jobsReadSeconds=%.2f firstLaunchSeconds=%.2f"
                                + " halfReportedSeconds=%.2f reportedSeconds=%.2f"
                                + " reportedShare=%.2f machines=%d",
                        secondsToJobsRead,
                        secondsToFirstLaunch,
                        secondsToHalfReported,
                        secondsToMostReported,
                        COMPLETE_SHARE,
                        machinesUp));
    }

    /** Seconds from winning the lease until the jobs were read; NaN if this node never led. */
    double secondsToJobsRead() {
        return secondsToJobsRead;
    }

    /** Seconds from winning the lease until nearly all workers had reported; NaN until then. */
    double secondsToMostReported() {
        return secondsToMostReported;
    }
}
