package io.kitepath.core.shard;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;

/**
 * How long it takes, as of late, from the placing of a class's tasks until they run: writing it
 * down, the worker's next report, the image, a gang's slowest. Guards against an order of service
 * that places jobs in the nick of time, and then all of them fetch their images past their goal.
 */
public final class StartLatencies {
    /** Of the average, what one more start counts. */
    private static final double WEIGHT = 1.0 / 64;

    /** Users name the classes, so there may be any number of them. */
    private static final int MAX_CLASSES = 1000;

    /** Seconds by class: the average, and how far from it they are on average. */
    private final Cache<String, double[]> classes =
            Caffeine.newBuilder().maximumSize(MAX_CLASSES).build();

    void recordStart(String jobClass, double seconds) {
        double[] l = classes.get(jobClass, key -> new double[] {seconds, 0});
        l[1] += WEIGHT * (Math.abs(seconds - l[0]) - l[1]);
        l[0] += WEIGHT * (seconds - l[0]);
    }

    /** What most of the class's tasks take, in seconds; 0 while nothing is known. */
    public double upperEstimateSeconds(String jobClass) {
        double[] l = classes.getIfPresent(jobClass);
        return l == null ? 0 : l[0] + l[1];
    }
}
