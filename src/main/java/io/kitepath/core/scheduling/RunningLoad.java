package io.kitepath.core.scheduling;

import io.kitepath.core.shard.Attempt;
import io.kitepath.core.shard.Job;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * Estimates the CPU time that running work will take, provided that none of the waiting jobs under
 * consideration may preempt it. The estimate is requested for each waiting job, so the running work
 * is summed up beforehand.
 */
final class RunningLoad {
    /**
     * CPUs held by a job's running tasks, and the average remaining time of these tasks in seconds.
     */
    private record Running(double cpus, double remainingSeconds) {}

    private final double now;
    private final List<Running> running = new ArrayList<>();

    /** Remaining seconds of the running jobs, ascending. */
    private double[] ends = new double[0];

    /** Element {@code i} holds the remaining CPU seconds of the first {@code i} of those jobs. */
    private double[] cumulativeCpuSeconds = new double[1];

    /** Element {@code i} holds the CPUs held by the first {@code i} of those jobs. */
    private double[] cumulativeCpus = new double[1];

    RunningLoad(double now) {
        this.now = now;
    }

    /** Adds the running tasks of the jobs to the sums. */
    void add(List<Job> jobs) {
        jobs.forEach(this::add);
        if (running.size() > ends.length) {
            sumUp();
        }
    }

    private void add(Job job) {
        double remainingSeconds = 0;
        for (Attempt attempt : job.liveAttempts().values()) {
            remainingSeconds += attempt.remainingSeconds(now);
        }
        int tasks = job.liveAttempts().size();
        if (tasks > 0) {
            running.add(new Running(tasks * job.spec.cpusPerTask(), remainingSeconds / tasks));
        }
    }

    private void sumUp() {
        running.sort(Comparator.comparingDouble(Running::remainingSeconds));
        int jobs = running.size();
        ends = new double[jobs];
        cumulativeCpuSeconds = new double[jobs + 1];
        cumulativeCpus = new double[jobs + 1];
        for (int i = 0; i < jobs; i++) {
            Running ofJob = running.get(i);
            ends[i] = ofJob.remainingSeconds;
            cumulativeCpuSeconds[i + 1] =
                    cumulativeCpuSeconds[i] + ofJob.cpus * ofJob.remainingSeconds;
            cumulativeCpus[i + 1] = cumulativeCpus[i] + ofJob.cpus;
        }
    }

    /** Returns the CPU seconds that the running work takes within the given time. */
    double cpuSecondsWithin(double seconds) {
        int found = Arrays.binarySearch(ends, seconds);
        int ended = found >= 0 ? found : -found - 1;
        double cpusStillHeld = cumulativeCpus[ends.length] - cumulativeCpus[ended];
        return cumulativeCpuSeconds[ended] + cpusStillHeld * seconds;
    }
}
