package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static io.kitepath.simulation.SimulatedCluster.onSpot;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.simulation.SimulatedNode;
import org.junit.jupiter.api.Test;

/** What becomes of regular machines while the cloud has no spot machines. */
class SpotShortageTest extends ClusterFixture {
    /** Longer than a machine boots, and than its owner estimates. */
    private static final double TASK_SECONDS = 60;

    private static final double ESTIMATED_SECONDS = 20;

    // Guards against a regular machine that is returned, though work waits which could run there,
    // because spot machines might be available again: when there are none, that work never ends.
    @Test
    void aRegularMachineIsNotReturnedForSpotMachinesThatTheCloudRefuses() {
        SimulatedNode node = settled(1, 1);
        cluster.cloud.capacity = 0;
        cluster.taskSeconds = id -> TASK_SECONDS;
        cluster.submit(node, onSpot(job("j-1", Shape.ARRAY, 4, 2), ESTIMATED_SECONDS));
        cluster.run(4 * TASK_SECONDS);
        assertEquals("done", cluster.status(node, "j-1"));
    }
}
