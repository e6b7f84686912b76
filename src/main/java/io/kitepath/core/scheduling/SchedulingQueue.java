package io.kitepath.core.scheduling;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.shard.Attempt;
import io.kitepath.core.shard.Job;
import java.util.ArrayList;
import java.util.Arrays;
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
 * The order in which jobs are served: work within its team's guarantee, then by priority; within
 * that so that as many jobs as possible meet what is expected of them. That is the rule of Moore
 * and Hodgson: by the time at which a job has to start, and where the work up to some job is more
 * than the machines get done until then, the largest one so far goes without; the largest of those
 * whose class and team are not behind, as long as there is one, then of those that get the most.
 * Guards against an overload in which, by due times alone, each job gets its turn just too late.
 */
public final class SchedulingQueue {
    /** A job, which of its goals is tried for, and its work in CPU seconds. */
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
    }

    private final ToDoubleFunction<JobSpec> usableCpus;
    private final ToDoubleFunction<JobSpec> startLatencySeconds;

    /** 1, or below it if a job's class or team gets so little that others go without before it. */
    private final ToDoubleFunction<JobSpec> serviceShare;

    private final double now;
    private final double wallMs;

    /** CPU seconds of waiting work that goes before what is looked at. */
    private double cpuSecondsAhead;

    /**
     * CPUs of what runs and does not give way, by job, and for how long they will probably be
     * taken.
     */
    private final List<double[]> running = new ArrayList<>();

    /**
     * The same, those that end soonest first; and added up to each, what they take in all, and
     * their CPUs.
     */
    private double[] runningEndSeconds = new double[0];

    private double[] cumulativeCpuSeconds = new double[1];
    private double[] cumulativeCpus = new double[1];

    /**
     * Guards against an overload of work for ordinary machines that nobody sees because spot
     * machines, which it may not use, have room.
     *
     * @param capacity how many CPUs such jobs can use at once, were all machines theirs
     * @param lead how many seconds pass between placing and running
     * @param standing 1, or the share that the job's class or team gets if that is so little that
     *     others of a higher one go without before it
     */
    SchedulingQueue(
            ToDoubleFunction<JobSpec> capacity,
            ToDoubleFunction<JobSpec> lead,
            ToDoubleFunction<JobSpec> standing,
            double now,
            double wallMs) {
        this.usableCpus = capacity;
        this.startLatencySeconds = lead;
        this.serviceShare = standing;
        this.now = now;
        this.wallMs = wallMs;
    }

    List<Job> sortJobs(Collection<Job> jobs) {
        Map<Integer, List<Job>> ranks = new LinkedHashMap<>();
        int least = 2 * JobSpec.Priority.values().length;
        for (Job job : jobs) {
            ranks.computeIfAbsent(job.queueRank(), k -> new ArrayList<>()).add(job);
        }
        List<Job> out = new ArrayList<>();
        for (int rank = 0; rank < least; rank++) {
            List<Job> in = ranks.getOrDefault(rank, List.of());
            in.forEach(this::addRunning);
            if (running.size() > runningEndSeconds.length) {
                sumRunning();
            }
            orderRank(in, out);
        }
        return out;
    }

    private void addRunning(Job job) {
        double sum = 0;
        for (Attempt attempt : job.liveAttempts().values()) {
            sum += attempt.remainingSeconds(now);
        }
        if (!job.liveAttempts().isEmpty()) {
            running.add(
                    new double[] {
                        job.liveAttempts().size() * job.spec.cpusPerTask(),
                        sum / job.liveAttempts().size()
                    });
        }
    }

    private void sumRunning() {
        running.sort(Comparator.comparingDouble(r -> r[1]));
        int n = running.size();
        runningEndSeconds = new double[n];
        cumulativeCpuSeconds = new double[n + 1];
        cumulativeCpus = new double[n + 1];
        for (int i = 0; i < n; i++) {
            double[] r = running.get(i);
            runningEndSeconds[i] = r[1];
            cumulativeCpuSeconds[i + 1] = cumulativeCpuSeconds[i] + r[0] * r[1];
            cumulativeCpus[i + 1] = cumulativeCpus[i] + r[0];
        }
    }

    /**
     * CPU seconds that there are for such waiting work in that time; what runs takes only its part
     * of it. Asked for each job that waits, so what runs is added up once and not for each of them.
     */
    private double availableCpuSeconds(JobSpec spec, double seconds) {
        int at = Arrays.binarySearch(runningEndSeconds, seconds);
        int over = at >= 0 ? at : -at - 1;
        double running =
                cumulativeCpuSeconds[over]
                        + (cumulativeCpus[runningEndSeconds.length] - cumulativeCpus[over])
                                * seconds;
        return Math.max(1, usableCpus.applyAsDouble(spec)) * seconds - running;
    }

    private void orderRank(List<Job> jobs, List<Job> out) {
        List<Entry> tried = new ArrayList<>();
        List<Job> last = new ArrayList<>();
        for (Job job : jobs) {
            if (!job.isFinished() && job.waitingTasks() > 0) {
                addForNextGoal(
                        new Entry(
                                job,
                                -1,
                                job.spec.cpusPerTask()
                                        * job.spec.estimatedSeconds()
                                        * job.waitingTasks(),
                                1000 * startLatencySeconds.applyAsDouble(job.spec),
                                serviceShare.applyAsDouble(job.spec)),
                        tried,
                        last);
            }
        }
        while (!tried.isEmpty()) {
            tried.sort(
                    Comparator.comparingDouble(Entry::latestStartMillis)
                            .thenComparingDouble(queued -> queued.job.eligibleSinceMillis())
                            .thenComparing(queued -> queued.job.spec.id()));
            PriorityQueue<Entry> largest =
                    new PriorityQueue<>(
                            Comparator.comparingDouble((Entry queued) -> -queued.serviceShare)
                                    .thenComparingDouble(queued -> -queued.workCpuSeconds)
                                    .thenComparing(queued -> queued.job.spec.id()));
            Set<Entry> without = Collections.newSetFromMap(new IdentityHashMap<>());
            for (Entry queued : tried) {
                largest.add(queued);
                cpuSecondsAhead += queued.workCpuSeconds;
                double doneMs =
                        queued.latestStartMillis() + queued.job.spec.estimatedSeconds() * 1000;
                double room = availableCpuSeconds(queued.job.spec, (doneMs - wallMs) / 1000);
                if (queued.serviceShare < 1 && queued.workCpuSeconds > room) {
                    // Nobody goes without for what can't be in time in any case.
                    largest.remove(queued);
                    cpuSecondsAhead -= queued.workCpuSeconds;
                    without.add(queued);
                    continue;
                }
                // The largest makes room for this one; where smaller ones go because it is behind,
                // it takes several.
                for (double made = 0;
                        cpuSecondsAhead > room
                                && made < queued.workCpuSeconds
                                && !largest.isEmpty(); ) {
                    Entry gone = largest.poll();
                    cpuSecondsAhead -= gone.workCpuSeconds;
                    made += gone.workCpuSeconds;
                    without.add(gone);
                }
            }
            List<Entry> again = new ArrayList<>();
            for (Entry queued : tried) {
                if (without.contains(queued)) {
                    again.add(queued);
                } else {
                    out.add(queued.job);
                }
            }
            tried.clear();
            again.forEach(queued -> addForNextGoal(queued, tried, last));
        }
        last.sort(
                Comparator.comparingDouble(Job::eligibleSinceMillis)
                        .thenComparing(job -> job.spec.id()));
        out.addAll(last);
    }

    /**
     * Puts the job among those that try for their next goal that is not past, or last if it has
     * none.
     */
    private void addForNextGoal(Entry queued, List<Entry> tried, List<Job> last) {
        int goal = queued.goal + 1;
        while (goal < queued.job.startGoalCount()
                && queued.job.startGoalMillis(goal) - queued.startLatencyMillis < wallMs) {
            goal++;
        }
        if (goal < queued.job.startGoalCount()) {
            tried.add(
                    new Entry(
                            queued.job,
                            goal,
                            queued.workCpuSeconds,
                            queued.startLatencyMillis,
                            queued.serviceShare));
        } else {
            last.add(queued.job);
        }
    }
}
