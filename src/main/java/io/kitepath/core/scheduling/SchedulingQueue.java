package io.kitepath.core.scheduling;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.shard.Job;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * The order in which jobs are served: work within its team's guarantee first, then by priority, and
 * within that so that as many jobs as possible meet their goals.
 *
 * <p>That follows Moore and Hodgson ("An n job, one machine sequencing algorithm for minimizing the
 * number of late jobs", Management Science, 1968): jobs are taken by the time at which they have to
 * start, and where the work up to some job is more than the machines get done until then, the
 * largest job so far goes without. Here that is the largest of those whose class and team are not
 * behind, as long as there is one, then of those that get the most. Guards against an overload in
 * which, ordered by due times alone, each job gets its turn just too late.
 */
public final class SchedulingQueue {
    /**
     * A waiting job and the goal that it is tried for.
     *
     * @param goal the index of the goal
     */
    private record Entry(
            Job job,
            int goal,
            double workCpuSeconds,
            double startLatencyMillis,
            double serviceShare) {
        /** By when it has to be placed, to run by the time that its goal says. */
        double latestStartMillis() {
            return job.startGoalMillis(goal) - startLatencyMillis;
        }

        /** When it is done if it is placed just in time. */
        double latestEndMillis() {
            return latestStartMillis() + job.spec.estimatedSeconds() * 1000;
        }

        boolean isBehind() {
            return serviceShare < 1;
        }

        Entry withGoal(int other) {
            return new Entry(job, other, workCpuSeconds, startLatencyMillis, serviceShare);
        }
    }

    private static final Comparator<Entry> BY_LATEST_START =
            Comparator.comparingDouble(Entry::latestStartMillis)
                    .thenComparingDouble(entry -> entry.job.eligibleSinceMillis())
                    .thenComparing(entry -> entry.job.spec.id());

    /** Who goes without first: those that get the most, of those the largest. */
    private static final Comparator<Entry> LARGEST_FIRST =
            Comparator.comparingDouble((Entry entry) -> -entry.serviceShare)
                    .thenComparingDouble(entry -> -entry.workCpuSeconds)
                    .thenComparing(entry -> entry.job.spec.id());

    private final ToDoubleFunction<JobSpec> usableCpus;
    private final ToDoubleFunction<JobSpec> startLatencySeconds;
    private final ToDoubleFunction<JobSpec> serviceShare;
    private final double wallMillis;
    private final RunningLoad runningLoad;

    /** CPU seconds of the waiting work that is served before the job that is looked at. */
    private double cpuSecondsAhead;

    /**
     * @param usableCpus how many CPUs such jobs could use at once if all machines were empty. Only
     *     machines that the job may use count: guards against an overload of regular machines that
     *     stays unseen because spot machines, which the job may not use, have room
     * @param startLatencySeconds how many seconds pass between placing and running
     * @param serviceShare 1, or less for a job whose class or team is behind, that is, gets so
     *     little that others of a higher share go without before it
     * @param now seconds on the steady clock
     * @param wallMillis milliseconds since 1970
     */
    SchedulingQueue(
            ToDoubleFunction<JobSpec> usableCpus,
            ToDoubleFunction<JobSpec> startLatencySeconds,
            ToDoubleFunction<JobSpec> serviceShare,
            double now,
            double wallMillis) {
        this.usableCpus = usableCpus;
        this.startLatencySeconds = startLatencySeconds;
        this.serviceShare = serviceShare;
        this.wallMillis = wallMillis;
        this.runningLoad = new RunningLoad(now);
    }

    /** Those of the jobs that have work to place, in the order in which they are served. */
    List<Job> sortJobs(Collection<Job> jobs) {
        Map<Integer, List<Job>> jobsByRank = new LinkedHashMap<>();
        for (Job job : jobs) {
            jobsByRank.computeIfAbsent(job.queueRank(), key -> new ArrayList<>()).add(job);
        }
        List<Job> order = new ArrayList<>();
        int ranks = 2 * JobSpec.Priority.values().length;
        for (int rank = 0; rank < ranks; rank++) {
            List<Job> ofRank = jobsByRank.getOrDefault(rank, List.of());
            runningLoad.add(ofRank);
            orderRank(ofRank, order);
        }
        return order;
    }

    /** Appends the jobs of one rank: those that meet their goals, and last those that can't. */
    private void orderRank(List<Job> jobs, List<Job> order) {
        List<Entry> tried = new ArrayList<>();
        List<Job> withoutGoal = new ArrayList<>();
        for (Job job : jobs) {
            if (!job.isFinished() && job.waitingTasks() > 0) {
                addForNextGoal(entryBeforeFirstGoal(job), tried, withoutGoal);
            }
        }
        while (!tried.isEmpty()) {
            tried.sort(BY_LATEST_START);
            Set<Entry> late = chooseLate(tried);
            List<Entry> again = new ArrayList<>();
            for (Entry entry : tried) {
                if (late.contains(entry)) {
                    again.add(entry);
                } else {
                    order.add(entry.job);
                }
            }
            tried.clear();
            again.forEach(entry -> addForNextGoal(entry, tried, withoutGoal));
        }
        withoutGoal.sort(
                Comparator.comparingDouble(Job::eligibleSinceMillis)
                        .thenComparing(job -> job.spec.id()));
        order.addAll(withoutGoal);
    }

    private Entry entryBeforeFirstGoal(Job job) {
        JobSpec spec = job.spec;
        return new Entry(
                job,
                -1,
                spec.cpusPerTask() * spec.estimatedSeconds() * job.waitingTasks(),
                1000 * startLatencySeconds.applyAsDouble(spec),
                serviceShare.applyAsDouble(spec));
    }

    /** Those of the entries, sorted by their latest start, that go without in an overload. */
    private Set<Entry> chooseLate(List<Entry> sorted) {
        PriorityQueue<Entry> largest = new PriorityQueue<>(LARGEST_FIRST);
        Set<Entry> late = Collections.newSetFromMap(new IdentityHashMap<>());
        for (Entry entry : sorted) {
            double available =
                    availableCpuSeconds(
                            entry.job.spec, (entry.latestEndMillis() - wallMillis) / 1000);
            cpuSecondsAhead += entry.workCpuSeconds;
            if (entry.isBehind() && entry.workCpuSeconds > available) {
                // Nobody goes without for a job that can't be in time in any case.
                cpuSecondsAhead -= entry.workCpuSeconds;
                late.add(entry);
                continue;
            }
            largest.add(entry);
            // The largest makes room for this one; where smaller ones go because it is behind, it
            // takes several.
            double freed = 0;
            while (cpuSecondsAhead > available
                    && freed < entry.workCpuSeconds
                    && !largest.isEmpty()) {
                Entry dropped = largest.poll();
                cpuSecondsAhead -= dropped.workCpuSeconds;
                freed += dropped.workCpuSeconds;
                late.add(dropped);
            }
        }
        return late;
    }

    /** CPU seconds that there are for such waiting work in that time, beside what runs. */
    private double availableCpuSeconds(JobSpec spec, double seconds) {
        return Math.max(1, usableCpus.applyAsDouble(spec)) * seconds
                - runningLoad.cpuSecondsWithin(seconds);
    }

    /** Adds the entry for its next goal that is not past, or last if it has none. */
    private void addForNextGoal(Entry entry, List<Entry> tried, List<Job> withoutGoal) {
        Job job = entry.job;
        int goal = entry.goal + 1;
        while (goal < job.startGoalCount()
                && job.startGoalMillis(goal) - entry.startLatencyMillis < wallMillis) {
            goal++;
        }
        if (goal < job.startGoalCount()) {
            tried.add(entry.withGoal(goal));
        } else {
            withoutGoal.add(job);
        }
    }
}
