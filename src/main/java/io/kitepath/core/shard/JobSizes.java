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
    private static final int LATELY = 64;

    /** Jobs from which on that says something. */
    private static final int ENOUGH = 8;

    /** Of the jobs of a class, the part that is smaller than its largest ones. */
    private static final double SMALLER = 0.75;

    /** Users name the classes, so there may be any number of them. */
    private static final int MOST = 1000;

    private static final class SizeClass {
        final Deque<Double> lately = new ArrayDeque<>();

        /** From that size on a job is one of the largest. */
        double from = Double.POSITIVE_INFINITY;
    }

    private final Cache<String, SizeClass> classes =
            Caffeine.newBuilder().maximumSize(MOST).build();

    private static double size(JobSpec spec) {
        return spec.taskCount() * spec.cpusPerTask();
    }

    void came(JobSpec spec) {
        SizeClass c = classes.get(spec.jobClass(), key -> new SizeClass());
        c.lately.addLast(size(spec));
        if (c.lately.size() > LATELY) {
            c.lately.removeFirst();
        }
        if (c.lately.size() < ENOUGH) {
            return;
        }
        double[] sorted = c.lately.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        double at = sorted[(int) (SMALLER * sorted.length)];
        // Where most are of that size, only what is larger than those is large.
        c.from = sorted[sorted.length / 2] < at ? at : Math.nextUp(at);
    }

    boolean largest(JobSpec spec) {
        SizeClass c = classes.getIfPresent(spec.jobClass());
        return c != null && size(spec) >= c.from;
    }
}
