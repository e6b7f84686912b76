package io.kitepath.core.shard;

import io.kitepath.core.model.JobProgress;
import java.util.function.Supplier;

/** A job's progress as it was counted last, as a job may have many tasks and many who ask. */
final class ProgressCache {
    private JobProgress progress;
    private double countedAt;

    /**
     * The progress, counted anew if that was longer ago.
     *
     * @param now in seconds on the steady clock
     */
    JobProgress get(double now, double maxAgeSeconds, Supplier<JobProgress> count) {
        if (progress == null || now - countedAt > maxAgeSeconds) {
            progress = count.get();
            countedAt = now;
        }
        return progress;
    }
}
