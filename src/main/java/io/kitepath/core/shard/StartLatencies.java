package io.kitepath.core.shard;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;

/**
 * Estimates the recent latency from the placement of a class's tasks until they run: the commit of
 * the placement, the agent's next heartbeat, the image fetch and, for a gang, its slowest task.
 * Guards against a scheduling order that places jobs at the last moment, so that they are all still
 * fetching their images when their goal has passed.
 *
 * <p>Estimated like the round-trip time in TCP (Jacobson and Karels; RFC 6298): a smoothed average
 * and a smoothed mean deviation.
 */
public final class StartLatencies {
    /** Weight of a new measurement in the average and the deviation. */
    private static final double WEIGHT = 1.0 / 64;

    /**
     * Maximum number of classes; users choose the names of classes, so their number is unlimited.
     */
    private static final int MAX_CLASSES = 1000;

    /** A smoothed average and mean deviation, in seconds. */
    private static final class Estimate {
        private double average;
        private double deviation;

        private Estimate(double firstSeconds) {
            average = firstSeconds;
        }

        private void add(double seconds) {
            deviation += WEIGHT * (Math.abs(seconds - average) - deviation);
            average += WEIGHT * (seconds - average);
        }
    }

    private final Cache<String, Estimate> estimateByClass =
            Caffeine.newBuilder().maximumSize(MAX_CLASSES).build();

    /** Records that a task of the class began to run that many seconds after its placement. */
    void recordStart(String jobClass, double seconds) {
        estimateByClass.get(jobClass, key -> new Estimate(seconds)).add(seconds);
    }

    /**
     * Returns an upper estimate of the start latency of most of the class's tasks, in seconds: the
     * average plus one mean deviation; 0 while there are no measurements.
     */
    public double upperEstimateSeconds(String jobClass) {
        Estimate estimate = estimateByClass.getIfPresent(jobClass);
        return estimate == null ? 0 : estimate.average + estimate.deviation;
    }
}
