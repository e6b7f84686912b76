package io.kitepath.core.scheduling;

import static io.kitepath.core.scheduling.JobBuilder.job;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.shard.Job;
import org.junit.jupiter.api.Test;

/** Which other jobs are covered by a job that found no capacity, and which are not. */
class UnschedulableShapesTest {
    private final UnschedulableShapes shapes = new UnschedulableShapes();

    private static JobBuilder array(int tasks, double cpus) {
        return job("j-1").shape(Shape.ARRAY).tasks(tasks).cpus(cpus);
    }

    private static JobBuilder gang(int tasks, double cpus) {
        return array(tasks, cpus).shape(Shape.GANG);
    }

    @Test
    void containsArraysWhoseTasksRequestAtLeastAsMuch() {
        shapes.add(array(50, 2).build(), false);
        assertTrue(shapes.contains(array(1, 2).build()));
        assertTrue(shapes.contains(array(1, 3).build()));
        assertFalse(shapes.contains(array(1, 1).build()));
        shapes.add(array(50, 1).build(), false);
        assertTrue(shapes.contains(array(1, 1).build()));
    }

    @Test
    void containsOnlyGangsOfSameOrLargerSizeAfterGang() {
        shapes.add(gang(16, 7).build(), false);
        assertTrue(shapes.contains(gang(24, 7).build()));
        assertFalse(shapes.contains(gang(8, 7).build()));
        assertFalse(shapes.contains(array(16, 7).build()));
    }

    @Test
    void containsOnlyJobsWithSameImageAfterJobWaitedForImage() {
        Job otherImage = job("j-2").tasks(5).cpus(2).spot(true).image("other").build();
        shapes.add(array(50, 2).spot(true).build(), true);
        assertTrue(shapes.contains(array(1, 2).spot(true).build()));
        assertFalse(shapes.contains(otherImage));
        shapes.add(array(50, 2).spot(true).build(), false);
        assertTrue(shapes.contains(otherImage));
    }

    @Test
    void doesNotContainJobsWithOtherRights() {
        shapes.add(array(1, 2).build(), false);
        assertFalse(shapes.contains(array(1, 2).team("blue").build()));
        assertFalse(shapes.contains(array(1, 2).spot(true).build()));
        Job guaranteed = array(1, 2).build();
        guaranteed.setWithinGuarantee(true);
        assertFalse(shapes.contains(guaranteed));
    }
}
