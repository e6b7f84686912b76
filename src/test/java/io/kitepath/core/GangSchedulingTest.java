package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static io.kitepath.simulation.SimulatedCluster.with;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.JobSpec.Priority;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.simulation.SimulatedWorker;
import java.util.HashSet;
import org.junit.jupiter.api.Test;

/** Gangs start all of their tasks or none, in one attempt, and restart as a whole. */
class GangSchedulingTest extends ClusterFixture {
    @Test
    void aGangStartsWholeOrNotAtAll() {
        SimulatedNode node = settled(1, 3);
        cluster.submit(node, job("j-1", Shape.GANG, 4, 4));
        cluster.run(10);
        assertEquals(0, cluster.workers.values().stream().mapToInt(worker -> worker.started).sum());
        cluster.worker("i-000009", "a");
        cluster.run(5);
        assertEquals(4, cluster.onMachines("j-1"));
        assertEquals(
                1,
                cluster.workers.values().stream()
                        .flatMap(worker -> worker.tasks.values().stream())
                        .map(task -> task.attempt)
                        .distinct()
                        .count());
    }

    @Test
    void aGangThatLosesATaskRestartsWholeWithANewAttempt() {
        SimulatedNode node = settled(1, 4);
        cluster.submit(node, job("j-1", Shape.GANG, 2, 4));
        cluster.run(4);
        SimulatedWorker one =
                cluster.workers.values().stream()
                        .filter(worker -> worker.started > 0)
                        .findFirst()
                        .orElseThrow();
        long attempt = one.tasks.values().iterator().next().attempt;
        one.tasks.clear();
        one.session++;
        cluster.run(6);
        assertEquals(2, cluster.onMachines("j-1"));
        var attempts = new HashSet<Long>();
        cluster.workers
                .values()
                .forEach(
                        worker ->
                                worker.tasks.values().stream()
                                        .filter(task -> task.state != Heartbeat.TaskState.ENDED)
                                        .forEach(task -> attempts.add(task.attempt)));
        assertEquals(1, attempts.size());
        assertTrue(attempts.iterator().next() > attempt);
        cluster.run(40);
        assertEquals("done", cluster.status(node, "j-1"));
    }

    @Test
    void aGangInOneZoneStaysInOne() {
        SimulatedNode node = settled(1, 6);
        cluster.submit(node, with(job("j-1", Shape.GANG, 3, 4), "red", Priority.HIGH, true));
        cluster.run(4);
        assertEquals(3, cluster.onMachines("j-1"));
        assertEquals(
                1,
                cluster.workers.values().stream()
                        .filter(worker -> worker.started > 0)
                        .map(worker -> worker.zone)
                        .distinct()
                        .count());
    }

    @Test
    void aGangsRecordsDoNotQueueBehindThoseOfManySmallJobs() {
        cluster.writesPerSecond = 20;
        SimulatedNode node = settled(1, 30);
        cluster.workers.values().forEach(worker -> worker.taskSeconds = 6);
        for (int i = 0; i < 100; i++) {
            node.controller
                    .jobApi()
                    .submit(
                            with(job("j-" + i, Shape.ARRAY, 1, 1), "red", Priority.LOW, false),
                            response -> {});
        }
        cluster.run(1);
        for (int i = 0; i < 4; i++) {
            cluster.workers.values().forEach(worker -> worker.taskSeconds = 100);
            cluster.submit(
                    node, with(job("j-90" + i, Shape.GANG, 2, 1), "red", Priority.HIGH, false));
            cluster.run(2);
            assertEquals(2, cluster.onMachines("j-90" + i));
            cluster.workers.values().forEach(worker -> worker.taskSeconds = 6);
        }
    }

    @Test
    void aGangWhoseImageTakesLongerThanItsTasksWaitStartsOnceAllHaveIt() {
        SimulatedNode node = settled(1, 4);
        cluster.imageFetchSeconds =
                machine -> machine.equals("i-000000") ? 1 : machine.equals("i-000001") ? 45 : 80;
        cluster.submit(node, job("j-1", Shape.GANG, 4, 4));
        cluster.run(50);
        // Work of lower priority does not take the room of the tasks that gave up.
        cluster.submit(node, with(job("j-2", Shape.ARRAY, 8, 1), "red", Priority.LOW, false));
        cluster.run(35);
        assertEquals(4, cluster.onMachines("j-1"));
        cluster.run(25);
        assertEquals("done", cluster.status(node, "j-1"));
    }
}
