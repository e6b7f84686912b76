package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static io.kitepath.simulation.SimulatedCluster.with;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.JobSpec.Priority;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.shard.Machine;
import io.kitepath.simulation.SimulatedNode;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tasks that fail because of their machine, which is quarantined, or because of their job, which is
 * retried at bounded cost.
 */
class TaskFailureTest extends ClusterFixture {
    @Test
    void aMachineThatFailsEveryTaskIsQuarantinedAndReleased() {
        SimulatedNode node = settled(1, 3);
        cluster.workers.get("i-000000").failsTasks = true;
        cluster.submit(node, job("j-1", Shape.ARRAY, 12, 1));
        cluster.run(60);
        assertEquals("done", cluster.status(node, "j-1"));
        assertTrue(cluster.workers.get("i-000000").started <= 4);
        assertTrue(cluster.cloud.released.contains("i-000000"));
    }

    @Test
    void aJobThatFailsEverywhereDoesNotCostTheMachinesOrOthers() {
        SimulatedNode node = settled(1, 4);
        cluster.workers.values().forEach(worker -> worker.failsTasks = true);
        cluster.submit(node, job("j-1", Shape.ARRAY, 1, 1));
        cluster.run(30);
        int tries = cluster.workers.values().stream().mapToInt(worker -> worker.started).sum();
        assertTrue(tries >= 4 && tries < 30, "tries: " + tries);
        cluster.workers.values().forEach(worker -> worker.failsTasks = false);
        cluster.submit(node, job("j-2", Shape.ARRAY, 1, 1));
        cluster.run(30);
        assertEquals("done", cluster.status(node, "j-2"));
    }

    @Test
    void anArrayOrGangThatFailsEverywhereIsRetriedAtBoundedCostAndCancelledAtOnce() {
        SimulatedNode node = settled(1, 6);
        cluster.cloud.capacity = 50;
        cluster.jobsThatFailEverywhere.addAll(List.of("j-1", "j-2"));
        cluster.submit(node, job("j-3", Shape.ARRAY, 4, 1));
        cluster.submit(node, with(job("j-1", Shape.ARRAY, 300, 1), "red", Priority.HIGH, false));
        cluster.submit(node, with(job("j-2", Shape.GANG, 5, 4), "red", Priority.HIGH, false));
        cluster.run(5);
        int before = cluster.workers.values().stream().mapToInt(worker -> worker.started).sum();
        int writes = cluster.store.log.size();
        int rentals = cluster.cloud.rentals.size();
        cluster.run(55);
        int tries =
                cluster.workers.values().stream().mapToInt(worker -> worker.started).sum() - before;
        assertTrue(tries > 5 && tries < 40, "tries: " + tries);
        assertTrue(
                cluster.store.log.size() - writes < 80,
                cluster.store.log.size() - writes + " changes");
        assertEquals("done", cluster.status(node, "j-3"));
        assertEquals(rentals, cluster.cloud.rentals.size());
        assertEquals(
                List.of(),
                node.controller.shard.machines().values().stream()
                        .filter(Machine::isQuarantined)
                        .toList());
        assertEquals("cancelled", cluster.cancel(node, "j-1").jobStatus().status());
        cluster.run(3);
        assertEquals(0, cluster.onMachines("j-1"));
    }

    @Test
    void aJobWhoseTasksFailOnFaultyMachinesOnlyIsNotThrottled() {
        SimulatedNode node = settled(1, 8);
        for (int i = 0; i < 4; i++) {
            cluster.workers.get("i-00000" + i).failsTasks = true;
        }
        cluster.submit(node, job("j-1", Shape.ARRAY, 40, 1));
        cluster.run(90);
        assertEquals("done", cluster.status(node, "j-1"));
        for (int i = 0; i < 4; i++) {
            assertTrue(cluster.cloud.released.contains("i-00000" + i), "not set aside: " + i);
        }
    }
}
