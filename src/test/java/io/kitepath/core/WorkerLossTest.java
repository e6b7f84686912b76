package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.simulation.SimulatedWorker;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Workers that restart or send no more heartbeats: when their tasks run elsewhere and when their
 * machines are released.
 */
class WorkerLossTest extends ClusterFixture {
    @Test
    void aWorkerWithANewIncarnationHasItsTasksPlacedAgain() {
        SimulatedNode node = settled(1, 2);
        SimulatedWorker one = cluster.workers.get("i-000000");
        cluster.submit(node, job("j-1", Shape.ARRAY, 8, 1));
        cluster.run(3);
        assertEquals(8, cluster.onMachines("j-1"));
        one.tasks.clear();
        one.session++;
        cluster.run(60);
        assertEquals("done", cluster.status(node, "j-1"));
    }

    @Test
    void aSilentMachineIsReleasedBeforeItsTasksRunElsewhere() {
        SimulatedNode node = settled(1, 3);
        cluster.submit(node, job("j-1", Shape.ARRAY, 3, 4));
        cluster.run(3);
        SimulatedWorker lost = cluster.workers.get("i-000001");
        assertEquals(1, lost.started);
        lost.isCutOff = true;
        cluster.run(6);
        assertEquals(3, cluster.workers.values().stream().mapToInt(worker -> worker.started).sum());
        cluster.run(60);
        assertTrue(cluster.cloud.released.contains("i-000001"));
        assertEquals("done", cluster.status(node, "j-1"));
    }

    @Test
    void aLeaderWithoutAnyHeartbeatsReleasesNoMachines() {
        settled(1, 4);
        cluster.submit(cluster.leader(), job("j-1", Shape.ARRAY, 4, 4));
        cluster.run(2);
        cluster.workers.values().forEach(worker -> worker.isCutOff = true);
        cluster.run(15);
        assertEquals(List.of(), cluster.cloud.released);
    }

    @Test
    void severalMachinesSilentTogetherAreReleasedOnlyAfterALongerWait() {
        SimulatedNode node = settled(1, 8);
        cluster.workers.values().forEach(worker -> worker.taskSeconds = 100);
        cluster.submit(node, job("j-1", Shape.ARRAY, 8, 4));
        cluster.run(2);
        List.of("i-000000", "i-000001", "i-000002")
                .forEach(m -> cluster.workers.get(m).isCutOff = true);
        cluster.run(13);
        assertEquals(List.of(), cluster.cloud.released);
        cluster.workers.get("i-000003").isCutOff = true;
        cluster.run(25);
        assertTrue(
                cluster.cloud.released.containsAll(
                        List.of("i-000000", "i-000001", "i-000002", "i-000003")));
    }
}
