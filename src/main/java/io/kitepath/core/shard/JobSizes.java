package io.kitepath.core.shard;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.kitepath.core.model.JobSpec;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * How large the jobs of each class are that came lately, in CPUs: which of them are its largest.
 */
final class JobSizes {
    /** Jobs that are remembered of a class. */
    private static final int MAX_SIZES = 64;

    /** Jobs from which on that says something. */
    private static final int MIN_SIZES = 8;

    /** Of the jobs of a class, the part that is smaller than its largest ones. */
    private static final double LARGE_QUANTILE = 0.75;

    /** Users name the classes, so there may be any number of them. */
    private static final int MAX_CLASSES = 1000;

    private static final class SizeClass {
        final Deque<Double> recentSizes = new ArrayDeque<>();

        /** From that size on a job is one of the largest. */
        double largeFrom = Double.POSITIVE_INFINITY;
    }

    private final Cache<String, SizeClass> classes =
            Caffeine.newBuilder().maximumSize(MAX_CLASSES).build();

    private static double totalCpus(JobSpec spec) {
        return spec.taskCount() * spec.cpusPerTask();
    }

    void add(JobSpec spec) {
        SizeClass c = classes.get(spec.jobClass(), key -> new SizeClass());
        c.recentSizes.addLast(totalCpus(spec));
        if (c.recentSizes.size() > MAX_SIZES) {
            c.recentSizes.removeFirst();
        }
        if (c.recentSizes.size() < MIN_SIZES) {
            return;
        }
        double[] sorted =
                c.recentSizes.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        double at = sorted[(int) (LARGE_QUANTILE * sorted.length)];
        // Where most are of that size, only what is larger than those is large.
        c.largeFrom = sorted[sorted.length / 2] < at ? at : Math.nextUp(at);
    }

    boolean isAmongLargest(JobSpec spec) {
        SizeClass c = classes.getIfPresent(spec.jobClass());
        return c != null && totalCpus(spec) >= c.largeFrom;
    }
}
