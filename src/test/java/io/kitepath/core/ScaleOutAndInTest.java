package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Machines are rented for waiting work, replaced when they do not boot, and released when idle or
 * when a spot instance will do.
 */
class ScaleOutAndInTest extends ClusterFixture {
    @Test
    void machinesAreRentedForWaitingWorkUnderNamesThatAreNeverUsedAgain() {
        settled(2, 0);
        cluster.cloud.capacity = 2;
        cluster.submit(cluster.leader(), job("j-1", Shape.ARRAY, 4, 4));
        cluster.run(60);
        SimulatedNode first = cluster.leader();
        first.crash();
        cluster.cloud.capacity = 1;
        cluster.run(10);
        cluster.submit(cluster.leader(), job("j-2", Shape.ARRAY, 3, 4));
        cluster.run(40);
        assertTrue(cluster.cloud.rentals.size() >= 2);
        assertEquals(
                cluster.cloud.rentals.size(), cluster.cloud.rentals.stream().distinct().count());
        assertEquals("done", cluster.status(cluster.leader(), "j-1"));
    }

    @Test
    void machinesThatBootLateOrNeverAreReplacedInTimeAndReleased() {
        SimulatedNode node = settled(1, 0);
        cluster.cloud.capacity = 50;
        // The first two never boot, later ones in the usual time.
        cluster.cloud.bootSeconds = i -> i < 2 ? -1 : 40;
        cluster.submit(node, job("j-1", Shape.ARRAY, 3, 4));
        cluster.run(170);
        assertEquals("done", cluster.status(node, "j-1"));
        cluster.run(60);
        assertTrue(cluster.cloud.released.containsAll(List.of("i-900000", "i-900001")));
    }

    @Test
    void machinesThatAllBootLateAreNotRentedRepeatedly() {
        SimulatedNode node = settled(1, 0);
        cluster.cloud.capacity = 50;
        cluster.cloud.bootSeconds = i -> 120 + i;
        cluster.workers.values().forEach(worker -> worker.taskSeconds = 60);
        cluster.submit(node, job("j-1", Shape.ARRAY, 6, 4));
        cluster.run(119);
        assertTrue(cluster.cloud.rentals.size() <= 6, cluster.cloud.rentals.toString());
        int before = node.controller.shard.machines().size();
        assertTrue(before <= 12, before + " machines");
        cluster.run(60);
        assertEquals("done", cluster.status(node, "j-1"));
    }

    @Test
    void idleMachinesAreReleasedDespiteAGuarantee() {
        cluster.teams.put("blue", new ClusterSettings.Team("blue", 8, 8, 0, 0));
        settled(1, 2);
        cluster.run(90);
        assertTrue(cluster.cloud.released.containsAll(List.of("i-000000", "i-000001")));
    }

    @Test
    void aFewSmallTasksAreMovedOffAnOrdinaryMachineToASpotOneThatHasRoom() {
        SimulatedNode node = settled(1, 1);
        cluster.workers.values().forEach(worker -> worker.taskSeconds = 300);
        cluster.submit(node, SimulatedCluster.onSpot(job("j-1", Shape.ARRAY, 1, 1), 300));
        cluster.run(3);
        cluster.spotWorker("i-000050", "a").taskSeconds = 300;
        cluster.run(20);
        assertEquals(1, cluster.workers.get("i-000000").started);
        cluster.run(40);
        assertEquals(1, cluster.workers.get("i-000050").started);
        assertTrue(cluster.cloud.released.contains("i-000000"));
        assertEquals(1, cluster.onMachines("j-1"));
    }
}
