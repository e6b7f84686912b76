package io.kitepath.core.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against tasks that outlive the cancellation deadline. A cancellation that is unknown to
 * the leader was confirmed after the moment up to which the leader knows all cancellations. The
 * leader sends its last heartbeat response within the allowed staleness after that moment, and the
 * worker then keeps its tasks for one lease. The sum has to stay below the deadline.
 */
class CancellationStalenessTest {
    private static final double CLOCK_DRIFT_RATIO = 0.0005;
    private static final double CLOCK_ERROR_SECONDS = 0.005;

    /**
     * Returns the latest time at which a task of a cancelled job ends, in seconds after the
     * cancellation was confirmed to the user.
     */
    private static double latestTaskEndSeconds(ClusterSettings.WorkerTimings workers) {
        double stalenessSeconds = workers.cancellationStalenessSeconds();
        // An attempt discovered by a heartbeat is included only in the next proof.
        double nextProofSeconds = stalenessSeconds / 8 * 1.25;
        return nextProofSeconds
                + stalenessSeconds * (1 + CLOCK_DRIFT_RATIO)
                + 4 * CLOCK_ERROR_SECONDS
                + workers.leaseSeconds() * (1 + CLOCK_DRIFT_RATIO);
    }

    private static ClusterSettings.WorkerTimings timings(
            double heartbeatIntervalSeconds, double leaseSeconds, double cancelDeadlineSeconds) {
        return new ClusterSettings.WorkerTimings(
                heartbeatIntervalSeconds, leaseSeconds, 30, 5, cancelDeadlineSeconds);
    }

    @Test
    void endsTasksBeforeCancelDeadlineWithTimingsOfAllDeploymentKinds() {
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
    void endsTasksBeforeCancelDeadlineIfItCoversLeaseAndThreeHeartbeatIntervals() {
        for (double intervalSeconds = 0.5; intervalSeconds <= 10; intervalSeconds += 0.5) {
            for (double leaseSeconds = 2 * intervalSeconds;
                    leaseSeconds <= 120;
                    leaseSeconds += 1.5) {
                // Allows for the clock drift during a lease of minutes, which uses part of
                // the reserved second.
                ClusterSettings.WorkerTimings workers =
                        timings(
                                intervalSeconds,
                                leaseSeconds,
                                leaseSeconds
                                        + 3 * intervalSeconds
                                        + 1
                                        + leaseSeconds * CLOCK_DRIFT_RATIO);
                assertTrue(
                        latestTaskEndSeconds(workers) < workers.cancelDeadlineSeconds(),
                        workers + ": " + latestTaskEndSeconds(workers));
            }
        }
    }

    /**
     * No response policy meets the deadline for a machine that stops sending heartbeats just after
     * a response, so work is not sacrificed for it.
     */
    @Test
    void allowsOneHeartbeatIntervalOfStalenessIfCancelDeadlineIsHardlyLongerThanLease() {
        assertEquals(2, timings(2, 30, 20).cancellationStalenessSeconds());
        assertEquals(2, timings(2, 30, 32).cancellationStalenessSeconds());
    }
}
