package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static io.kitepath.simulation.SimulatedCluster.with;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.JobSpec.Priority;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.simulation.SimulatedWorker;
import org.junit.jupiter.api.Test;

/** Where a job goes that has failed on one machine, while the others are full. */
class FailedMachineRoomTest extends ClusterFixture {
    private static final double LONG_SECONDS = 400;

    /** Fails j-2 once on the only machine that is not full of a gang. */
    private SimulatedNode withAJobThatFailedOnce() {
        SimulatedNode node = settled(1, 2);
        cluster.cloud.capacity = 0;
        cluster.taskSeconds = id -> id.equals("j-2") ? 5 : LONG_SECONDS;
        cluster.submit(node, with(job("j-1", Shape.GANG, 1, 4), "red", Priority.HIGH, false));
        cluster.run(4);
        SimulatedWorker free =
                cluster.workers.values().stream()
                        .filter(worker -> worker.tasks.isEmpty())
                        .findFirst()
                        .orElseThrow();
        free.failsTasks = true;
        cluster.submit(node, with(job("j-2", Shape.ARRAY, 1, 2), "red", Priority.NORMAL, false));
        cluster.run(3);
        free.failsTasks = false;
        return node;
    }

    // Guards against a job that waits beside a machine with room, as it failed there once.
    @Test
    void aJobThatFailedOnceDoesNotWaitBesideRoomForLong() {
        SimulatedNode node = withAJobThatFailedOnce();
        cluster.invariants.troublesAreOver();
        cluster.run(120);
        assertEquals("done", cluster.status(node, "j-2"));
    }

    // Guards against work that is evicted for a job which is not placed there, as it failed there.
    @Test
    void noWorkIsEvictedAgainAndAgainWhereTheJobIsNotPlaced() {
        SimulatedNode node = withAJobThatFailedOnce();
        cluster.submit(node, with(job("j-3", Shape.ARRAY, 4, 1), "red", Priority.LOW, false));
        cluster.run(120);
        long evictions = evictions(node);
        assertTrue(evictions <= 4, evictions + " evictions");
        assertEquals("done", cluster.status(node, "j-2"));
    }
}
