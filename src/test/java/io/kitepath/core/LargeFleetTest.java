package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static io.kitepath.simulation.SimulatedCluster.with;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Priority;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.shard.ShardState;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.simulation.SimulatedWorker;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Failures at the size of a large fleet, and the effort that a holder spends there, counted. */
class LargeFleetTest {
    private final SimulatedCluster cluster = new SimulatedCluster();

    @AfterEach
    void neverTwice() {
        assertEquals(List.of(), cluster.violations);
    }

    private SimulatedNode fleet(int nodes, int machines, double cpus) {
        cluster.type = new MachineType("m", cpus, 0, 64, 50, 1, 1.0, 0.4, 40, List.of("a", "b"));
        for (int i = 0; i < nodes; i++) {
            cluster.node("k" + i);
        }
        for (int i = 0; i < machines; i++) {
            cluster.worker(String.format("i-%06d", i), i % 2 == 0 ? "a" : "b");
        }
        cluster.run(8);
        return cluster.leader();
    }

    private int running(String... jobs) {
        int n = 0;
        for (String j : jobs) {
            n += (int) cluster.onMachines(j);
        }
        return n;
    }

    private String[] arrays(SimulatedNode node, int count, int tasks) {
        String[] ids = new String[count];
        for (int i = 0; i < count; i++) {
            ids[i] = "j-" + (100 + i);
            cluster.submit(node, job(ids[i], Shape.ARRAY, tasks, 1));
        }
        return ids;
    }

    @Test
    void aNewLeaderOfNineHundredMachinesPlacesOnceTheirWorkersHaveReported() {
        SimulatedNode first = fleet(3, 900, 4);
        cluster.workers.values().forEach(worker -> worker.taskSeconds = 60);
        arrays(first, 10, 300);
        cluster.run(3);
        assertEquals(
                3000, cluster.workers.values().stream().mapToInt(worker -> worker.started).sum());
        first.crash();
        double crashed = cluster.clock.now;
        while (cluster.clock.now < crashed + 10
                && cluster.nodes.values().stream()
                        .noneMatch(
                                node ->
                                        node.alive
                                                && node.controller.leadership.isLeading()
                                                && node.controller.stateWriter.isLoaded())) {
            cluster.run(0.1);
        }
        SimulatedNode second = cluster.leader();
        // The lease of two seconds, and a moment to claim it and to read ten jobs and their parts.
        assertTrue(
                cluster.clock.now - crashed < 2.6, "read after " + (cluster.clock.now - crashed));
        int before = second.requests;
        cluster.submit(second, job("j-900", Shape.ARRAY, 500, 1));
        // Idle machines' reports were held by the node that died, for which their workers wait 4 s.
        cluster.run(4 + 2 * cluster.heartbeatIntervalSeconds);
        assertEquals(500, running("j-900"));
        // 900 machines that report anew cost the store nothing.
        assertTrue(second.requests - before < 60, "requests: " + (second.requests - before));
        cluster.run(90);
        assertEquals("done", cluster.status(second, "j-100"));
        assertEquals(
                3500, cluster.workers.values().stream().mapToInt(worker -> worker.started).sum());
    }

    @Test
    void machinesThatFallSilentTogetherAndComeBackRunNothingTwice() {
        SimulatedNode node = fleet(2, 200, 4);
        cluster.workers.values().forEach(worker -> worker.taskSeconds = 40);
        arrays(node, 4, 200);
        cluster.run(3);
        List<SimulatedWorker> cut = cluster.workers.values().stream().limit(70).toList();
        cut.forEach(worker -> worker.isCutOff = true);
        // Their leases end, but nobody can know that: their tasks count as running until they
        // report anew.
        cluster.run(cluster.leaseSeconds + 2);
        assertEquals(
                800, cluster.workers.values().stream().mapToInt(worker -> worker.started).sum());
        cut.forEach(worker -> worker.isCutOff = false);
        cluster.run(100);
        for (int i = 0; i < 4; i++) {
            assertEquals("done", cluster.status(node, "j-" + (100 + i)));
        }
    }

    @Test
    void aMachineFrozenForLessThanItsLeaseKeepsItsTasks() {
        SimulatedNode node = fleet(2, 3, 4);
        arrays(node, 1, 6);
        cluster.run(2);
        SimulatedWorker still =
                cluster.workers.values().stream()
                        .filter(worker -> !worker.tasks.isEmpty())
                        .findFirst()
                        .orElseThrow();
        still.isCutOff = true;
        cluster.run(3);
        still.isCutOff = false;
        cluster.run(60);
        assertEquals("done", cluster.status(node, "j-100"));
        assertEquals(6, cluster.workers.values().stream().mapToInt(worker -> worker.started).sum());
    }

    @Test
    void aCrashOfAllNodesDuringABurstLosesNoJobAndStartsNoTaskTwice() {
        SimulatedNode node = fleet(3, 100, 4);
        cluster.workers.values().forEach(worker -> worker.taskSeconds = 8);
        String[] ids = arrays(node, 12, 60);
        cluster.nodes.values().forEach(SimulatedNode::crash);
        cluster.run(3);
        for (String name : List.of("k0", "k1", "k2")) {
            cluster.node(name);
        }
        cluster.run(80);
        for (String id : ids) {
            assertEquals("done", cluster.status(cluster.leader(), id), id);
        }
    }

    @Test
    void tenThousandWaitingTasksOnAFullClusterCostALeaderABoundedRound() {
        SimulatedNode node = fleet(1, 1000, 4);
        cluster.workers.values().forEach(worker -> worker.taskSeconds = 1000);
        arrays(node, 10, 400);
        cluster.run(4);
        assertEquals(
                4000, cluster.workers.values().stream().mapToInt(worker -> worker.started).sum());
        for (int i = 0; i < 40; i++) {
            cluster.submit(node, job("j-3" + (10 + i), Shape.ARRAY, 250, 1 + i % 3));
        }
        long looks = node.controller.scheduler.probePlacement().inspectedMachineCount();
        long rounds = node.controller.schedulingRounds();
        cluster.run(10);
        rounds = node.controller.schedulingRounds() - rounds;
        looks = node.controller.scheduler.probePlacement().inspectedMachineCount() - looks;
        // One that did not find room speaks for all that ask for no less: of forty jobs, three look
        // at each machine.
        assertTrue(
                rounds >= 20 && looks <= 3000 * rounds, looks + " looks in " + rounds + " rounds");
    }

    @Test
    void gapsThatAreKeptForALargeGangAreUsedByGangsThatWillBeOverBeforeItStarts() {
        SimulatedNode node = fleet(1, 20, 4);
        cluster.workers.values().forEach(worker -> worker.taskSeconds = 200);
        JobSpec spec = job("j-100", Shape.ARRAY, 30, 1);
        cluster.submit(node, spec.toBuilder().estimatedSeconds(200).build());
        cluster.run(2);
        // Needs all machines, in 200 s at the soonest; another one of 20 s fits in before, one of
        // 500 s does not.
        cluster.submit(node, job("j-200", Shape.GANG, 80, 1));
        cluster.submit(node, job("j-300", Shape.GANG, 12, 1));
        cluster.submit(
                node, job("j-400", Shape.GANG, 12, 1).toBuilder().estimatedSeconds(500).build());
        cluster.run(5);
        assertEquals(12, running("j-300"));
        assertEquals(0, running("j-200", "j-400"));
    }

    @Test
    void tasksOfLowerPriorityLeaveAnIdleMachineToTheNextGang() {
        cluster.teams.put("red", new ClusterSettings.Team("red", 16, 0, 0, 0));
        SimulatedNode node = fleet(1, 4, 4);
        cluster.workers.values().forEach(worker -> worker.taskSeconds = 1);
        for (int i = 0; i < 6; i++) {
            cluster.submit(
                    node, with(job("j-1" + i, Shape.GANG, 1, 4), "red", Priority.HIGH, false));
            cluster.run(1.9);
        }
        cluster.workers.values().forEach(worker -> worker.taskSeconds = 30);
        cluster.submit(node, with(job("j-200", Shape.ARRAY, 100, 1), "red", Priority.LOW, false));
        cluster.run(1.4);
        assertEquals(12, running("j-200"));
        cluster.submit(node, with(job("j-300", Shape.GANG, 1, 4), "red", Priority.HIGH, false));
        cluster.run(1);
        assertEquals(1, running("j-300"));
        assertEquals(0, node.controller.scheduler.preemption().evictions());
    }

    @Test
    void aJobWithADeadlineStartsWhereItsImageIsPresent() {
        // Guaranteed, so that idle ordinary machines are kept.
        cluster.teams.put("red", new ClusterSettings.Team("red", 100, 0, 0, 0));
        SimulatedNode node = fleet(1, 0, 4);
        for (int i = 0; i < 6; i++) {
            cluster.spotWorker("s-" + i, "a");
        }
        for (int i = 0; i < 2; i++) {
            cluster.worker("o-" + i, "a");
        }
        cluster.run(3);
        // Runs on the ordinary machines first, which then have the image.
        JobSpec bound = job("j-1", Shape.ARRAY, 8, 1);
        cluster.submit(node, bound);
        cluster.run(30);
        assertEquals("done", cluster.status(node, "j-1"));
        JobSpec spec = SimulatedCluster.onSpot(job("j-2", Shape.ARRAY, 2, 1), 20);
        cluster.submit(node, spec.toBuilder().deadlineSeconds(50.0).build());
        cluster.run(2);
        assertEquals(
                2,
                cluster.workers.values().stream()
                        .filter(worker -> !worker.spot)
                        .flatMap(worker -> worker.tasks.values().stream())
                        .filter(task -> task.jobId.equals("j-2"))
                        .count());
    }

    @Test
    void afterHundredsOfJobsTheLeaderHoldsOnlyOpenOnesInMemory() {
        SimulatedNode node = fleet(1, 10, 4);
        cluster.workers.values().forEach(worker -> worker.taskSeconds = 1);
        for (int i = 0; i < 400; i++) {
            // Users name the classes: any number of them.
            cluster.submit(
                    node,
                    JobSpec.builder("j-" + (10000 + i))
                            .jobClass("class-" + i)
                            .team("red")
                            .shape(Shape.ARRAY)
                            .priority(JobSpec.Priority.NORMAL)
                            .taskCount(4)
                            .cpusPerTask(1)
                            .memoryGigabytesPerTask(1)
                            .image("img-" + i)
                            .imageGigabytes(1)
                            .estimatedSeconds(2)
                            .build());
            cluster.run(0.9);
        }
        cluster.run(20);
        ShardState shard = node.controller.shard;
        assertEquals(0, shard.jobs().size());
        assertEquals(
                0,
                shard.dirtyParts().withOtherChanges().size()
                        + shard.dirtyParts().withPlacements().size());
        assertTrue(shard.machines().size() <= 11);
        // 50 GB of images of 1 GB.
        assertTrue(
                shard.machines().values().stream()
                        .allMatch(
                                machine ->
                                        machine.attempts().isEmpty()
                                                && !machine.hasUncommittedEnds()
                                                && machine.images().size() <= 50));
    }
}
