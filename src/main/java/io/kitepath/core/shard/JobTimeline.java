package io.kitepath.core.shard;

import io.kitepath.core.model.JobSpec;

/**
 * The times when this leader placed a job's tasks and first saw them running, in seconds on the
 * steady clock.
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

    /** The time of the last placement; negative infinity if this leader placed no task. */
    double lastPlacedAt() {
        return placements.latest();
    }

    boolean hasAnyStarted() {
        return !starts.isEmpty();
    }

    /**
     * Formats the job's timings for the log: its age, and how long ago its tasks were placed and
     * started.
     *
     * @param ageSeconds the time since its submission
     */
    String describe(JobSpec spec, double ageSeconds, double now) {
        String deadline =
                spec.deadlineSeconds() == null
                        ? ""
                        : String.format(" deadlineSeconds=%.1f", spec.deadlineSeconds());
        return String.format(
                "class=%s tasks=%d estimatedSeconds=%.0f ageSeconds=%.1f%s"
                        + " placedSecondsAgo=%s startedSecondsAgo=%s",
                spec.jobClass(),
                spec.taskCount(),
                spec.estimatedSeconds(),
                ageSeconds,
                deadline,
                placements.describeBefore(now),
                starts.describeBefore(now));
    }
}
