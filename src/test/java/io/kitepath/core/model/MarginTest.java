package io.kitepath.core.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * The sum that keeps the rule on cancellations: one that the leader does not know of was confirmed
 * after the moment until which it knows all; the last answer is given within the allowed staleness
 * after that moment, and keeps tasks for a lease.
 */
class MarginTest {
    private static final double DRIFT = 0.0005;
    private static final double CLOCK_ERROR_SECONDS = 0.005;

    /** When a task of a cancelled job is gone at the latest, in seconds after a user was told. */
    private static double latestTaskEndSeconds(ClusterSettings.WorkerTimings workers) {
        double staleness = workers.cancellationStalenessSeconds();
        // An attempt that was found by a heartbeat is named by the next proof only.
        double nextProof = staleness / 8 * 1.25;
        return nextProof
                + staleness * (1 + DRIFT)
                + 4 * CLOCK_ERROR_SECONDS
                + workers.leaseSeconds() * (1 + DRIFT);
    }

    private static ClusterSettings.WorkerTimings timings(
            double heartbeatIntervalSeconds, double leaseSeconds, double cancelDeadlineSeconds) {
        return new ClusterSettings.WorkerTimings(
                heartbeatIntervalSeconds, leaseSeconds, 30, 5, cancelDeadlineSeconds);
    }

    @Test
    void tasksAreGoneInTimeWithTheTimingsOfAllKindsOfDeployments() {
        for (ClusterSettings.WorkerTimings workers :
                List.of(
                        timings(1.5, 10, 30),
                        timings(3, 30, 60),
                        timings(4, 30, 60),
                        timings(4, 22, 42),
                        timings(1, 5, 10),
                        timings(2, 8, 60),
                        timings(10, 30, 90),
                        timings(0.5, 3, 6))) {
            assertTrue(
                    latestTaskEndSeconds(workers) < workers.cancelDeadlineSeconds(),
                    workers + ": " + latestTaskEndSeconds(workers));
            assertTrue(
                    workers.cancellationStalenessSeconds() >= workers.heartbeatIntervalSeconds());
        }
    }

    @Test
    void tasksAreGoneInTimeWhereverALeaseAndThreeHeartbeatsFitIntoTheDeadline() {
        for (double interval = 0.5; interval <= 10; interval += 0.5) {
            for (double lease = 2 * interval; lease <= 120; lease += 1.5) {
                // Drift of leases of minutes takes its part of the second that is left.
                ClusterSettings.WorkerTimings workers =
                        timings(interval, lease, lease + 3 * interval + 1 + lease * DRIFT);
                assertTrue(
                        latestTaskEndSeconds(workers) < workers.cancelDeadlineSeconds(),
                        workers + ": " + latestTaskEndSeconds(workers));
            }
        }
    }

    /**
     * No answer at all would keep the rule for a machine that falls silent just after one; so work
     * is not given up for it.
     */
    @Test
    void stalenessIsOneHeartbeatIntervalWhereTheDeadlineIsHardlyLongerThanTheLease() {
        assertEquals(2, timings(2, 30, 20).cancellationStalenessSeconds());
        assertEquals(2, timings(2, 30, 32).cancellationStalenessSeconds());
    }
}
