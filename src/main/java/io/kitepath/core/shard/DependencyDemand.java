package io.kitepath.core.shard;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

/**
 * Passes the demand of dependents on to their dependencies: the highest priority and the earliest
 * due times.
 */
final class DependencyDemand {
    private final ClusterSettings settings;
    private final ToDoubleFunction<JobSpec> startLatencySeconds;
    private final Function<String, Set<Job>> dependentsOf;
    private final Function<Job, List<Job>> openDependencies;

    /**
     * @param startLatencySeconds the time from placement to running for jobs like the given one; 0
     *     if unknown
     * @param dependentsOf returns the open jobs that wait for the job with the given id
     * @param openDependencies returns the open jobs that the given one waits for
     */
    DependencyDemand(
            ClusterSettings settings,
            ToDoubleFunction<JobSpec> startLatencySeconds,
            Function<String, Set<Job>> dependentsOf,
            Function<Job, List<Job>> openDependencies) {
        this.settings = settings;
        this.startLatencySeconds = startLatencySeconds;
        this.dependentsOf = dependentsOf;
        this.openDependencies = openDependencies;
    }

    /**
     * Recomputes the demand of dependents on these jobs, and transitively on their dependencies for
     * as long as that changes anything.
     */
    void propagate(Deque<Job> changed) {
        while (!changed.isEmpty()) {
            Job job = changed.poll();
            JobSpec.Priority highestPriority = job.spec.priority();
            DueTimes due = DueTimes.NONE;
            for (Job dependent : dependentsOf.apply(job.spec.id())) {
                highestPriority = higherOf(highestPriority, dependent.effectivePriority());
                due = due.min(dependenciesDue(dependent));
            }
            if (job.startGoals.applyDependentsDemand(highestPriority, due, settings)) {
                changed.addAll(openDependencies.apply(job));
            }
        }
    }

    private static JobSpec.Priority higherOf(JobSpec.Priority one, JobSpec.Priority other) {
        return other.compareTo(one) < 0 ? other : one;
    }

    /**
     * The time by which the job's dependencies have to be done to meet its own deadlines and those
     * of its dependents.
     */
    private DueTimes dependenciesDue(Job job) {
        DueTimes due = ownDeadlines(job).min(job.startGoals.dependentsDue());
        // Between the end of a dependency and the start of its dependent, the end is reported and
        // stored, the placement is stored, and the worker fetches it with a heartbeat.
        double heartbeatSeconds = settings.workers().heartbeatIntervalSeconds();
        double gapSeconds =
                Math.max(startLatencySeconds.applyAsDouble(job.spec), heartbeatSeconds)
                        + heartbeatSeconds;
        return due.minusMillis(1000 * (job.spec.estimatedSeconds() + gapSeconds));
    }

    private DueTimes ownDeadlines(Job job) {
        double[] deadlinesMillis =
                Arrays.stream(settings.ownDeadlinesSeconds(job.spec))
                        .map(seconds -> job.submittedMillis + 1000 * seconds)
                        .toArray();
        return deadlinesMillis.length == 0
                ? DueTimes.NONE
                : new DueTimes(deadlinesMillis[0], deadlinesMillis[deadlinesMillis.length - 1]);
    }
}
