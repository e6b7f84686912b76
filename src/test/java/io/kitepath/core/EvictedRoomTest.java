package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static io.kitepath.simulation.SimulatedCluster.with;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.JobSpec.Priority;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.simulation.SimulatedNode;
import org.junit.jupiter.api.Test;

/** Room that is made by eviction goes to the job that it was made for. */
class EvictedRoomTest extends ClusterFixture {
    /** Long enough that no task ends by itself while room is made. */
    private static final double TASK_SECONDS = 60;

    private long evictions(SimulatedNode node) {
        return node.controller.scheduler.preemption().evictions();
    }

    // Guards against work that is evicted and placed on the same machine again, without end.
    @Test
    void evictedWorkDoesNotReserveTheRoomThatWasMadeForAMoreUrgentJob() {
        SimulatedNode node = settled(1, 1);
        cluster.cloud.capacity = 0;
        cluster.taskSeconds = id -> TASK_SECONDS;
        cluster.submit(node, with(job("j-1", Shape.ARRAY, 4, 2), "red", Priority.NORMAL, true));
        cluster.run(4);
        assertEquals(2, cluster.onMachines("j-1"));
        cluster.submit(node, with(job("j-2", Shape.ARRAY, 4, 1), "red", Priority.HIGH, false));
        cluster.run(8);
        assertEquals(4, cluster.onMachines("j-2"));
        cluster.run(4 * TASK_SECONDS);
        assertEquals("done", cluster.status(node, "j-2"));
        assertEquals("done", cluster.status(node, "j-1"));
        // Each of its two running tasks once.
        assertTrue(evictions(node) <= 2, evictions(node) + " evictions");
    }
}
