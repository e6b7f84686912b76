package io.kitepath.core.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * The sum that keeps the rule on cancellations: one that the holder does not know of was confirmed
 * after the moment until which it knows all; the last answer goes a margin after that moment at
 * most, and keeps tasks for a lease.
 */
class MarginTest {
    private static final double DRIFT = 0.0005;
    private static final double CLOCK_ERROR_S = 0.005;

    /** When a task of a cancelled job is gone at the latest, in seconds after a user was told. */
    private static double worst(ClusterSettings.WorkerTimings workers) {
        // An attempt that was found by report is named by the next proof only.
        double proof = workers.cancellationStalenessSeconds() / 8 * 1.25;
        return proof
                + workers.cancellationStalenessSeconds() * (1 + DRIFT)
                + 4 * CLOCK_ERROR_S
                + workers.leaseSeconds() * (1 + DRIFT);
    }

    private static ClusterSettings.WorkerTimings of(double reportS, double leaseS, double cancelS) {
        return new ClusterSettings.WorkerTimings(reportS, leaseS, 30, 5, cancelS);
    }

    @Test
    void tasksAreGoneInTimeWithTheFiguresOfAllKindsOfDeployments() {
        for (double[] f :
                new double[][] {
                    {1.5, 10, 30},
                    {3, 30, 60},
                    {4, 30, 60},
                    {4, 22, 42},
                    {1, 5, 10},
                    {2, 8, 60},
                    {10, 30, 90},
                    {0.5, 3, 6}
                }) {
            ClusterSettings.WorkerTimings workers = of(f[0], f[1], f[2]);
            assertTrue(
                    worst(workers) < workers.cancelDeadlineSeconds(),
                    f[0] + " " + f[1] + " " + f[2] + ": " + worst(workers));
            assertTrue(
                    workers.cancellationStalenessSeconds() >= workers.heartbeatIntervalSeconds());
        }
    }

    @Test
    void theRuleHoldsWhereverALeaseAndThreeReportsFitIntoIt() {
        for (double report = 0.5; report <= 10; report += 0.5) {
            for (double lease = 2 * report; lease <= 120; lease += 1.5) {
                // Drift of leases of minutes takes its part of the second that is left.
                ClusterSettings.WorkerTimings workers =
                        of(report, lease, lease + 3 * report + 1 + lease * DRIFT);
                assertTrue(
                        worst(workers) < workers.cancelDeadlineSeconds(),
                        workers + ": " + worst(workers));
            }
        }
    }

    /**
     * No answer at all would keep the rule for a machine that falls silent just after one; so work
     * is not given up for it.
     */
    @Test
    void whereCancelSIsShorterThanTheLeaseOnlyAReportIntervalIsLeft() {
        assertEquals(2, of(2, 30, 20).cancellationStalenessSeconds());
        assertEquals(2, of(2, 30, 32).cancellationStalenessSeconds());
    }
}
