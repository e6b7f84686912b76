package io.kitepath.core.shard;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;

/**
 * How long it takes, as of late, from the placement of a class's tasks until they run: the write of
 * the placement, the agent's next heartbeat, the image, a gang's slowest task. Guards against a
 * scheduling order that places jobs at the last moment, after which all of them fetch their images
 * past their goal.
 *
 * <p>Estimated as a round-trip time is for TCP (Jacobson and Karels; RFC 6298): a smoothed average
 * and a smoothed mean deviation.
 */
public final class StartLatencies {
    /** Weight of one more start in the average. */
    private static final double WEIGHT = 1.0 / 64;

    /** Users name the classes, so there may be any number of them. */
    private static final int MAX_CLASSES = 1000;

    /** In seconds. */
    private static final class Estimate {
        private double average;
        private double deviation;

        private Estimate(double first) {
            average = first;
        }

        private void add(double seconds) {
            deviation += WEIGHT * (Math.abs(seconds - average) - deviation);
            average += WEIGHT * (seconds - average);
        }
    }

    private final Cache<String, Estimate> estimateByClass =
            Caffeine.newBuilder().maximumSize(MAX_CLASSES).build();

    /** A task of the class runs, so long after its placement. */
    void recordStart(String jobClass, double seconds) {
        estimateByClass.get(jobClass, key -> new Estimate(seconds)).add(seconds);
    }

    /**
     * What most of the class's tasks take at most, in seconds: the average and one mean deviation.
     * 0 while nothing is known.
     */
    public double upperEstimateSeconds(String jobClass) {
        Estimate estimate = estimateByClass.getIfPresent(jobClass);
        return estimate == null ? 0 : estimate.average + estimate.deviation;
    }
}
