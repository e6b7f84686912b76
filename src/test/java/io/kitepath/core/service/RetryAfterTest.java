package io.kitepath.core.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.port.Timers;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the back-off that refused users receive. */
class RetryAfterTest {
    private double nowSeconds = 10;

    /** Three nodes that share 300 requests per second: 100 per second for this node. */
    private final ClusterSettings settings =
            new ClusterSettings(
                    "k0",
                    "a",
                    List.of("k1", "k2"),
                    List.of("a"),
                    Map.of(),
                    List.of(),
                    new ClusterSettings.WorkerTimings(1, 10, 30, 5, 30),
                    new ClusterSettings.StoreLimits(300, 50, 8, 40),
                    new ClusterSettings.CloudLimits(10, 2),
                    new ClusterSettings.ProcessLimits(1, 200, 1000),
                    5);

    private final RetryAfter retryAfter =
            new RetryAfter(
                    settings,
                    new Timers() {
                        @Override
                        public double nowSeconds() {
                            return nowSeconds;
                        }

                        @Override
                        public double wallClockMillis() {
                            return nowSeconds * 1000;
                        }

                        @Override
                        public void schedule(double seconds, Runnable run) {
                            throw new UnsupportedOperationException();
                        }
                    });

    @Test
    void returnsOneSecondWhenRefusalsAreWithinNodeRate() {
        for (int user = 0; user < 100; user++) {
            assertEquals(1, retryAfter.nextRetryAfterSeconds());
        }
    }

    @Test
    void returnsSecondsThatStoreNeedsWhenRefusalsExceedNodeRate() {
        for (int user = 0; user < 799; user++) {
            retryAfter.nextRetryAfterSeconds();
        }
        assertEquals(8, retryAfter.nextRetryAfterSeconds());
        nowSeconds += 1.1;
        assertEquals(8, retryAfter.nextRetryAfterSeconds());
        nowSeconds += 5;
        assertEquals(1, retryAfter.nextRetryAfterSeconds());
    }

    @Test
    void returnsAtMostThirtySecondsForAnyNumberOfRefusals() {
        int lastSeconds = 0;
        for (int user = 0; user < 100_000; user++) {
            lastSeconds = retryAfter.nextRetryAfterSeconds();
        }
        assertTrue(lastSeconds == 30, "lastSeconds=" + lastSeconds);
    }
}
