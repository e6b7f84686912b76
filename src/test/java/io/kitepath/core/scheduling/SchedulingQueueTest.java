package io.kitepath.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.shard.Job;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Who is served first when there is room for all, and when there is not. */
class SchedulingQueueTest {
    private final List<Job> jobs = new ArrayList<>();

    /** Seconds from placing to running. */
    private double lead;

    /** Classes that get too little, and how much. */
    private final Map<String, Double> behind = new HashMap<>();

    /**
     * An array whose tasks take 10 s of a CPU each, submitted now, to start within the given times.
     */
    private Job job(String id, int tasks, double... startWithinS) {
        return job(id, "work", tasks, startWithinS);
    }

    private Job job(String id, String of, int tasks, double... startWithinS) {
        JobSpec spec =
                new JobSpec(
                        id,
                        of,
                        "red",
                        JobSpec.Shape.ARRAY,
                        JobSpec.Priority.NORMAL,
                        tasks,
                        1,
                        0,
                        1,
                        null,
                        null,
                        false,
                        false,
                        true,
                        "img",
                        1,
                        10,
                        0,
                        0,
                        null);
        Job job = new Job(spec, 0, startWithinS, "k", 1, 256);
        jobs.add(job);
        return job;
    }

    private List<String> order(double cpus, double now) {
        return new SchedulingQueue(
                        spec -> cpus,
                        spec -> lead,
                        spec -> behind.getOrDefault(spec.jobClass(), 1.0),
                        now,
                        now * 1000)
                .sortJobs(jobs).stream().map(job -> job.spec.id()).toList();
    }

    @Test
    void whatHasToStartSoonestComesFirst() {
        job("j-1", 10, 90);
        job("j-2", 10, 20);
        assertEquals(List.of("j-2", "j-1"), order(10, 0));
    }

    @Test
    void inAnOverloadTheLargestJobGoesWithout() {
        job("j-1", 300, 10);
        job("j-2", 80, 15);
        job("j-3", 80, 20);
        // 460 tasks of 10 s on 10 CPUs take 460 s; without the largest, two can still be in time on
        // 60.
        assertEquals(List.of("j-2", "j-3", "j-1"), order(60, 0));
    }

    @Test
    void aClassThatIsBehindGoesWithoutLast() {
        job("j-1", "large", 300, 60);
        job("j-2", 80, 15);
        job("j-3", 80, 20);
        assertEquals(List.of("j-2", "j-3", "j-1"), order(60, 0));
        // The large class has got too little lately: now another one goes without, as many as it
        // takes.
        behind.put("large", 0.5);
        assertEquals(List.of("j-3", "j-1", "j-2"), order(60, 0));
        assertEquals(List.of("j-1", "j-2", "j-3"), order(45, 0));
        // What can't be in time whoever goes without does not take the others along.
        assertEquals("j-3", order(40, 0).get(0));
    }

    @Test
    void whereAllAreBehindThoseThatGetTheMostGoWithoutFirst() {
        job("j-1", "large", 300, 60);
        job("j-2", 80, 15);
        job("j-3", 80, 20);
        behind.put("large", 0.3);
        behind.put("work", 0.6);
        assertEquals(List.of("j-3", "j-1", "j-2"), order(60, 0));
        behind.put("work", 0.2);
        assertEquals(List.of("j-2", "j-3", "j-1"), order(60, 0));
    }

    @Test
    void aJobThatMissedOneGoalTriesForItsNext() {
        job("j-1", 10, 10, 100);
        job("j-2", 10, 10);
        job("j-3", 10, 120);
        assertEquals(List.of("j-1", "j-3", "j-2"), order(100, 50));
    }

    @Test
    void theGuaranteedComeFirstWhateverTheirPriority() {
        job("j-1", 10, 10);
        job("j-2", 10, 90).setWithinGuarantee(true);
        assertEquals(List.of("j-2", "j-1"), order(100, 0));
    }

    @Test
    void aGoalThatFetchingWouldMissIsPassedOverForTheNext() {
        job("j-1", 10, 15, 150);
        job("j-2", 10, 100);
        assertEquals(List.of("j-1", "j-2"), order(1000, 10));
        // Placed at second 10 it would run at 18: it waits for its next goal, and what can be in
        // time goes first.
        lead = 8;
        assertEquals(List.of("j-2", "j-1"), order(1000, 10));
    }

    @Test
    void anOverloadIsCountedInWhatTheJobsMayUse() {
        job("j-1", 300, 10);
        job("j-2", 80, 15);
        job("j-3", 80, 20);
        // The fleet has a thousand CPUs, but of these jobs it can run only sixty tasks at once.
        assertEquals(
                List.of("j-2", "j-3", "j-1"),
                new SchedulingQueue(
                                spec -> spec.allowsSpot() ? 60 : 1000, spec -> 0, spec -> 1, 0, 0)
                        .sortJobs(jobs).stream().map(job -> job.spec.id()).toList());
    }
}
