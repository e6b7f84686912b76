package io.kitepath.core.shard;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import java.util.Arrays;
import java.util.stream.DoubleStream;

/**
 * The time since which a job may start, its start goals and deadlines, and its effective priority,
 * from its own specification and the demand of its dependents.
 */
final class JobStartGoals {
    private final JobSpec spec;
    private final double submittedMillis;
    private double eligibleSinceMillis;
    private JobSpec.Priority effectivePriority;
    private DueTimes dependentsDue = DueTimes.NONE;

    /**
     * The times by which the job's tasks have to start to meet its objectives, in milliseconds
     * since 1970, earliest first.
     */
    private double[] startGoalsMillis;

    /**
     * @param startWithinSeconds for each objective, the time after submission within which the job
     *     has to start to meet it
     */
    JobStartGoals(JobSpec spec, double submittedMillis, double[] startWithinSeconds) {
        this.spec = spec;
        this.submittedMillis = submittedMillis;
        this.eligibleSinceMillis = submittedMillis;
        this.effectivePriority = spec.priority();
        this.startGoalsMillis = toStartGoalsMillis(startWithinSeconds);
    }

    private double[] toStartGoalsMillis(double[] startWithinSeconds) {
        return Arrays.stream(startWithinSeconds)
                .map(seconds -> submittedMillis + seconds * 1000)
                .toArray();
    }

    /** The job's submission, or the end of its last dependency, in milliseconds since 1970. */
    double eligibleSinceMillis() {
        return eligibleSinceMillis;
    }

    double heldSeconds() {
        return (eligibleSinceMillis - submittedMillis) / 1000;
    }

    /** The highest priority among the job itself and all jobs that depend on it. */
    JobSpec.Priority effectivePriority() {
        return effectivePriority;
    }

    boolean hasDeadline() {
        return spec.deadlineSeconds() != null || hasDueDependents();
    }

    private boolean hasDueDependents() {
        return !dependentsDue.equals(DueTimes.NONE);
    }

    /** The earliest deadline, its own or a dependent's, in milliseconds since 1970, or infinite. */
    double dueMillis() {
        double ownDueMillis =
                spec.deadlineSeconds() == null
                        ? Double.POSITIVE_INFINITY
                        : submittedMillis + 1000 * spec.deadlineSeconds();
        return Math.min(ownDueMillis, dependentsDue.earliestMillis());
    }

    /** The times by which the job has to be done for the jobs that depend on it. */
    DueTimes dependentsDue() {
        return dependentsDue;
    }

    int startGoalCount() {
        return startGoalsMillis.length;
    }

    double startGoalMillis(int goal) {
        return startGoalsMillis[goal];
    }

    /** Makes the job eligible since the time when its last dependency was done. */
    void becomeEligible(double atMillis, ClusterSettings settings) {
        eligibleSinceMillis = Math.max(submittedMillis, atMillis);
        recomputeStartGoals(settings);
    }

    /** Restores the eligibility time from a record; the start goals are left unchanged. */
    void restoreEligibleSince(double atMillis) {
        eligibleSinceMillis = Math.max(eligibleSinceMillis, atMillis);
    }

    /** Applies the demand of the job's dependents and returns whether it changed anything. */
    boolean applyDependentsDemand(
            JobSpec.Priority highestPriority, DueTimes due, ClusterSettings settings) {
        if (highestPriority == effectivePriority && due.equals(dependentsDue)) {
            return false;
        }
        effectivePriority = highestPriority;
        dependentsDue = due;
        recomputeStartGoals(settings);
        return true;
    }

    private void recomputeStartGoals(ClusterSettings settings) {
        double[] ownStartGoalsMillis =
                toStartGoalsMillis(settings.startDeadlinesSeconds(spec, heldSeconds()));
        if (!hasDueDependents()) {
            startGoalsMillis = ownStartGoalsMillis;
            return;
        }
        // If dependents have due times, the job's own start goals count only if it has a deadline
        // of its own or its class has an objective.
        startGoalsMillis =
                DoubleStream.concat(
                                startGoalsOfDependents(),
                                hasOwnDeadlineOrObjective(settings)
                                        ? Arrays.stream(ownStartGoalsMillis)
                                        : DoubleStream.empty())
                        .sorted()
                        .toArray();
    }

    private DoubleStream startGoalsOfDependents() {
        return DoubleStream.of(dependentsDue.earliestMillis(), dependentsDue.latestMillis())
                .map(millis -> millis - spec.estimatedSeconds() * 1000)
                .distinct();
    }

    private boolean hasOwnDeadlineOrObjective(ClusterSettings settings) {
        return spec.deadlineSeconds() != null
                || settings.objectives().stream()
                        .anyMatch(objective -> objective.jobClass().equals(spec.jobClass()));
    }
}
