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
    private static final double MOST = 0.95;

    private final ShardState shard;
    private double since;
    private double readS = Double.NaN;
    private double launchedS = Double.NaN;
    private double halfS = Double.NaN;
    private double mostS = Double.NaN;
    private boolean over = true;

    FailoverTimings(ShardState shard) {
        this.shard = shard;
    }

    void begins(double now) {
        since = now;
        readS = Double.NaN;
        launchedS = Double.NaN;
        halfS = Double.NaN;
        mostS = Double.NaN;
        over = false;
    }

    /** The jobs are known. */
    void read(double now) {
        if (Double.isNaN(readS)) {
            readS = now - since;
        }
    }

    /**
     * Looks where it stands; {@code launches}: orders to start that this node has given since it
     * leads.
     */
    void look(double now, long launches) {
        if (over || Double.isNaN(readS)) {
            return;
        }
        if (Double.isNaN(launchedS) && launches > 0) {
            launchedS = now - since;
        }
        int up = 0;
        int proven = 0;
        for (Machine machine : shard.machines().values()) {
            boolean there = machine.isTokenConfirmed() || machine.hasReported() || !machine.attempts().isEmpty();
            up += there ? 1 : 0;
            proven += machine.isTokenConfirmed() ? 1 : 0;
        }
        if (Double.isNaN(halfS) && up > 0 && 2 * proven >= up) {
            halfS = now - since;
        }
        if (up > 0 && proven >= MOST * up) {
            mostS = now - since;
            over = true;
            LOG.info(
                    String.format(
                            "takeover: jobs read after %.2f s, first launch %.2f, half of %d machines reported "
                                    + "%.2f, %.0f%% of them %.2f",
                            readS, launchedS, up, halfS, 100 * MOST, mostS));
        }
    }

    /** Seconds from winning until the jobs were read; NaN if this node never led. */
    double readS() {
        return readS;
    }

    /** Seconds from winning until nearly all machines had reported; NaN until they have. */
    double mostS() {
        return mostS;
    }
}
