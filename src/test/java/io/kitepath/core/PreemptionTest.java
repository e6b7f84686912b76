package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static io.kitepath.simulation.SimulatedCluster.with;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec.Priority;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.simulation.SimulatedNode;
import org.junit.jupiter.api.Test;

/**
 * Preemption by priority and by guaranteed quota: what is evicted, how quickly, and where it runs
 * afterwards.
 */
class PreemptionTest extends ClusterFixture {
    @Test
    void tasksOfLowerPriorityArePreemptedByAGangOfHigherPriority() {
        SimulatedNode node = settled(1, 2);
        cluster.workers.values().forEach(worker -> worker.taskSeconds = 300);
        cluster.submit(node, with(job("j-1", Shape.ARRAY, 8, 1), "red", Priority.LOW, false));
        cluster.run(4);
        cluster.submit(node, with(job("j-2", Shape.GANG, 2, 3), "red", Priority.HIGH, false));
        cluster.run(5);
        assertEquals(2, cluster.onMachines("j-2"));
        cluster.submit(node, with(job("j-3", Shape.GANG, 2, 3), "red", Priority.HIGH, false));
        cluster.run(5);
        assertEquals(0, cluster.onMachines("j-3"));
        assertEquals(2, cluster.onMachines("j-2"));
    }

    @Test
    void preemptedTasksAreStoppedDirectlyBeforeTheNextHeartbeat() {
        SimulatedNode node = settled(1, 4);
        cluster.workers.values().forEach(worker -> worker.taskSeconds = 300);
        cluster.submit(node, with(job("j-1", Shape.ARRAY, 16, 1), "red", Priority.LOW, false));
        cluster.run(4);
        cluster.submit(node, with(job("j-2", Shape.GANG, 4, 4), "red", Priority.HIGH, false));
        cluster.run(0.2);
        assertEquals(0, cluster.onMachines("j-1"));
        cluster.run(2);
        assertEquals(4, cluster.onMachines("j-2"));
    }

    @Test
    void aDirectCommandThatRunsLateStopsNothingElse() {
        SimulatedNode node = settled(1, 1);
        cluster.workers.values().forEach(worker -> worker.taskSeconds = 8);
        cluster.directCommandDelaySeconds = 15;
        cluster.submit(node, with(job("j-1", Shape.ARRAY, 1, 4), "red", Priority.LOW, false));
        cluster.run(4);
        cluster.submit(node, with(job("j-2", Shape.ARRAY, 1, 4), "red", Priority.HIGH, false));
        cluster.run(13);
        // Stopped by a heartbeat response, and started again before the direct command arrives.
        assertEquals("done", cluster.status(node, "j-2"));
        assertEquals(1, cluster.onMachines("j-1"));
        cluster.run(3);
        assertEquals(1, cluster.onMachines("j-1"));
        cluster.run(8);
        assertEquals("done", cluster.status(node, "j-1"));
        assertEquals(3, cluster.workers.get("i-000000").started);
    }

    @Test
    void guaranteedTasksPreemptedByHigherPriorityDoNotTakeTheRoomBack() {
        cluster.teams.put("blue", new ClusterSettings.Team("blue", 16, 0, 0, 0));
        SimulatedNode node = settled(1, 2);
        cluster.workers.values().forEach(worker -> worker.taskSeconds = 60);
        cluster.submit(node, with(job("j-1", Shape.ARRAY, 16, 1), "blue", Priority.LOW, false));
        cluster.run(4);
        assertEquals(8, cluster.onMachines("j-1"));
        cluster.submit(node, with(job("j-2", Shape.GANG, 2, 3), "red", Priority.HIGH, false));
        cluster.run(6);
        assertEquals(2, cluster.onMachines("j-2"));
        assertEquals(2, cluster.onMachines("j-1"));
        assertEquals(6, evictions(node));
    }

    @Test
    void preemptibleTasksRunOnMachinesReservedForAGangThatStillWaits() {
        SimulatedNode node = settled(1, 3);
        cluster.workers.values().forEach(worker -> worker.taskSeconds = 40);
        cluster.submit(node, with(job("j-1", Shape.GANG, 1, 4), "red", Priority.HIGH, false));
        cluster.run(4);
        cluster.submit(node, with(job("j-2", Shape.GANG, 3, 4), "red", Priority.HIGH, false));
        cluster.submit(node, with(job("j-3", Shape.ARRAY, 8, 1), "red", Priority.NORMAL, false));
        cluster.run(10);
        assertEquals(0, cluster.onMachines("j-2"));
        assertEquals(8, cluster.onMachines("j-3"));
        cluster.run(32);
        assertEquals(3, cluster.onMachines("j-2"));
        cluster.run(100);
        assertEquals("done", cluster.status(node, "j-3"));
    }

    @Test
    void tasksOfATeamWithoutGuaranteeArePreemptedForGuaranteedTasksAndFinishLater() {
        cluster.teams.put("red", new ClusterSettings.Team("red", 8, 0, 0, 0));
        cluster.teams.put("guests", new ClusterSettings.Team("guests", 0, 0, 0, 0));
        SimulatedNode node = settled(1, 2);
        cluster.submit(node, with(job("j-1", Shape.ARRAY, 16, 1), "guests", Priority.LOW, false));
        cluster.run(3);
        assertEquals(8, cluster.onMachines("j-1"));
        cluster.submit(node, with(job("j-2", Shape.ARRAY, 6, 1), "red", Priority.LOW, false));
        cluster.run(3);
        assertEquals(6, cluster.onMachines("j-2"));
        assertEquals(2, cluster.onMachines("j-1"));
        cluster.run(90);
        assertEquals("done", cluster.status(node, "j-2"));
        assertEquals("done", cluster.status(node, "j-1"));
    }
}
