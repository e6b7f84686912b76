package io.kitepath.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.shard.Job;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.junit.jupiter.api.Test;

/** The order in which jobs are served, with capacity for all jobs and in an overload. */
class SchedulingQueueTest {
    private final List<Job> jobs = new ArrayList<>();

    /** Seconds between placing and running. */
    private double startLatencySeconds;

    /** Service shares of the lagging classes. */
    private final Map<String, Double> serviceShares = new HashMap<>();

    /**
     * Adds an array whose tasks take 10 s of one CPU each, submitted now, to start within the given
     * times.
     */
    private Job addJob(String id, int tasks, double... startWithinSeconds) {
        return addJob(id, "work", tasks, startWithinSeconds);
    }

    private Job addJob(String id, String jobClass, int tasks, double... startWithinSeconds) {
        Job job =
                JobBuilder.job(id)
                        .jobClass(jobClass)
                        .tasks(tasks)
                        .spot(true)
                        .startWithinSeconds(startWithinSeconds)
                        .build();
        jobs.add(job);
        return job;
    }

    private List<String> order(double cpus, double now) {
        return order(spec -> cpus, now);
    }

    private List<String> order(ToDoubleFunction<JobSpec> usableCpus, double now) {
        return new SchedulingQueue(
                        usableCpus,
                        spec -> startLatencySeconds,
                        spec -> serviceShares.getOrDefault(spec.jobClass(), 1.0),
                        now,
                        now * 1000)
                .sortJobs(jobs).stream().map(job -> job.spec.id()).toList();
    }

    @Test
    void servesEarliestStartGoalFirstWhenCapacitySuffices() {
        addJob("j-1", 10, 90);
        addJob("j-2", 10, 20);
        assertEquals(List.of("j-2", "j-1"), order(10, 0));
    }

    @Test
    void servesLargestJobLastInOverload() {
        addJob("j-1", 300, 10);
        addJob("j-2", 80, 15);
        addJob("j-3", 80, 20);
        // 460 tasks of 10 s take 460 s on 10 CPUs; without the largest job, the other two can still
        // start in time on 60 CPUs.
        assertEquals(List.of("j-2", "j-3", "j-1"), order(60, 0));
    }

    @Test
    void servesLaggingClassBeforeOthersInOverload() {
        addJob("j-1", "large", 300, 60);
        addJob("j-2", 80, 15);
        addJob("j-3", 80, 20);
        assertEquals(List.of("j-2", "j-3", "j-1"), order(60, 0));
        // The large class is lagging: other jobs are deferred now, as many as necessary.
        serviceShares.put("large", 0.5);
        assertEquals(List.of("j-3", "j-1", "j-2"), order(60, 0));
        assertEquals(List.of("j-1", "j-2", "j-3"), order(45, 0));
        // A job that cannot meet its goal in any case does not cause other jobs to miss theirs.
        assertEquals("j-3", order(40, 0).get(0));
    }

    @Test
    void servesClassWithHighestServiceShareLastWhenAllAreLagging() {
        addJob("j-1", "large", 300, 60);
        addJob("j-2", 80, 15);
        addJob("j-3", 80, 20);
        serviceShares.put("large", 0.3);
        serviceShares.put("work", 0.6);
        assertEquals(List.of("j-3", "j-1", "j-2"), order(60, 0));
        serviceShares.put("work", 0.2);
        assertEquals(List.of("j-2", "j-3", "j-1"), order(60, 0));
    }

    @Test
    void schedulesJobThatMissedGoalForItsNextGoal() {
        addJob("j-1", 10, 10, 100);
        addJob("j-2", 10, 10);
        addJob("j-3", 10, 120);
        assertEquals(List.of("j-1", "j-3", "j-2"), order(100, 50));
    }

    @Test
    void servesGuaranteedJobsFirstRegardlessOfStartGoal() {
        addJob("j-1", 10, 10);
        addJob("j-2", 10, 90).setWithinGuarantee(true);
        assertEquals(List.of("j-2", "j-1"), order(100, 0));
    }

    @Test
    void skipsGoalThatStartLatencyWouldMiss() {
        addJob("j-1", 10, 15, 150);
        addJob("j-2", 10, 100);
        assertEquals(List.of("j-1", "j-2"), order(1000, 10));
        // Placed at second 10, j-1 would run at second 18. It is scheduled for its next goal, and
        // jobs that can meet their goal go first.
        startLatencySeconds = 8;
        assertEquals(List.of("j-2", "j-1"), order(1000, 10));
    }

    @Test
    void detectsOverloadFromCpusThatJobsMayUse() {
        addJob("j-1", 300, 10);
        addJob("j-2", 80, 15);
        addJob("j-3", 80, 20);
        // The fleet has 1000 CPUs, but can run only 60 tasks of these jobs at once.
        assertEquals(List.of("j-2", "j-3", "j-1"), order(spec -> spec.allowsSpot() ? 60 : 1000, 0));
    }
}
