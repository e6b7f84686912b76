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
 * Determines the order in which jobs are served: work within its team's guarantee first, then by
 * priority, and within the same priority so that as many jobs as possible meet their goals.
 *
 * <p>The order is based on Moore and Hodgson ("An n job, one machine sequencing algorithm for
 * minimizing the number of late jobs", Management Science, 1968): jobs are added by their latest
 * start times, and where the work up to a job exceeds what the machines can complete by then, the
 * largest job so far is deferred. Here that is the largest of the jobs whose class and team are not
 * lagging, as long as there is one, then of the jobs with the highest service share. Guards against
 * an overload in which, ordered by due times alone, each job is served just too late.
 */
public final class SchedulingQueue {
    /**
     * A waiting job and the goal for which it is scheduled.
     *
     * @param goalIndex the index of the goal
     */
    private record Entry(
            Job job,
            int goalIndex,
            double workCpuSeconds,
            double startLatencyMillis,
            double serviceShare) {
        /** Returns the latest time at which the job has to be placed to run by its goal. */
        double latestStartMillis() {
            return job.startGoalMillis(goalIndex) - startLatencyMillis;
        }

        /** Returns the time at which the job ends if it is placed at its latest start. */
        double latestEndMillis() {
            return latestStartMillis() + job.spec.estimatedSeconds() * 1000;
        }

        boolean isLagging() {
            return serviceShare < 1;
        }

        Entry withGoal(int otherGoalIndex) {
            return new Entry(job, otherGoalIndex, workCpuSeconds, startLatencyMillis, serviceShare);
        }
    }

    private static final Comparator<Entry> BY_LATEST_START =
            Comparator.comparingDouble(Entry::latestStartMillis)
                    .thenComparingDouble(entry -> entry.job.eligibleSinceMillis())
                    .thenComparing(entry -> entry.job.spec.id());

    /** The order in which entries are deferred: highest service share first, then the largest. */
    private static final Comparator<Entry> DEFERRAL_ORDER =
            Comparator.comparingDouble((Entry entry) -> -entry.serviceShare)
                    .thenComparingDouble(entry -> -entry.workCpuSeconds)
                    .thenComparing(entry -> entry.job.spec.id());

    private final ToDoubleFunction<JobSpec> usableCpus;
    private final ToDoubleFunction<JobSpec> startLatencySeconds;
    private final ToDoubleFunction<JobSpec> serviceShare;
    private final double wallMillis;
    private final RunningLoad runningLoad;

    /** CPU seconds of the waiting work that is served before the job under consideration. */
    private double cpuSecondsAhead;

    /**
     * @param usableCpus how many CPUs such jobs could use at once if all machines were empty.
     *     Counts only machines that the job may use: guards against an overload of regular machines
     *     that is not detected because spot machines, which the job may not use, have free capacity
     * @param startLatencySeconds how many seconds pass between placing and running
     * @param serviceShare 1, or less for a job whose class or team is lagging, that is, receives so
     *     little service that jobs with a higher share are deferred before it
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

    /** Returns the jobs that have waiting tasks, in the order in which they are served. */
    List<Job> sortJobs(Collection<Job> jobs) {
        Map<Integer, List<Job>> jobsByRank = new LinkedHashMap<>();
        for (Job job : jobs) {
            jobsByRank.computeIfAbsent(job.queueRank(), key -> new ArrayList<>()).add(job);
        }
        List<Job> order = new ArrayList<>();
        int ranks = 2 * JobSpec.Priority.values().length;
        for (int rank = 0; rank < ranks; rank++) {
            List<Job> jobsOfRank = jobsByRank.getOrDefault(rank, List.of());
            runningLoad.addRunningTasks(jobsOfRank);
            appendJobsOfRank(jobsOfRank, order);
        }
        return order;
    }

    /** Appends the jobs of one rank: first those that meet their goals, last those that cannot. */
    private void appendJobsOfRank(List<Job> jobs, List<Job> order) {
        List<Entry> entries = new ArrayList<>();
        List<Job> withoutGoal = new ArrayList<>();
        for (Job job : jobs) {
            if (!job.isFinished() && job.waitingTasks() > 0) {
                addForNextGoal(entryBeforeFirstGoal(job), entries, withoutGoal);
            }
        }
        while (!entries.isEmpty()) {
            entries.sort(BY_LATEST_START);
            Set<Entry> deferred = chooseDeferred(entries);
            List<Entry> retried = new ArrayList<>();
            for (Entry entry : entries) {
                if (deferred.contains(entry)) {
                    retried.add(entry);
                } else {
                    order.add(entry.job);
                }
            }
            entries.clear();
            retried.forEach(entry -> addForNextGoal(entry, entries, withoutGoal));
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

    /**
     * Returns the entries that are deferred in an overload.
     *
     * @param sorted the entries, sorted by their latest start
     */
    private Set<Entry> chooseDeferred(List<Entry> sorted) {
        PriorityQueue<Entry> deferrable = new PriorityQueue<>(DEFERRAL_ORDER);
        Set<Entry> deferred = Collections.newSetFromMap(new IdentityHashMap<>());
        for (Entry entry : sorted) {
            double availableCpuSeconds =
                    availableCpuSeconds(
                            entry.job.spec, (entry.latestEndMillis() - wallMillis) / 1000);
            cpuSecondsAhead += entry.workCpuSeconds;
            if (entry.isLagging() && entry.workCpuSeconds > availableCpuSeconds) {
                // No other job is deferred for a job that cannot meet its goal in any case.
                cpuSecondsAhead -= entry.workCpuSeconds;
                deferred.add(entry);
                continue;
            }
            deferrable.add(entry);
            // Defers the largest entry so that this one can be in time. If smaller entries are
            // deferred because this one is lagging, it takes several of them.
            double freedCpuSeconds = 0;
            while (cpuSecondsAhead > availableCpuSeconds
                    && freedCpuSeconds < entry.workCpuSeconds
                    && !deferrable.isEmpty()) {
                Entry deferredEntry = deferrable.poll();
                cpuSecondsAhead -= deferredEntry.workCpuSeconds;
                freedCpuSeconds += deferredEntry.workCpuSeconds;
                deferred.add(deferredEntry);
            }
        }
        return deferred;
    }

    /**
     * Returns the CPU seconds available to such waiting work within the given time, besides what
     * running work takes.
     */
    private double availableCpuSeconds(JobSpec spec, double seconds) {
        return Math.max(1, usableCpus.applyAsDouble(spec)) * seconds
                - runningLoad.cpuSecondsWithin(seconds);
    }

    /**
     * Adds the entry for its next goal that is not past, or its job to {@code withoutGoal} if it
     * has none.
     */
    private void addForNextGoal(Entry entry, List<Entry> entries, List<Job> withoutGoal) {
        Job job = entry.job;
        int goalIndex = entry.goalIndex + 1;
        while (goalIndex < job.startGoalCount()
                && job.startGoalMillis(goalIndex) - entry.startLatencyMillis < wallMillis) {
            goalIndex++;
        }
        if (goalIndex < job.startGoalCount()) {
            entries.add(entry.withGoal(goalIndex));
        } else {
            withoutGoal.add(job);
        }
    }
}
