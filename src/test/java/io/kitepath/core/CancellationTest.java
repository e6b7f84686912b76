package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.SimulatedNode;
import org.junit.jupiter.api.Test;

/** Cancellation without other faults than the crash of a leader. */
class CancellationTest extends ClusterFixture {
    @Test
    void aCancellationRacingTheLaunchWins() {
        SimulatedNode node = settled(2, 2);
        cluster.submit(node, job("j-1", Shape.ARRAY, 8, 1));
        assertEquals(
                "cancelled", cluster.cancel(cluster.nodes.get("k1"), "j-1").jobStatus().status());
        cluster.run(5);
        assertEquals(0, cluster.onMachines("j-1"));
        assertEquals("cancelled", cluster.status(node, "j-1"));
        assertTrue(node.controller.shard.jobs().isEmpty());
        assertTrue(
                cluster.store.entries.keySet().stream()
                        .noneMatch(key -> key.startsWith(StoreKeys.JOB_PARTS)));
    }

    @Test
    void aDoneJobCanNotBeCancelled() {
        SimulatedNode node = settled(1, 1);
        cluster.submit(node, job("j-1", Shape.ARRAY, 1, 1));
        cluster.run(30);
        assertEquals("done", cluster.cancel(node, "j-1").jobStatus().status());
    }

    @Test
    void whatACancelledJobLeftOnMachinesIsStoppedByTheNextLeader() {
        settled(2, 1);
        SimulatedNode first = cluster.leader();
        cluster.workers.get("i-000000").taskSeconds = 500;
        cluster.submit(first, job("j-1", Shape.SERVICE, 2, 1));
        cluster.run(3);
        first.crash();
        SimulatedNode other =
                cluster.nodes.values().stream()
                        .filter(node -> node != first)
                        .findFirst()
                        .orElseThrow();
        cluster.cancel(other, "j-1");
        cluster.run(15);
        assertEquals(0, cluster.onMachines("j-1"));
    }
}
