package io.kitepath.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.shard.Job;
import org.junit.jupiter.api.Test;

/** For whom a job that found no room speaks, and for whom not. */
class UnschedulableShapesTest {
    private final UnschedulableShapes hopeless = new UnschedulableShapes();

    private static Job job(Shape shape, int tasks, double cpus, String team, boolean spot) {
        JobSpec spec =
                new JobSpec(
                        "j-1",
                        "work",
                        team,
                        shape,
                        JobSpec.Priority.NORMAL,
                        tasks,
                        cpus,
                        0,
                        1,
                        null,
                        null,
                        false,
                        false,
                        spot,
                        "img",
                        1,
                        10,
                        0,
                        0,
                        null);
        return new Job(spec, 0, new double[] {10}, "k", 1, 256);
    }

    @Test
    void whatAsksForNoLessFindsNoneEither() {
        hopeless.add(job(Shape.ARRAY, 50, 2, "red", false), false);
        assertTrue(hopeless.contains(job(Shape.ARRAY, 1, 2, "red", false)));
        assertTrue(hopeless.contains(job(Shape.ARRAY, 1, 3, "red", false)));
        assertFalse(hopeless.contains(job(Shape.ARRAY, 1, 1, "red", false)));
        hopeless.add(job(Shape.ARRAY, 50, 1, "red", false), false);
        assertTrue(hopeless.contains(job(Shape.ARRAY, 1, 1, "red", false)));
    }

    @Test
    void aGangSpeaksForGangsOfItsSizeAndLargerOnes() {
        hopeless.add(job(Shape.GANG, 16, 7, "red", false), false);
        assertTrue(hopeless.contains(job(Shape.GANG, 24, 7, "red", false)));
        assertFalse(hopeless.contains(job(Shape.GANG, 8, 7, "red", false)));
        assertFalse(hopeless.contains(job(Shape.ARRAY, 16, 7, "red", false)));
    }

    @Test
    void whoHoldsOutForAnImageSpeaksOnlyForThatImage() {
        Job other =
                new Job(
                        new JobSpec(
                                "j-2",
                                "work",
                                "red",
                                Shape.ARRAY,
                                JobSpec.Priority.NORMAL,
                                5,
                                2,
                                0,
                                1,
                                null,
                                null,
                                false,
                                false,
                                true,
                                "other",
                                1,
                                10,
                                0,
                                0,
                                null),
                        0,
                        new double[] {10},
                        "k",
                        1,
                        256);
        hopeless.add(job(Shape.ARRAY, 50, 2, "red", true), true);
        assertTrue(hopeless.contains(job(Shape.ARRAY, 1, 2, "red", true)));
        assertFalse(hopeless.contains(other));
        hopeless.add(job(Shape.ARRAY, 50, 2, "red", true), false);
        assertTrue(hopeless.contains(other));
    }

    @Test
    void otherRightsAreAnotherMatter() {
        hopeless.add(job(Shape.ARRAY, 1, 2, "red", false), false);
        assertFalse(hopeless.contains(job(Shape.ARRAY, 1, 2, "blue", false)));
        assertFalse(hopeless.contains(job(Shape.ARRAY, 1, 2, "red", true)));
        Job guaranteed = job(Shape.ARRAY, 1, 2, "red", false);
        guaranteed.setWithinGuarantee(true);
        assertFalse(hopeless.contains(guaranteed));
    }
}
