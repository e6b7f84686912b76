package io.kitepath.core.shard;

import io.kitepath.core.model.JobSpec;

/**
 * When this leader placed a job's tasks and saw them start to run, in seconds on the steady clock.
 */
final class JobTimeline {
    private final EventTimes placements = new EventTimes();
    private final EventTimes starts = new EventTimes();

    void recordPlacement(double now) {
        placements.add(now);
    }

    void recordStart(double now) {
        starts.add(now);
    }

    /** Negative infinity if this leader placed none. */
    double lastPlacedAt() {
        return placements.last();
    }

    boolean hasAnyStarted() {
        return !starts.isEmpty();
    }

    /**
     * For the log: how long the job took, and how long before its end its tasks were placed and
     * began.
     *
     * @param ageSeconds since its submission
     */
    String describe(JobSpec spec, double ageSeconds, double now) {
        String deadline =
                spec.deadlineSeconds() == null
                        ? ""
                        : String.format(" of %.1f", spec.deadlineSeconds());
        return String.format(
                "%s, %d tasks of %.0f s, after %.1f s%s; placed %s, begun %s before",
                spec.jobClass(),
                spec.taskCount(),
                spec.estimatedSeconds(),
                ageSeconds,
                deadline,
                placements.describeBefore(now),
                starts.describeBefore(now));
    }
}
