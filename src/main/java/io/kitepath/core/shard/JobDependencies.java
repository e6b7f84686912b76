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
 * Which open jobs wait for which. A job starts only when the store has it that each job that it
 * needs is done; it is cancelled when the store has it that one of them is cancelled. Neither
 * progress nor anybody's word counts, and nothing is remembered from before: a new holder finds out
 * anew how the needed jobs ended that are not open any more.
 *
 * <p>It also keeps what the jobs that wait ask of those before them: the highest priority, and by
 * when they have to be done. Both are worked out as jobs come and end, along what changes by it,
 * not anew for each round.
 */
public final class JobDependencies {
    /** Ends that are remembered; what was forgotten is read again. */
    private static final int MAX_OUTCOMES = 10_000;

    /**
     * Of those to be found out, how many are compared to find the most urgent: it is done anew
     * after each answer.
     */
    private static final int MAX_COMPARED = 256;

    /** How a job ended, and when as far as its record says. */
    private record JobOutcome(boolean isDone, double atMillis) {}

    private final ClusterSettings settings;
    private final Map<String, Job> jobs;
    private final ToDoubleFunction<JobSpec> startLatencySeconds;
    private final Runnable onEligible;

    /** Open jobs by each that they need, as long as it is not known to be over. */
    private final Map<String, Set<Job>> dependentsByDependency = new LinkedHashMap<>();

    private final Map<String, JobOutcome> outcomes =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, JobOutcome> eldest) {
                    return size() > MAX_OUTCOMES;
                }
            };

    /** Needed, not open here, and it is not known how they ended. */
    private final Set<String> unknownOutcomes = new LinkedHashSet<>();

    /** To be cancelled, those nearest to what was cancelled first. */
    private final Set<Job> jobsToCancel = new LinkedHashSet<>();

    /**
     * @param jobs those that are open, or over with something of them left
     * @param leadS how long jobs of a kind take from placing to running, in seconds; 0 if that is
     *     not known
     * @param changed runs when a job may start
     */
    JobDependencies(
            ClusterSettings settings,
            Map<String, Job> jobs,
            ToDoubleFunction<JobSpec> leadS,
            Runnable changed) {
        this.settings = settings;
        this.jobs = jobs;
        this.startLatencySeconds = leadS;
        this.onEligible = changed;
    }

    void clear() {
        dependentsByDependency.clear();
        outcomes.clear();
        unknownOutcomes.clear();
        jobsToCancel.clear();
    }

    // ---- jobs come and go -----------------------------------------------------------------------

    /** An open job is known from now on. */
    void jobOpened(Job job) {
        String id = job.spec.id();
        unknownOutcomes.remove(id);
        for (String need : job.dependencies()) {
            JobOutcome e = outcomes.get(need);
            if (e == null) {
                job.unmetDependencies.add(need);
                dependentsByDependency.computeIfAbsent(need, key -> new LinkedHashSet<>()).add(job);
                if (!isOpen(need)) {
                    unknownOutcomes.add(need);
                }
            } else if (e.isDone) {
                job.becomeEligible(Math.max(job.eligibleSinceMillis(), e.atMillis), settings);
            } else {
                markForCancellation(job);
            }
        }
        // Those that need it may have become known before it.
        Deque<Job> from = new ArrayDeque<>();
        if (dependentsByDependency.containsKey(id)) {
            from.add(job);
        }
        from.addAll(openDependencies(job));
        propagateDemand(from);
    }

    /** Open jobs that it waits for. */
    private List<Job> openDependencies(Job job) {
        return job.unmetDependencies.stream()
                .map(jobs::get)
                .filter(j -> j != null && !j.isFinished)
                .toList();
    }

    /** Some of its tasks were placed, by its records: all that it needs is done. */
    void jobStarted(Job job) {
        job.dependencies().forEach(n -> removeDependent(n, job));
    }

    /** A job is not open any more; how it ended is for its record to say, unless that is known. */
    void jobClosed(Job job) {
        String id = job.spec.id();
        jobsToCancel.remove(job);
        Deque<Job> before = new ArrayDeque<>(openDependencies(job));
        job.dependencies().forEach(n -> removeDependent(n, job));
        if (dependentsByDependency.containsKey(id) && !outcomes.containsKey(id)) {
            unknownOutcomes.add(id);
        }
        propagateDemand(before);
    }

    /**
     * The store has it that the job is done, or cancelled; {@code atMs}: when, by the time of day.
     */
    public void recordOutcome(String id, boolean done, double atMs) {
        outcomes.put(id, new JobOutcome(done, atMs));
        unknownOutcomes.remove(id);
        Set<Job> who = dependentsByDependency.remove(id);
        if (who == null) {
            return;
        }
        for (Job job : who) {
            if (!done) {
                markForCancellation(job);
            } else if (job.unmetDependencies.remove(id)) {
                job.becomeEligible(Math.max(job.eligibleSinceMillis(), atMs), settings);
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

    private void removeDependent(String need, Job job) {
        Set<Job> who = dependentsByDependency.get(need);
        if (who != null && who.remove(job) && who.isEmpty()) {
            dependentsByDependency.remove(need);
            unknownOutcomes.remove(need);
        }
    }

    /**
     * It, and all that need it directly or through others, nearest first; a chain may be long, so
     * without recursion.
     */
    private void markForCancellation(Job first) {
        Deque<Job> next = new ArrayDeque<>(List.of(first));
        while (!next.isEmpty()) {
            Job job = next.poll();
            if (!job.isFinished && !job.hasCancelledDependency) {
                job.hasCancelledDependency = true;
                jobsToCancel.add(job);
                next.addAll(dependentsByDependency.getOrDefault(job.spec.id(), Set.of()));
            }
        }
    }

    // ---- what is to be found out, and written ---------------------------------------------------

    /**
     * Jobs whose records have to say how they ended, so many at most; those that block the most
     * urgent work first.
     */
    public List<String> unknownOutcomes(int most, Set<String> but) {
        return unknownOutcomes.stream()
                .limit(MAX_COMPARED)
                .filter(id -> !but.contains(id))
                .sorted(
                        Comparator.comparingInt(
                                (String id) ->
                                        mostUrgentRank(
                                                dependentsByDependency.getOrDefault(id, Set.of()))))
                .limit(most)
                .toList();
    }

    private static int mostUrgentRank(Collection<Job> who) {
        return who.stream().mapToInt(job -> job.effectivePriority().ordinal()).min().orElse(0);
    }

    /** Jobs to be cancelled because one before them is. */
    public List<Job> jobsToCancel() {
        return List.copyOf(jobsToCancel);
    }

    /** How many that are. */
    public int jobsToCancelCount() {
        return jobsToCancel.size();
    }

    /** How many jobs wait for others. */
    public long heldJobCount() {
        return jobs.values().stream().filter(job -> !job.isFinished && job.isHeld()).count();
    }

    // ---- what those behind ask of those before --------------------------------------------------

    /**
     * Works out anew what is asked of these jobs, and of those before them as far as that changes
     * anything.
     */
    private void propagateDemand(Deque<Job> from) {
        while (!from.isEmpty()) {
            Job job = from.poll();
            JobSpec.Priority highest = job.spec.priority();
            double[] endByMs = {Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY};
            for (Job behind : dependentsByDependency.getOrDefault(job.spec.id(), Set.of())) {
                highest =
                        behind.effectivePriority().compareTo(highest) < 0
                                ? behind.effectivePriority()
                                : highest;
                double[] start = startByMillis(behind);
                endByMs[0] = Math.min(endByMs[0], start[0]);
                endByMs[1] = Math.min(endByMs[1], start[1]);
            }
            if (job.applyDependentsDemand(highest, endByMs, settings)) {
                from.addAll(openDependencies(job));
            }
        }
    }

    /**
     * By when the job has to start for its deadline and those behind it: the soonest, and the last
     * that is worth it.
     */
    private double[] startByMillis(Job job) {
        double[] own =
                Arrays.stream(settings.ownDeadlinesSeconds(job.spec))
                        .map(s -> job.submittedMillis + 1000 * s)
                        .toArray();
        double[] behind = job.dependentsDueMillis();
        double first = own.length == 0 ? behind[0] : Math.min(own[0], behind[0]);
        double last = own.length == 0 ? behind[1] : Math.min(own[own.length - 1], behind[1]);
        // Between the end before it and its start: the end is reported and written, its placing
        // written and fetched.
        double gapS =
                Math.max(
                                startLatencySeconds.applyAsDouble(job.spec),
                                settings.workers().heartbeatIntervalSeconds())
                        + settings.workers().heartbeatIntervalSeconds();
        double ms = 1000 * (job.spec.estimatedSeconds() + gapS);
        return new double[] {first - ms, last - ms};
    }
}
