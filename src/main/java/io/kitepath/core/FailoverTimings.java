package io.kitepath.core;

import io.kitepath.core.shard.Machine;
import io.kitepath.core.shard.ShardState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * How long a new holder takes until everything is as before, part by part, in seconds from when it
 * won the lease. Work waits for the first three of them: jobs are read, the first placing is
 * launched, workers report with the new token.
 */
final class FailoverTimings {
    private static final Logger LOG = LoggerFactory.getLogger(FailoverTimings.class);

    /** Of the machines that were up, how many have to have reported for the takeover to be over. */
    private static final double COMPLETE_SHARE = 0.95;

    private final ShardState shard;
    private double wonAt;
    private double secondsToJobsRead = Double.NaN;
    private double secondsToFirstLaunch = Double.NaN;
    private double secondsToHalfReported = Double.NaN;
    private double secondsToMostReported = Double.NaN;
    private boolean isComplete = true;

    FailoverTimings(ShardState shard) {
        this.shard = shard;
    }

    void onLeadershipWon(double now) {
        wonAt = now;
        secondsToJobsRead = Double.NaN;
        secondsToFirstLaunch = Double.NaN;
        secondsToHalfReported = Double.NaN;
        secondsToMostReported = Double.NaN;
        isComplete = false;
    }

    /** The jobs are known. */
    void onJobsRead(double now) {
        if (Double.isNaN(secondsToJobsRead)) {
            secondsToJobsRead = now - wonAt;
        }
    }

    /**
     * Looks where it stands; {@code launches}: orders to start that this node has given since it
     * leads.
     */
    void update(double now, long launches) {
        if (isComplete || Double.isNaN(secondsToJobsRead)) {
            return;
        }
        if (Double.isNaN(secondsToFirstLaunch) && launches > 0) {
            secondsToFirstLaunch = now - wonAt;
        }
        int up = 0;
        int proven = 0;
        for (Machine machine : shard.machines().values()) {
            boolean there =
                    machine.isTokenConfirmed()
                            || machine.hasReported()
                            || !machine.attempts().isEmpty();
            up += there ? 1 : 0;
            proven += machine.isTokenConfirmed() ? 1 : 0;
        }
        if (Double.isNaN(secondsToHalfReported) && up > 0 && 2 * proven >= up) {
            secondsToHalfReported = now - wonAt;
        }
        if (up > 0 && proven >= COMPLETE_SHARE * up) {
            secondsToMostReported = now - wonAt;
            isComplete = true;
            LOG.info(
                    String.format(
                            "takeover: jobs read after %.2f s, first launch %.2f, half of %d machines reported "
                                    + "%.2f, %.0f%% of them %.2f",
                            secondsToJobsRead,
                            secondsToFirstLaunch,
                            up,
                            secondsToHalfReported,
                            100 * COMPLETE_SHARE,
                            secondsToMostReported));
        }
    }

    /** Seconds from winning until the jobs were read; NaN if this node never led. */
    double secondsToJobsRead() {
        return secondsToJobsRead;
    }

    /** Seconds from winning until nearly all machines had reported; NaN until they have. */
    double secondsToMostReported() {
        return secondsToMostReported;
    }
}
