package io.kitepath.core.shard;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.kitepath.core.model.JobSpec;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The sizes of the most recent jobs of each class, in CPUs over all tasks. Used to tell which jobs
 * are among the largest of their class.
 */
final class JobSizes {
    /** The number of recent jobs per class whose sizes are kept. */
    private static final int MAX_RECENT_JOBS = 64;

    /** With fewer jobs in a class, none counts as one of the largest. */
    private static final int MIN_RECENT_JOBS = 8;

    /** The share of a class's jobs that are smaller than its largest ones. */
    private static final double LARGE_QUANTILE = 0.75;

    /** Limits memory use, as users may define any number of classes. */
    private static final int MAX_CLASSES = 1000;

    private static final class SizeClass {
        private final Deque<Double> recentCpus = new ArrayDeque<>();

        /** The minimum size of the largest jobs, in CPUs. */
        private double largestMinCpus = Double.POSITIVE_INFINITY;

        void add(double cpus) {
            recentCpus.addLast(cpus);
            if (recentCpus.size() > MAX_RECENT_JOBS) {
                recentCpus.removeFirst();
            }
            if (recentCpus.size() >= MIN_RECENT_JOBS) {
                largestMinCpus = computeLargestMinCpus();
            }
        }

        private double computeLargestMinCpus() {
            double[] sorted =
                    recentCpus.stream().mapToDouble(Double::doubleValue).sorted().toArray();
            double median = sorted[sorted.length / 2];
            double quantile = sorted[(int) (LARGE_QUANTILE * sorted.length)];
            // If most jobs have the size of the quantile, only larger ones count as large.
            return median < quantile ? quantile : Math.nextUp(quantile);
        }
    }

    private final Cache<String, SizeClass> classes =
            Caffeine.newBuilder().maximumSize(MAX_CLASSES).build();

    private static double totalCpus(JobSpec spec) {
        return spec.taskCount() * spec.cpusPerTask();
    }

    void add(JobSpec spec) {
        classes.get(spec.jobClass(), name -> new SizeClass()).add(totalCpus(spec));
    }

    boolean isAmongLargest(JobSpec spec) {
        SizeClass sizeClass = classes.getIfPresent(spec.jobClass());
        return sizeClass != null && totalCpus(spec) >= sizeClass.largestMinCpus;
    }
}
