package io.kitepath.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.LoopTimeAccounting;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.ShardState;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Which of a team's jobs are within its guarantee when they need more than it. */
class GuaranteedJobsTest {
    private final ClusterSettings settings =
            new ClusterSettings(
                    "n",
                    "a",
                    List.of(),
                    List.of("a"),
                    Map.of("red", new ClusterSettings.Team("red", 10, 0, 0, 0)),
                    List.of(
                            new ClusterSettings.Objective("finished", "small", 100, 1, 0.9),
                            new ClusterSettings.Objective("finished", "large", 100, 1, 0.9)),
                    new ClusterSettings.WorkerTimings(1, 10, 30, 5, 30),
                    new ClusterSettings.StoreLimits(1000, 100, 8, 40),
                    new ClusterSettings.CloudLimits(10, 2),
                    new ClusterSettings.ProcessLimits(1, 200, 1000),
                    5);
    private final ShardState shard = new ShardState(settings, machine -> {});
    private final Scheduler scheduler =
            new Scheduler(shard, new Random(1), new LoopTimeAccounting(() -> 0));

    private void addJob(String id, String jobClass, int tasks, double submittedSeconds) {
        JobBuilder builder =
                JobBuilder.job(id)
                        .jobClass(jobClass)
                        .priority(JobSpec.Priority.LOW)
                        .tasks(tasks)
                        .submittedSeconds(submittedSeconds);
        shard.addJob(
                builder.startWithinSeconds(settings.startDeadlinesSeconds(builder.spec())).build());
    }

    private List<String> guaranteedJobs(double nowSeconds) {
        scheduler.orderedJobs(nowSeconds, 1000 * nowSeconds);
        return new ArrayList<>(
                shard.jobs().values().stream()
                        .filter(Job::isWithinGuarantee)
                        .map(job -> job.spec.id())
                        .toList());
    }

    @Test
    void prefersJobsThatFittedOnArrivalThenLeastWorkWhenGuaranteeIsTooSmall() {
        addJob("j-1", "large", 6, 0);
        assertEquals(List.of("j-1"), guaranteedJobs(1));
        addJob("j-2", "large", 7, 1);
        addJob("j-3", "small", 3, 2);
        addJob("j-4", "small", 2, 3);
        // Of ten guaranteed CPUs, j-1 keeps six; of the other jobs the smallest follows, although
        // it arrived last.
        assertEquals(List.of("j-1", "j-4"), guaranteedJobs(4));
    }

    @Test
    void allocatesGuaranteeLastToJobThatMissedAllGoals() {
        addJob("j-1", "large", 9, 0);
        addJob("j-2", "large", 9, 50);
        assertEquals(List.of("j-1"), guaranteedJobs(60));
        assertEquals(List.of("j-2"), guaranteedJobs(101));
    }
}
