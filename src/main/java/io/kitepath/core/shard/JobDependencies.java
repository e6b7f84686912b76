package io.kitepath.core.shard;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * The dependency graph of the open jobs.
 *
 * <p>A job starts only when the store says that each of its dependencies is done; it is cancelled
 * when the store says that one of them is cancelled. Nothing else counts, neither progress nor a
 * message, and no leader hands its knowledge on: a new one reads anew how those dependencies ended
 * that are not open any more.
 *
 * <p>Dependents pass their demand on to their dependencies: the highest priority, and by when they
 * have to be done. Both are propagated as jobs come and end, along the edges where they change, and
 * not computed anew in each scheduling round.
 */
public final class JobDependencies {
    /** Outcomes that are remembered; one that was dropped is read from the store again. */
    private static final int MAX_OUTCOMES = 10_000;

    /**
     * How many unknown outcomes are compared to find the most urgent: that is done after each
     * answer.
     */
    private static final int MAX_COMPARED = 256;

    /** How a job ended, and when according to its record, in milliseconds since 1970. */
    private record JobOutcome(boolean isDone, double atMillis) {}

    private final ClusterSettings settings;
    private final Map<String, Job> jobs;
    private final ToDoubleFunction<JobSpec> startLatencySeconds;
    private final Runnable onEligible;

    /** Open jobs by the id of each dependency whose outcome is not known. */
    private final Map<String, Set<Job>> dependentsByDependency = new LinkedHashMap<>();

    private final Map<String, JobOutcome> outcomes =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, JobOutcome> eldest) {
                    return size() > MAX_OUTCOMES;
                }
            };

    /** Ids of dependencies that are not open here and whose outcome is not known. */
    private final Set<String> unknownOutcomes = new LinkedHashSet<>();

    /** In the order in which the cancellation spread: nearest to the cancelled job first. */
    private final Set<Job> jobsToCancel = new LinkedHashSet<>();

    /**
     * @param jobs by id, those that are open, or finished with something of them left
     * @param startLatencySeconds how long jobs of a kind take from placement to running; 0 if that
     *     is not known
     * @param onEligible runs when a job may start
     */
    JobDependencies(
            ClusterSettings settings,
            Map<String, Job> jobs,
            ToDoubleFunction<JobSpec> startLatencySeconds,
            Runnable onEligible) {
        this.settings = settings;
        this.jobs = jobs;
        this.startLatencySeconds = startLatencySeconds;
        this.onEligible = onEligible;
    }

    void clear() {
        dependentsByDependency.clear();
        outcomes.clear();
        unknownOutcomes.clear();
        jobsToCancel.clear();
    }

    // ---- jobs come and go -----------------------------------------------------------------------

    /** Adds an open job. */
    void jobOpened(Job job) {
        String id = job.spec.id();
        unknownOutcomes.remove(id);
        job.dependencies().forEach(dependency -> addDependency(job, dependency));
        Deque<Job> changed = new ArrayDeque<>();
        // Jobs that depend on this one may have become known before it.
        if (dependentsByDependency.containsKey(id)) {
            changed.add(job);
        }
        changed.addAll(openDependencies(job));
        propagateDemand(changed);
    }

    private void addDependency(Job job, String dependency) {
        JobOutcome outcome = outcomes.get(dependency);
        if (outcome == null) {
            job.unmetDependencies.add(dependency);
            dependentsByDependency
                    .computeIfAbsent(dependency, id -> new LinkedHashSet<>())
                    .add(job);
            if (!isOpen(dependency)) {
                unknownOutcomes.add(dependency);
            }
        } else if (outcome.isDone) {
            becomeEligible(job, outcome.atMillis);
        } else {
            markForCancellation(job);
        }
    }

    private void becomeEligible(Job job, double atMillis) {
        job.startGoals.becomeEligible(Math.max(job.eligibleSinceMillis(), atMillis), settings);
    }

    private List<Job> openDependencies(Job job) {
        return job.unmetDependencies.stream()
                .map(jobs::get)
                .filter(dependency -> dependency != null && !dependency.isFinished)
                .toList();
    }

    /** Some of the job's tasks were placed, by its records, so all its dependencies are done. */
    void jobStarted(Job job) {
        removeFromDependents(job);
    }

    /** Removes a job that is not open any more; its record says how it ended. */
    void jobClosed(Job job) {
        String id = job.spec.id();
        jobsToCancel.remove(job);
        Deque<Job> changed = new ArrayDeque<>(openDependencies(job));
        removeFromDependents(job);
        if (dependentsByDependency.containsKey(id) && !outcomes.containsKey(id)) {
            unknownOutcomes.add(id);
        }
        propagateDemand(changed);
    }

    /**
     * Takes over how a job ended, as the store has it.
     *
     * @param isDone whether the job is done, otherwise it is cancelled
     * @param atMillis when it ended, in milliseconds since 1970
     */
    public void recordOutcome(String id, boolean isDone, double atMillis) {
        outcomes.put(id, new JobOutcome(isDone, atMillis));
        unknownOutcomes.remove(id);
        Set<Job> dependents = dependentsByDependency.remove(id);
        if (dependents == null) {
            return;
        }
        for (Job job : dependents) {
            if (!isDone) {
                markForCancellation(job);
            } else if (job.unmetDependencies.remove(id)) {
                becomeEligible(job, atMillis);
                if (job.unmetDependencies.isEmpty() && !job.hasCancelledDependency) {
                    onEligible.run();
                }
            }
        }
    }

    private boolean isOpen(String id) {
        Job job = jobs.get(id);
        return job != null && !job.isFinished;
    }

    private void removeFromDependents(Job job) {
        for (String dependency : job.dependencies()) {
            Set<Job> dependents = dependentsByDependency.get(dependency);
            if (dependents != null && dependents.remove(job) && dependents.isEmpty()) {
                dependentsByDependency.remove(dependency);
                unknownOutcomes.remove(dependency);
            }
        }
    }

    private Set<Job> dependentsOf(String id) {
        return dependentsByDependency.getOrDefault(id, Set.of());
    }

    /**
     * Marks the job and all its direct and indirect dependents, breadth first. Without recursion,
     * as a chain of jobs may be long.
     */
    private void markForCancellation(Job first) {
        Deque<Job> next = new ArrayDeque<>(List.of(first));
        while (!next.isEmpty()) {
            Job job = next.poll();
            if (!job.isFinished && !job.hasCancelledDependency) {
                job.hasCancelledDependency = true;
                jobsToCancel.add(job);
                next.addAll(dependentsOf(job.spec.id()));
            }
        }
    }

    // ---- what is to be read and written ---------------------------------------------------------

    /**
     * Ids of jobs whose records have to be read for their outcomes; those that block the most
     * urgent work first.
     *
     * @param most how many at most
     * @param excluded ids to leave out, as they are being read
     */
    public List<String> unknownOutcomes(int most, Set<String> excluded) {
        return unknownOutcomes.stream()
                .limit(MAX_COMPARED)
                .filter(id -> !excluded.contains(id))
                .sorted(Comparator.comparingInt((String id) -> mostUrgentRank(dependentsOf(id))))
                .limit(most)
                .toList();
    }

    private static int mostUrgentRank(Collection<Job> dependents) {
        return dependents.stream()
                .mapToInt(job -> job.effectivePriority().ordinal())
                .min()
                .orElse(0);
    }

    /** Open jobs that have to be cancelled because a dependency is. */
    public List<Job> jobsToCancel() {
        return List.copyOf(jobsToCancel);
    }

    /** The size of {@link #jobsToCancel}. */
    public int jobsToCancelCount() {
        return jobsToCancel.size();
    }

    /** How many open jobs are held by their dependencies. */
    public long heldJobCount() {
        return jobs.values().stream().filter(job -> !job.isFinished && job.isHeld()).count();
    }

    // ---- demand ---------------------------------------------------------------------------------

    /**
     * Computes anew what is asked of these jobs, and of their dependencies as far as that changes
     * anything.
     */
    private void propagateDemand(Deque<Job> changed) {
        while (!changed.isEmpty()) {
            Job job = changed.poll();
            JobSpec.Priority highest = job.spec.priority();
            DueTimes due = DueTimes.NONE;
            for (Job dependent : dependentsOf(job.spec.id())) {
                highest = higherOf(highest, dependent.effectivePriority());
                due = due.min(mustStartBy(dependent));
            }
            if (job.startGoals.applyDependentsDemand(highest, due, settings)) {
                changed.addAll(openDependencies(job));
            }
        }
    }

    private static JobSpec.Priority higherOf(JobSpec.Priority one, JobSpec.Priority other) {
        return other.compareTo(one) < 0 ? other : one;
    }

    /** By when the job has to start for its own deadlines and those of its dependents. */
    private DueTimes mustStartBy(Job job) {
        DueTimes due = ownDeadlines(job).min(job.startGoals.dependentsDue());
        // Between a dependency's end and the dependent's start, the end is reported and written,
        // the
        // placement is written, and the worker asks for it.
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
