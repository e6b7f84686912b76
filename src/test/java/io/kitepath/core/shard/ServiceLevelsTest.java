package io.kitepath.core.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests which classes and teams are lagging, and when they have recovered. */
class ServiceLevelsTest {
    private static final int LARGE_TASKS = 50;

    /** Jobs of the class {@code tiles} meet their goal if they are completed within 100 s. */
    private final ClusterSettings settings =
            new ClusterSettings(
                    "n",
                    "a",
                    List.of(),
                    List.of("a"),
                    Map.of(),
                    List.of(
                            new ClusterSettings.Objective("finished", "tiles", 50, 1, 0.9),
                            new ClusterSettings.Objective("finished", "tiles", 100, 1, 0.9)),
                    new ClusterSettings.WorkerTimings(1, 10, 30, 5, 30),
                    new ClusterSettings.StoreLimits(1000, 100, 8, 40),
                    new ClusterSettings.CloudLimits(10, 2),
                    new ClusterSettings.ProcessLimits(1, 200, 1000),
                    5);

    private final ServiceLevels serviceLevels = new ServiceLevels(settings);
    private int lastJobNumber;

    private JobSpec spec(String jobClass, String team, int tasks, Double deadlineSeconds) {
        return new JobSpec(
                "j-" + ++lastJobNumber,
                jobClass,
                team,
                JobSpec.Shape.ARRAY,
                JobSpec.Priority.LOW,
                tasks,
                1,
                0,
                1,
                null,
                null,
                false,
                false,
                false,
                "img",
                1,
                10,
                0,
                0,
                deadlineSeconds);
    }

    private Job job(JobSpec spec) {
        return new Job(spec, 0, settings.startDeadlinesSeconds(spec), "k", 1, 256);
    }

    private Job job(String jobClass, String team, Double deadlineSeconds) {
        return job(spec(jobClass, team, 1, deadlineSeconds));
    }

    private Job tilesJob() {
        return job("tiles", "red", null);
    }

    private void recordDone(int jobs, double wallMillis) {
        for (int i = 0; i < jobs; i++) {
            serviceLevels.recordDone(tilesJob(), wallMillis);
        }
    }

    private void update(double wallSeconds, Job... jobs) {
        serviceLevels.update(List.of(jobs), spec -> 10, wallSeconds * 1000);
    }

    private double catchUpShare(String jobClass, String team) {
        return serviceLevels.catchUpShare(job(jobClass, team, null).spec);
    }

    @Test
    void classLagsWhenHalfOfItsGoalsAreMissedAndRecoversWhenGoalsAreMet() {
        recordDone(5, 99_000);
        for (int i = 0; i < 5; i++) {
            update(101, tilesJob());
        }
        assertEquals(0.5, catchUpShare("tiles", "blue"), 0.01, "its class");
        assertEquals(0.5, catchUpShare("other", "red"), 0.01, "its team");
        assertEquals(1, catchUpShare("other", "blue"));
        assertEquals(0.5, serviceLevels.lowestShare(), 0.01);
        recordDone(15, 99_000);
        update(99);
        assertEquals(1, catchUpShare("tiles", "red"));
    }

    @Test
    void jobsAtRiskCountBeforeTheyMissTheirGoal() {
        recordDone(10, 50_000);
        Job[] waiting = new Job[10];
        for (int i = 0; i < 10; i++) {
            waiting[i] = tilesJob();
        }
        // Each job may wait for 90 s, less the 10 s that such jobs take from placement to running,
        // and has used most of that time.
        update(47, waiting);
        assertEquals(1, serviceLevels.catchUpShare(waiting[0].spec));
        update(49, waiting);
        assertEquals(0.5, serviceLevels.catchUpShare(waiting[0].spec), 0.02);
        assertEquals(
                List.of(10L, 20L),
                List.of(
                        serviceLevels.classes().get("tiles").atRisk(),
                        serviceLevels.classes().get("tiles").submitted()));
        update(49);
        assertEquals(1, serviceLevels.catchUpShare(waiting[0].spec));
    }

    /** The class as a whole meets its goals, its largest jobs do not. */
    @Test
    void largestJobsOfClassAreCountedSeparately() {
        JobSpec[] specs = new JobSpec[40];
        for (int i = 0; i < 40; i++) {
            specs[i] = spec("tiles", "red", i % 4 == 0 ? LARGE_TASKS : 2, null);
            serviceLevels.recordArrival(specs[i]);
        }
        for (JobSpec spec : specs) {
            serviceLevels.recordDone(job(spec), spec.taskCount() == LARGE_TASKS ? 101_000 : 50_000);
        }
        update(102);
        assertEquals(1, serviceLevels.catchUpShare(specs[1]));
        assertEquals(0, serviceLevels.catchUpShare(specs[0]), 0.01);
        assertEquals(0, serviceLevels.largestJobs().get("tiles").goalsMetShare(), 0.01);
        ServiceLevels next = new ServiceLevels(settings);
        next.restore(serviceLevels.toRecord(103_000));
        assertEquals(10, next.largestJobs().get("tiles").goalsMissed());
    }

    @Test
    void nextLeaderContinuesCountsOfLastLeader() {
        recordDone(4, 50_000);
        update(101, tilesJob());
        ServiceLevels next = new ServiceLevels(settings);
        next.restore(serviceLevels.toRecord(102_000));
        next.update(List.of(tilesJob()), spec -> 10, 103_000);
        ServiceLevels.ServiceGroup group = next.classes().get("tiles");
        assertEquals(
                List.of(4L, 1L),
                List.of(group.goalsMet(), group.goalsMissed()),
                "jobs counted by the last leader are not counted again");
        assertEquals(0.8, group.goalsMetShare(), 0.01);
    }

    @Test
    void missedGoalCountsOnceInRepeatedUpdates() {
        Job late = tilesJob();
        update(101, late);
        update(102, late);
        serviceLevels.recordDone(late, 150_000);
        ServiceLevels.ServiceGroup group = serviceLevels.classes().get("tiles");
        assertEquals(
                List.of(1L, 1L, 0L, 1L),
                List.of(
                        group.submitted(),
                        group.goalsMissed(),
                        group.goalsMet(),
                        group.completed()));
    }

    @Test
    void ownDeadlineCountsWhereClassHasNoObjective() {
        update(25, job("other", "red", 20.0), job("quiet", "red", null));
        assertEquals(1, serviceLevels.classes().get("other").goalsMissed());
        assertEquals(0, serviceLevels.classes().get("quiet").goalsMissed());
    }
}
