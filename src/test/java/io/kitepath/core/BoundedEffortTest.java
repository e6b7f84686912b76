package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.shard.ShardState;
import io.kitepath.simulation.SimulatedNode;
import org.junit.jupiter.api.Test;

/**
 * Upper bounds on inspected machines and on written records for large clusters, huge arrays and
 * many small jobs.
 */
class BoundedEffortTest extends ClusterFixture {
    @Test
    void aShardOfHundredsOfMachinesIsScheduledWithBoundedEffort() {
        cluster.writesPerSecond = 50;
        SimulatedNode node = settled(1, 400);
        int tasks = 0;
        for (int i = 0; i < 10; i++) {
            cluster.submit(node, job("j-10" + i, Shape.ARRAY, 120, 1));
            cluster.submit(node, job("j-20" + i, Shape.GANG, 12, 2));
            tasks += 132;
        }
        cluster.run(6);
        assertEquals(
                tasks, cluster.workers.values().stream().mapToInt(worker -> worker.started).sum());
        ShardState shard = node.controller.shard;
        // Inspecting every machine for every task would be 400 a task, a record for every task 1.
        long looks = node.controller.scheduler.probePlacement().inspectedMachineCount();
        assertTrue(looks < 15L * tasks, "machines looked at: " + looks);
        assertTrue(
                node.controller.stateWriter.recordsSent() < tasks / 20,
                "records written: " + node.controller.stateWriter.recordsSent());
        cluster.run(60);
        assertTrue(
                shard.jobs().isEmpty(),
                () ->
                        ShardSummary.of(
                                shard,
                                node.controller.heartbeatProcessor,
                                node.controller.scheduler));
        assertTrue(
                node.controller.stateWriter.recordsSent() < tasks / 4,
                "records written: " + node.controller.stateWriter.recordsSent());
    }

    @Test
    void manySmallWaitingJobsCostBoundedEffortAndFewWrites() {
        SimulatedNode node = settled(1, 4);
        cluster.workers.values().forEach(worker -> worker.taskSeconds = 5);
        int before = cluster.store.log.size();
        for (int i = 0; i < 200; i++) {
            node.controller.jobApi().submit(job("j-" + i, Shape.ARRAY, 1, 1), response -> {});
        }
        cluster.run(1);
        long looks = node.controller.scheduler.probePlacement().inspectedMachineCount();
        cluster.run(1);
        assertTrue(
                node.controller.scheduler.probePlacement().inspectedMachineCount() - looks < 200,
                "looks: "
                        + (node.controller.scheduler.probePlacement().inspectedMachineCount()
                                - looks));
        cluster.run(150);
        for (int i = 0; i < 200; i++) {
            assertEquals("done", cluster.status(node, "j-" + i));
        }
        // Each job is created, placed, moved from open to ended, and its part removed; service
        // levels are written twice a lease; and each intent of a request to the cloud, which has
        // no capacity, is written before it and removed after it.
        assertTrue(
                cluster.store.log.size() - before
                        <= 5 * 200
                                + 14
                                + 2 * 172 / cluster.leaseSeconds
                                + 2 * cluster.cloud.rentals.size(),
                cluster.store.log.size() - before + " changes");
    }

    @Test
    void aHugeArrayCostsFewWritesAndFinishesAfterItsLeaderCrashed() {
        settled(2, 20);
        SimulatedNode first = cluster.leader();
        cluster.workers.values().forEach(worker -> worker.taskSeconds = 2);
        int before = cluster.store.log.size();
        cluster.submit(first, job("j-1", Shape.ARRAY, 4000, 0.25));
        cluster.run(20);
        first.crash();
        cluster.run(70);
        assertEquals("done", cluster.status(cluster.leader(), "j-1"));
        int started = cluster.workers.values().stream().mapToInt(worker -> worker.started).sum();
        assertTrue(started < 4400, started + " starts");
        assertTrue(
                cluster.store.log.size() - before < started / 2,
                cluster.store.log.size()
                        - before
                        + " changes"
                        + cluster.store.log.subList(before, cluster.store.log.size()).stream()
                                .collect(
                                        java.util.stream.Collectors.groupingBy(
                                                entry -> entry.key().replaceAll("[0-9].*", ""),
                                                java.util.stream.Collectors.counting()))
                        + cluster.cloud.rentals.size());
    }
}
