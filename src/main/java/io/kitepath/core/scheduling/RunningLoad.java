package io.kitepath.core.scheduling;

import io.kitepath.core.shard.Attempt;
import io.kitepath.core.shard.Job;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * Estimates the CPU time that running work will take. Includes only work that is not preempted for
 * the waiting jobs under consideration. The estimate is requested for each waiting job, so the
 * running work is summed up beforehand.
 */
final class RunningLoad {
    /**
     * CPUs held by a job's running tasks, and the average remaining time of these tasks in seconds.
     */
    private record JobLoad(double cpus, double remainingSeconds) {}

    private final double now;
    private final List<JobLoad> jobLoads = new ArrayList<>();

    /** Remaining seconds of the running jobs, ascending. */
    private double[] sortedRemainingSeconds = new double[0];

    /** Element {@code i} holds the remaining CPU seconds of the first {@code i} of those jobs. */
    private double[] cumulativeCpuSeconds = new double[1];

    /** Element {@code i} holds the CPUs held by the first {@code i} of those jobs. */
    private double[] cumulativeCpus = new double[1];

    RunningLoad(double now) {
        this.now = now;
    }

    /** Adds the running tasks of the jobs to the sums. */
    void addRunningTasks(List<Job> jobs) {
        jobs.forEach(this::addRunningTasks);
        if (jobLoads.size() > sortedRemainingSeconds.length) {
            computeSums();
        }
    }

    private void addRunningTasks(Job job) {
        double remainingSeconds = 0;
        for (Attempt attempt : job.liveAttempts().values()) {
            remainingSeconds += attempt.remainingSeconds(now);
        }
        int tasks = job.liveAttempts().size();
        if (tasks > 0) {
            jobLoads.add(new JobLoad(tasks * job.spec.cpusPerTask(), remainingSeconds / tasks));
        }
    }

    private void computeSums() {
        jobLoads.sort(Comparator.comparingDouble(JobLoad::remainingSeconds));
        int jobs = jobLoads.size();
        sortedRemainingSeconds = new double[jobs];
        cumulativeCpuSeconds = new double[jobs + 1];
        cumulativeCpus = new double[jobs + 1];
        for (int i = 0; i < jobs; i++) {
            JobLoad load = jobLoads.get(i);
            sortedRemainingSeconds[i] = load.remainingSeconds;
            cumulativeCpuSeconds[i + 1] =
                    cumulativeCpuSeconds[i] + load.cpus * load.remainingSeconds;
            cumulativeCpus[i + 1] = cumulativeCpus[i] + load.cpus;
        }
    }

    /** Returns the CPU seconds that the running work takes within the given time. */
    double cpuSecondsWithin(double seconds) {
        int searchResult = Arrays.binarySearch(sortedRemainingSeconds, seconds);
        int endedJobs = searchResult >= 0 ? searchResult : -searchResult - 1;
        double remainingCpus =
                cumulativeCpus[sortedRemainingSeconds.length] - cumulativeCpus[endedJobs];
        return cumulativeCpuSeconds[endedJobs] + remainingCpus * seconds;
    }
}
