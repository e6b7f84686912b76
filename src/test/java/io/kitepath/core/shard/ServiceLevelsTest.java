package io.kitepath.core.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Which classes and teams count as served too little, and when they have caught up. */
class ServiceLevelsTest {
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
    private int named;

    private Job job(String of, String team, Double deadlineS) {
        JobSpec spec =
                new JobSpec(
                        "j-" + ++named,
                        of,
                        team,
                        JobSpec.Shape.ARRAY,
                        JobSpec.Priority.LOW,
                        1,
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
                        deadlineS);
        return new Job(spec, 0, settings.startDeadlinesSeconds(spec), "k", 1, 256);
    }

    @Test
    void aClassFallsBehindAndCatchesUp() {
        for (int i = 0; i < 5; i++) {
            serviceLevels.recordDone(job("tiles", "red", null), 99_000);
        }
        for (int i = 0; i < 5; i++) {
            look(101, job("tiles", "red", null));
        }
        assertEquals(
                0.5,
                serviceLevels.catchUpShare(job("tiles", "blue", null).spec),
                0.01,
                "its class");
        assertEquals(
                0.5, serviceLevels.catchUpShare(job("other", "red", null).spec), 0.01, "its team");
        assertEquals(1, serviceLevels.catchUpShare(job("other", "blue", null).spec));
        assertEquals(0.5, serviceLevels.leastShare(), 0.01);
        for (int i = 0; i < 15; i++) {
            serviceLevels.recordDone(job("tiles", "red", null), 99_000);
        }
        look(99);
        assertEquals(1, serviceLevels.catchUpShare(job("tiles", "red", null).spec));
    }

    @Test
    void jobsThatWaitTooLongCountBeforeTheyAreMissed() {
        for (int i = 0; i < 10; i++) {
            serviceLevels.recordDone(job("tiles", "red", null), 50_000);
        }
        Job[] waiting = new Job[10];
        for (int i = 0; i < 10; i++) {
            waiting[i] = job("tiles", "red", null);
        }
        // Each may wait for 90 s, less the 10 s that such jobs take from placing to running, and
        // has used most of it.
        look(47, waiting);
        assertEquals(1, serviceLevels.catchUpShare(waiting[0].spec));
        look(49, waiting);
        assertEquals(0.5, serviceLevels.catchUpShare(waiting[0].spec), 0.02);
        assertEquals(
                List.of(10L, 20L),
                List.of(
                        serviceLevels.classes().get("tiles").endangered(),
                        serviceLevels.classes().get("tiles").submitted()));
        look(49);
        assertEquals(1, serviceLevels.catchUpShare(waiting[0].spec));
    }

    /** The class as a whole does well, its largest jobs do not. */
    @Test
    void theLargestJobsOfAClassAreCountedByThemselves() {
        JobSpec[] s = new JobSpec[40];
        for (int i = 0; i < 40; i++) {
            s[i] =
                    new JobSpec(
                            "j-" + ++named,
                            "tiles",
                            "red",
                            JobSpec.Shape.ARRAY,
                            JobSpec.Priority.LOW,
                            i % 4 == 0 ? 50 : 2,
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
                            null);
            serviceLevels.recordArrival(s[i]);
        }
        for (JobSpec spec : s) {
            serviceLevels.recordDone(
                    new Job(spec, 0, settings.startDeadlinesSeconds(spec), "k", 1, 256),
                    spec.taskCount() == 50 ? 101_000 : 50_000);
        }
        look(102);
        assertEquals(1, serviceLevels.catchUpShare(s[1]));
        assertEquals(0, serviceLevels.catchUpShare(s[0]), 0.01);
        assertEquals(0, serviceLevels.largest().get("tiles").share(), 0.01);
        ServiceLevels next = new ServiceLevels(settings);
        next.restore(serviceLevels.toRecord(103_000));
        assertEquals(10, next.largest().get("tiles").missed());
    }

    @Test
    void theNextHolderGoesOnCountingWhereTheLastOneWas() {
        for (int i = 0; i < 4; i++) {
            serviceLevels.recordDone(job("tiles", "red", null), 50_000);
        }
        Job late = job("tiles", "red", null);
        look(101, late);
        ServiceLevels next = new ServiceLevels(settings);
        next.restore(serviceLevels.toRecord(102_000));
        Job same = job("tiles", "red", null);
        next.update(List.of(same), spec -> 10, 103_000);
        ServiceLevels.ServiceGroup group = next.classes().get("tiles");
        assertEquals(
                List.of(4L, 1L),
                List.of(group.inTime(), group.missed()),
                "what the last one counted is not counted again");
        assertEquals(0.8, group.share(), 0.01);
    }

    private void look(double s, Job... jobs) {
        serviceLevels.update(List.of(jobs), spec -> 10, s * 1000);
    }

    @Test
    void whatIsLateCountsOnceHoweverOftenItIsLookedAt() {
        Job late = job("tiles", "red", null);
        look(101, late);
        look(102, late);
        serviceLevels.recordDone(late, 150_000);
        ServiceLevels.ServiceGroup group = serviceLevels.classes().get("tiles");
        assertEquals(
                List.of(1L, 1L, 0L, 1L),
                List.of(group.submitted(), group.missed(), group.inTime(), group.done()));
    }

    @Test
    void ownDeadlinesCountWhereNothingElseIsSaid() {
        look(25, job("other", "red", 20.0), job("quiet", "red", null));
        assertEquals(1, serviceLevels.classes().get("other").missed());
        assertEquals(0, serviceLevels.classes().get("quiet").missed());
    }
}
