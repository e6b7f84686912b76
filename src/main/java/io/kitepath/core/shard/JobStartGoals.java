package io.kitepath.core.shard;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import java.util.Arrays;
import java.util.stream.DoubleStream;

/**
 * Since when a job may start, by when it should, and its priority, as it is by itself and as the
 * jobs that depend on it ask.
 */
final class JobStartGoals {
    private final JobSpec spec;
    private final double submittedMillis;
    private double eligibleSinceMillis;
    private JobSpec.Priority effectivePriority;
    private DueTimes dependentsDue = DueTimes.NONE;

    /** By when its tasks have to start to meet its objectives, the soonest first. */
    private double[] startGoalsMillis;

    /**
     * @param startWithinSeconds within what time after its submission the job has to start to meet
     *     each of its objectives
     */
    JobStartGoals(JobSpec spec, double submittedMillis, double[] startWithinSeconds) {
        this.spec = spec;
        this.submittedMillis = submittedMillis;
        this.eligibleSinceMillis = submittedMillis;
        this.effectivePriority = spec.priority();
        this.startGoalsMillis = afterSubmission(startWithinSeconds);
    }

    private double[] afterSubmission(double[] seconds) {
        return Arrays.stream(seconds).map(s -> submittedMillis + s * 1000).toArray();
    }

    /** Its submission, or the end of the last of its dependencies, in milliseconds since 1970. */
    double eligibleSinceMillis() {
        return eligibleSinceMillis;
    }

    double heldSeconds() {
        return (eligibleSinceMillis - submittedMillis) / 1000;
    }

    /** The highest of its own and of all jobs that depend on it. */
    JobSpec.Priority effectivePriority() {
        return effectivePriority;
    }

    boolean hasDeadline() {
        return spec.deadlineSeconds() != null || hasDueDependents();
    }

    private boolean hasDueDependents() {
        return !dependentsDue.equals(DueTimes.NONE);
    }

    /** The soonest deadline, its own or a dependent's, in milliseconds since 1970, or infinite. */
    double dueMillis() {
        double own =
                spec.deadlineSeconds() == null
                        ? Double.POSITIVE_INFINITY
                        : submittedMillis + 1000 * spec.deadlineSeconds();
        return Math.min(own, dependentsDue.earliestMillis());
    }

    /** By when it has to be done for the jobs that depend on it. */
    DueTimes dependentsDue() {
        return dependentsDue;
    }

    int startGoalCount() {
        return startGoalsMillis.length;
    }

    double startGoalMillis(int goal) {
        return startGoalsMillis[goal];
    }

    /** The last of its dependencies was done at that time. */
    void becomeEligible(double atMillis, ClusterSettings settings) {
        eligibleSinceMillis = Math.max(submittedMillis, atMillis);
        recomputeStartGoals(settings);
    }

    /** A record says that it was eligible from then on; its start goals stay as they are. */
    void restoreEligibleSince(double atMillis) {
        eligibleSinceMillis = Math.max(eligibleSinceMillis, atMillis);
    }

    /** Takes over what the jobs that depend on it ask; returns whether that changes anything. */
    boolean applyDependentsDemand(
            JobSpec.Priority highest, DueTimes due, ClusterSettings settings) {
        if (highest == effectivePriority && due.equals(dependentsDue)) {
            return false;
        }
        effectivePriority = highest;
        dependentsDue = due;
        recomputeStartGoals(settings);
        return true;
    }

    private void recomputeStartGoals(ClusterSettings settings) {
        double[] own = afterSubmission(settings.startDeadlinesSeconds(spec, heldSeconds()));
        if (!hasDueDependents()) {
            startGoalsMillis = own;
            return;
        }
        // Beside what the dependents need, the job's own goals count only where somebody expects
        // them: by a deadline, or by an objective of its class.
        startGoalsMillis =
                DoubleStream.concat(
                                startGoalsOfDependents(),
                                hasOwnExpectations(settings)
                                        ? Arrays.stream(own)
                                        : DoubleStream.empty())
                        .sorted()
                        .toArray();
    }

    private DoubleStream startGoalsOfDependents() {
        return DoubleStream.of(dependentsDue.earliestMillis(), dependentsDue.latestMillis())
                .map(millis -> millis - spec.estimatedSeconds() * 1000)
                .distinct();
    }

    private boolean hasOwnExpectations(ClusterSettings settings) {
        return spec.deadlineSeconds() != null
                || settings.objectives().stream()
                        .anyMatch(objective -> objective.jobClass().equals(spec.jobClass()));
    }
}
