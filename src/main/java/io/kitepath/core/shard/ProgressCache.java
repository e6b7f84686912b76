package io.kitepath.core.shard;

import io.kitepath.core.model.JobProgress;
import java.util.function.Supplier;

/** Caches the last counted progress of a job, as it may have many tasks and status queries. */
final class ProgressCache {
    private JobProgress progress;
    private double countedAtSeconds;

    /**
     * The progress, recounted if the last count is older than {@code maxAgeSeconds}.
     *
     * @param now in seconds on the steady clock
     */
    JobProgress get(double now, double maxAgeSeconds, Supplier<JobProgress> counter) {
        if (progress == null || now - countedAtSeconds > maxAgeSeconds) {
            progress = counter.get();
            countedAtSeconds = now;
        }
        return progress;
    }
}
