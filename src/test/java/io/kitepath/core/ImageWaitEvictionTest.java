package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static io.kitepath.simulation.SimulatedCluster.onSpot;
import static io.kitepath.simulation.SimulatedCluster.with;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Priority;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.simulation.SimulatedNode;
import org.junit.jupiter.api.Test;

/** What is evicted for a job that waits for machines which have its image. */
class ImageWaitEvictionTest extends ClusterFixture {
    private static final double LONG_SECONDS = 400;

    private JobSpec spot(String id, Shape shape, int tasks, Priority priority, String image) {
        JobSpec spec =
                with(job(id, shape, tasks, shape == Shape.GANG ? 4 : 1), "red", priority, false);
        return onSpot(spec, LONG_SECONDS).toBuilder().image(image).build();
    }

    // Guards against work that is evicted for a job which is not placed there, as it waits for a
    // machine that has its image.
    @Test
    void noWorkIsEvictedAgainAndAgainForAJobThatWaitsForItsImage() {
        SimulatedNode node = settled(1, 0);
        cluster.taskSeconds = id -> LONG_SECONDS;
        cluster.spotWorker("i-000000", "a");
        cluster.run(5);
        cluster.submit(node, spot("j-1", Shape.GANG, 1, Priority.HIGH, "one"));
        cluster.run(4);
        cluster.spotWorker("i-000001", "a");
        cluster.run(5);
        cluster.submit(node, spot("j-2", Shape.ARRAY, 4, Priority.LOW, "two"));
        cluster.run(4);
        cluster.submit(node, spot("j-3", Shape.ARRAY, 1, Priority.NORMAL, "one"));
        cluster.run(90);
        long evictions = evictions(node);
        assertTrue(evictions <= 1, evictions + " evictions");
        assertEquals(1, cluster.onMachines("j-3"));
    }
}
