package io.kitepath.core.shard;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

/**
 * Passes the demand of dependents on to their dependencies: the highest priority and the earliest
 * due times. Each change is passed on along the edges of the jobs whose demand it changes, each
 * once: a job is updated after all of its dependents. Guards against large pipelines that keep the
 * event loop busy for seconds.
 */
final class DependencyDemand {
    private final ClusterSettings settings;
    private final ToDoubleFunction<JobSpec> startLatencySeconds;
    private final Function<String, Set<Job>> dependentsOf;
    private final Function<Job, List<Job>> openDependencies;

    /**
     * Jobs whose demand may change. A job is accepted after those that it depends on, so the ones
     * with the highest revision come first; any other order would only cost more steps.
     */
    private final PriorityQueue<Job> updates =
            new PriorityQueue<>(Comparator.comparingLong(Job::revision).reversed());

    private long steps;

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

    /** The number of edges that were looked at so far. */
    long steps() {
        return steps;
    }

    /** Handles a job that has been added, together with its edges. */
    void onJobOpened(Job job) {
        job.dependencyState.isDemandOutdated = true;
        queueUpdate(job);
        update();
    }

    /**
     * Handles a job that no longer waits for others, after its edges were removed.
     *
     * @param dependencies the open jobs that it waited for until then
     */
    void onEdgesRemoved(Job job, Collection<Job> dependencies) {
        Demand demand = job.dependencyState.ownDemand;
        for (Job dependency : dependencies) {
            steps++;
            withdraw(demand, dependency.dependencyState);
            queueUpdate(dependency);
        }
        update();
    }

    private void queueUpdate(Job job) {
        if (!job.dependencyState.isUpdateQueued) {
            job.dependencyState.isUpdateQueued = true;
            updates.add(job);
        }
    }

    private void update() {
        while (!updates.isEmpty()) {
            Job job = updates.poll();
            job.dependencyState.isUpdateQueued = false;
            update(job);
        }
    }

    private void update(Job job) {
        DependencyState state = job.dependencyState;
        if (state.isDemandOutdated) {
            state.isDemandOutdated = false;
            determineDemand(job);
        }
        boolean isChanged =
                job.startGoals.applyDependentsDemand(
                        state.demandOfDependents.priorityFrom(job.spec.priority()),
                        state.demandOfDependents.due(),
                        settings);
        if (isChanged || state.ownDemand == null) {
            passOn(job);
        }
    }

    private void determineDemand(Job job) {
        StrongestDemand strongest = job.dependencyState.demandOfDependents;
        strongest.clear();
        for (Job dependent : dependentsOf.apply(job.spec.id())) {
            steps++;
            if (dependent.dependencyState.ownDemand != null) {
                strongest.add(dependent.dependencyState.ownDemand);
            }
        }
    }

    private void passOn(Job job) {
        Demand previous = job.dependencyState.ownDemand;
        Demand demand = new Demand(job.effectivePriority(), dependenciesDue(job));
        if (demand.equals(previous)) {
            return;
        }
        job.dependencyState.ownDemand = demand;
        for (Job dependency : openDependencies.apply(job)) {
            steps++;
            if (previous != null) {
                withdraw(previous, dependency.dependencyState);
            }
            if (!dependency.dependencyState.isDemandOutdated) {
                dependency.dependencyState.demandOfDependents.add(demand);
            }
            queueUpdate(dependency);
        }
    }

    private static void withdraw(Demand demand, DependencyState dependency) {
        if (!dependency.isDemandOutdated && !dependency.demandOfDependents.remove(demand)) {
            dependency.isDemandOutdated = true;
        }
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
