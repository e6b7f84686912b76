package io.kitepath.core.shard;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * The dependency graph of the open jobs.
 *
 * <p>A job starts only when all its dependencies are stored as done; it is cancelled when one of
 * them is stored as cancelled. Only the store is authoritative, not progress or messages. Outcomes
 * are not passed on between leaders: a new leader reads the outcomes of closed dependencies from
 * the store again.
 *
 * <p>Dependencies inherit the demand of their dependents: the highest priority and the earliest due
 * times. Both are propagated incrementally as jobs open and close, along the edges where they
 * change, instead of being recomputed in each scheduling round.
 */
public final class JobDependencies {
    /** The number of cached outcomes; an evicted one is read from the store again. */
    private static final int MAX_CACHED_OUTCOMES = 10_000;

    /**
     * The number of unknown outcomes that are compared to find the most urgent ones; limited
     * because the comparison is repeated after each response.
     */
    private static final int MAX_COMPARED_OUTCOMES = 256;

    /** How a job ended, and the time of its end in its record, in milliseconds since 1970. */
    private record JobOutcome(boolean isDone, double endedMillis) {}

    /** An unknown outcome, and how urgent the most urgent job is that waits for it; 0 is first. */
    private record RankedOutcome(String jobId, int rank) {}

    private final ClusterSettings settings;
    private final Map<String, Job> jobs;
    private final Runnable onEligible;

    /** Open jobs by the id of each dependency whose outcome is unknown. */
    private final Map<String, Set<Job>> dependentsByDependency = new LinkedHashMap<>();

    private final Map<String, JobOutcome> outcomes =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, JobOutcome> eldest) {
                    return size() > MAX_CACHED_OUTCOMES;
                }
            };

    /** Ids of dependencies that are not open here and whose outcome is unknown. */
    private final Set<String> unknownOutcomes = new LinkedHashSet<>();

    /** The {@link #unknownOutcomes} of jobs that are open according to the store. */
    private final Set<String> notEnded = new HashSet<>();

    private final UnresolvedDependencies unresolved =
            new UnresolvedDependencies(this::dependentsOf);

    private final DependencyDemand demand;
    private final DependencyWatermark watermark;

    /** Jobs to cancel in the order of propagation: nearest to the cancelled job first. */
    private final Set<Job> jobsToCancel = new LinkedHashSet<>();

    /**
     * @param jobs by id, all jobs that are open, or finished but not cleaned up yet
     * @param startLatencySeconds the time from placement to running for jobs like the given one; 0
     *     if unknown
     * @param onEligible called when a job may start
     */
    JobDependencies(
            ClusterSettings settings,
            Map<String, Job> jobs,
            ToDoubleFunction<JobSpec> startLatencySeconds,
            Runnable onEligible) {
        this.settings = settings;
        this.jobs = jobs;
        this.onEligible = onEligible;
        this.demand =
                new DependencyDemand(
                        settings, startLatencySeconds, this::dependentsOf, this::openDependencies);
        this.watermark = new DependencyWatermark(settings);
    }

    void clear() {
        dependentsByDependency.clear();
        outcomes.clear();
        unknownOutcomes.clear();
        notEnded.clear();
        jobsToCancel.clear();
        watermark.reset();
    }

    // ---- opening and closing of jobs ------------------------------------------------------------

    /** Adds an open job. */
    void onJobOpened(Job job) {
        String id = job.spec.id();
        boolean wasUnresolved = hasEndedUnresolved(id);
        forgetUnknownOutcome(id);
        job.dependencies().forEach(dependency -> addDependency(job, dependency));
        onUnresolvedChanged(id, wasUnresolved, job.hasUnresolvedDependency());
        // Jobs that depend on this one may have become known before it.
        if (!job.dependencyState.unmet.isEmpty() || dependentsByDependency.containsKey(id)) {
            watermark.onJobAdded(job.submittedMillis);
            demand.onJobOpened(job);
        }
    }

    private void addDependency(Job job, String dependency) {
        JobOutcome outcome = outcomes.get(dependency);
        if (outcome == null) {
            job.dependencyState.unmet.add(dependency);
            Set<Job> dependents =
                    dependentsByDependency.computeIfAbsent(dependency, id -> new LinkedHashSet<>());
            if (!isOpen(dependency)) {
                unknownOutcomes.add(dependency);
            } else if (jobs.get(dependency).hasCancelledDependency()) {
                markForCancellation(job);
            }
            if (dependents.add(job) && isUnresolved(dependency)) {
                job.dependencyState.unresolvedCount++;
            }
        } else if (outcome.isDone) {
            becomeEligible(job, outcome.endedMillis);
        } else {
            markForCancellation(job);
        }
    }

    private void becomeEligible(Job job, double endedMillis) {
        job.startGoals.becomeEligible(Math.max(job.eligibleSinceMillis(), endedMillis), settings);
    }

    private List<Job> openDependencies(Job job) {
        return job.dependencyState.unmet.stream()
                .map(jobs::get)
                .filter(dependency -> dependency != null && !dependency.isFinished)
                .toList();
    }

    /** Handles a job with placed tasks in its records, so that all its dependencies are done. */
    void onJobStarted(Job job) {
        boolean wasUnresolved = job.hasUnresolvedDependency();
        demand.onEdgesRemoved(job, removeFromDependents(job));
        onUnresolvedChanged(job.spec.id(), wasUnresolved, false);
    }

    /** Removes a job that is no longer open; its outcome is in its record. */
    void onJobClosed(Job job) {
        String id = job.spec.id();
        jobsToCancel.remove(job);
        boolean wasUnresolved = job.hasUnresolvedDependency();
        demand.onEdgesRemoved(job, removeFromDependents(job));
        if (dependentsByDependency.containsKey(id) && !outcomes.containsKey(id)) {
            unknownOutcomes.add(id);
        }
        onUnresolvedChanged(id, wasUnresolved, isUnresolved(id));
    }

    /**
     * Records the stored outcome of a job and updates its dependents.
     *
     * @param isDone true if the job is done, false if it is cancelled
     * @param endedMillis the time of its end, in milliseconds since 1970
     */
    public void recordOutcome(String id, boolean isDone, double endedMillis) {
        boolean wasUnresolved = isUnresolved(id);
        outcomes.put(id, new JobOutcome(isDone, endedMillis));
        forgetUnknownOutcome(id);
        Set<Job> dependents = dependentsByDependency.remove(id);
        if (dependents == null) {
            return;
        }
        if (wasUnresolved) {
            unresolved.onResolved(dependents);
        }
        for (Job job : dependents) {
            if (!isDone) {
                markForCancellation(job);
            } else if (job.dependencyState.unmet.remove(id)) {
                becomeEligible(job, endedMillis);
                if (job.dependencyState.unmet.isEmpty() && !job.dependencyState.hasCancelled) {
                    onEligible.run();
                }
            }
        }
    }

    private boolean isOpen(String id) {
        Job job = jobs.get(id);
        return job != null && !job.isFinished;
    }

    /** Removes the job's edges and returns the open jobs that it depended on by them. */
    private List<Job> removeFromDependents(Job job) {
        List<Job> openDependencies = new ArrayList<>();
        for (String dependency : job.dependencies()) {
            Set<Job> dependents = dependentsByDependency.get(dependency);
            if (dependents == null || !dependents.remove(job)) {
                continue;
            }
            if (dependents.isEmpty()) {
                dependentsByDependency.remove(dependency);
                forgetUnknownOutcome(dependency);
            }
            if (isOpen(dependency)) {
                openDependencies.add(jobs.get(dependency));
            }
        }
        job.dependencyState.unresolvedCount = 0;
        return openDependencies;
    }

    private void forgetUnknownOutcome(String id) {
        unknownOutcomes.remove(id);
        notEnded.remove(id);
    }

    private Set<Job> dependentsOf(String id) {
        return dependentsByDependency.getOrDefault(id, Set.of());
    }

    /**
     * Marks the job and all its direct and indirect dependents for cancellation, breadth first.
     * Avoids recursion, as a chain of dependent jobs may be long.
     */
    private void markForCancellation(Job firstJob) {
        Deque<Job> jobsToMark = new ArrayDeque<>(List.of(firstJob));
        while (!jobsToMark.isEmpty()) {
            Job job = jobsToMark.poll();
            if (!job.isFinished && !job.dependencyState.hasCancelled) {
                job.dependencyState.hasCancelled = true;
                jobsToCancel.add(job);
                jobsToMark.addAll(dependentsOf(job.spec.id()));
            }
        }
    }

    // ---- knowledge of cancellations -------------------------------------------------------------

    private boolean isUnresolved(String id) {
        Job job = jobs.get(id);
        return job != null && !job.isFinished
                ? job.hasUnresolvedDependency()
                : hasEndedUnresolved(id);
    }

    private boolean hasEndedUnresolved(String id) {
        return unknownOutcomes.contains(id) && !notEnded.contains(id);
    }

    private void onUnresolvedChanged(String id, boolean wasUnresolved, boolean isUnresolved) {
        if (wasUnresolved != isUnresolved) {
            unresolved.onChanged(id, isUnresolved);
        }
    }

    /**
     * Records that a dependency which is not open here has not ended according to the store.
     *
     * @param asOfMillis when this was requested from the store, by this node's clock
     */
    public void recordNotEnded(String id, double asOfMillis) {
        if (hasEndedUnresolved(id)) {
            notEnded.add(id);
            watermark.onOpenAsOf(asOfMillis);
            unresolved.onChanged(id, false);
        }
    }

    /** Handles the end of a job that is not open here. */
    void onEndedElsewhere(String id) {
        if (notEnded.remove(id)) {
            unresolved.onChanged(id, true);
        }
    }

    /** The open jobs that others wait for. */
    public List<Job> openDependencies() {
        return dependentsByDependency.keySet().stream()
                .filter(this::isOpen)
                .map(jobs::get)
                .toList();
    }

    /** Ids of dependencies that are open in the store although they are not open here. */
    public List<String> notEndedDependencies() {
        return List.copyOf(notEnded);
    }

    /**
     * Called when a verification of all {@link #openDependencies} and {@link #notEndedDependencies}
     * begins.
     */
    public void onVerificationStarted() {
        watermark.onVerificationStarted();
    }

    /**
     * Called when every cancellation of a dependency before that time is known, because the store
     * was read or compared.
     *
     * @param asOfMillis when this was requested from the store, by this node's clock
     */
    public void onVerified(double asOfMillis) {
        watermark.onVerified(asOfMillis);
    }

    /** How old the knowledge of the dependencies' cancellations is, in seconds. */
    public double watermarkAgeSeconds(double nowMillis) {
        return watermark.ageSeconds(nowMillis);
    }

    /**
     * Returns whether users may be told that the job is not cancelled, as far as its dependencies
     * are concerned.
     */
    boolean mayReport(Job job, double nowMillis) {
        return !job.dependencyState.hasCancelled
                && (job.dependencyState.unmet.isEmpty()
                        || !job.hasUnresolvedDependency() && watermark.isRecent(nowMillis));
    }

    // ---- pending reads and cancellations --------------------------------------------------------

    /**
     * Ids of jobs whose outcomes have to be read from the store; those that block the most urgent
     * jobs come first. Jobs that are open in the store are left out until they are known to have
     * ended.
     *
     * @param maxCount the maximum number of ids
     * @param excluded ids to exclude because their reads are in progress
     */
    public List<String> unknownOutcomes(int maxCount, Set<String> excluded) {
        return unknownOutcomes.stream()
                .filter(id -> !notEnded.contains(id) && !excluded.contains(id))
                .limit(MAX_COMPARED_OUTCOMES)
                .map(id -> new RankedOutcome(id, mostUrgentRank(dependentsOf(id))))
                .sorted(Comparator.comparingInt(RankedOutcome::rank))
                .limit(maxCount)
                .map(RankedOutcome::jobId)
                .toList();
    }

    /** Returns whether the outcome of the job has to be read from the store. */
    public boolean isOutcomeUnknown(String id) {
        return unknownOutcomes.contains(id);
    }

    /** The number of jobs whose outcomes have to be read from the store. */
    public int unknownOutcomeCount() {
        return unknownOutcomes.size() - notEnded.size();
    }

    private static int mostUrgentRank(Collection<Job> dependents) {
        return dependents.stream()
                .mapToInt(job -> job.effectivePriority().ordinal())
                .min()
                .orElse(0);
    }

    /** Open jobs that have to be cancelled because a dependency was cancelled. */
    public List<Job> jobsToCancel() {
        return List.copyOf(jobsToCancel);
    }

    /** The size of {@link #jobsToCancel}. */
    public int jobsToCancelCount() {
        return jobsToCancel.size();
    }

    /** The number of edges that were looked at to pass on the demand of dependents. */
    long demandSteps() {
        return demand.steps();
    }

    /** The number of open jobs for which {@link Job#hasUnresolvedDependency} is true. */
    public long unresolvedJobCount() {
        return jobs.values().stream()
                .filter(job -> !job.isFinished && job.hasUnresolvedDependency())
                .count();
    }

    /** The number of open jobs for which {@link Job#isHeld} is true. */
    public long heldJobCount() {
        return jobs.values().stream().filter(job -> !job.isFinished && job.isHeld()).count();
    }
}
