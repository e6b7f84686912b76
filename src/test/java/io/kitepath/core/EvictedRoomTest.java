package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static io.kitepath.simulation.SimulatedCluster.with;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Priority;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.simulation.SimulatedNode;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Room that is made by eviction goes to the job that it was made for. */
class EvictedRoomTest extends ClusterFixture {
    /** Long enough that no task ends by itself while room is made. */
    private static final double TASK_SECONDS = 60;

    /** Longer than a large job waits before it is served first. */
    private static final double UNTIL_SERVED_FIRST_SECONDS = 130;

    /** Enough to tell that a larger job is one of the largest of its class. */
    private static final int SMALL_JOBS_OF_CLASS = 8;

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

    // Guards against a large job that is served first since it waits for long, and takes the room
    // that was made for another: what was stopped for that one stops the large job in turn.
    @ParameterizedTest
    @ValueSource(doubles = {5, 20, 400})
    void aLargeJobServedFirstDoesNotTakeTheRoomThatWasMadeForAnother(double estimatedSeconds) {
        cluster.teams.put("blue", new ClusterSettings.Team("blue", 3, 0, 0, 0));
        SimulatedNode node = settled(1, 2);
        cluster.cloud.capacity = 0;
        cluster.taskSeconds = id -> id.startsWith("j-small") ? 1 : 4 * TASK_SECONDS;
        for (int i = 0; i < SMALL_JOBS_OF_CLASS; i++) {
            JobSpec small = job("j-small-" + i, Shape.ARRAY, 1, 1);
            cluster.submit(node, small.toBuilder().jobClass("large").build());
        }
        cluster.run(10);
        JobSpec running = with(job("j-1", Shape.ARRAY, 2, 4), "red", Priority.HIGH, false);
        cluster.submit(node, running.toBuilder().estimatedSeconds(estimatedSeconds).build());
        JobSpec large = with(job("j-2", Shape.ARRAY, 2, 2), "blue", Priority.LOW, true);
        cluster.submit(node, large.toBuilder().jobClass("large").build());
        cluster.run(UNTIL_SERVED_FIRST_SECONDS);
        assertEquals(2, cluster.onMachines("j-1"));
        cluster.submit(node, with(job("j-3", Shape.ARRAY, 1, 2), "blue", Priority.LOW, false));
        cluster.run(20);
        assertEquals(1, cluster.onMachines("j-3"));
        assertTrue(evictions(node) <= 2, evictions(node) + " evictions");
        cluster.run(12 * TASK_SECONDS);
        for (String id : List.of("j-1", "j-2", "j-3")) {
            assertEquals("done", cluster.status(node, id), id);
        }
    }
}
