package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static io.kitepath.simulation.SimulatedClusters.settled;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.simulation.SimulatedWorker;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Machines that hear nothing, late copies of reports, and a node that only workers reach. */
class OneWayMachinesTest {
    private static SimulatedWorker first(SimulatedCluster cluster) {
        return cluster.workers.values().iterator().next();
    }

    @Test
    void workThatAMachineWithoutAnswersNeverStartsGoesElsewhere() {
        SimulatedCluster cluster = settled(1, 1);
        SimulatedNode node = cluster.nodes.get("k0");
        first(cluster).receivesNothing = true;
        cluster.run(1);
        cluster.submit(node, job("j-1", Shape.ARRAY, 3, 1));
        cluster.run(12);
        assertEquals(0, cluster.onMachines("j-1"));
        cluster.worker("i-000009", "a");
        cluster.run(15);
        assertEquals(3, cluster.onMachines("j-1"));
        cluster.run(30);
        assertEquals("done", cluster.status(node, "j-1"));
        assertEquals(List.of(), cluster.violations);
    }

    @Test
    void tasksOfAMachineThatReceivesNothingRestartOnceItsIncarnationIsOver() {
        SimulatedCluster cluster = settled(2, 2);
        SimulatedNode node = cluster.leader();
        cluster.submit(node, job("j-1", Shape.ARRAY, 2, 3));
        cluster.run(4);
        assertEquals(2, cluster.onMachines("j-1"));
        first(cluster).receivesNothing = true;
        cluster.run(90);
        assertEquals("done", cluster.status(node, "j-1"));
        assertEquals(List.of(), cluster.violations);
    }

    @Test
    void aMachineThatReceivesAgainGetsTasksAndOneThatDoesNotIsReleased() {
        SimulatedCluster cluster = settled(1, 2);
        cluster.cloud.capacity = 10;
        SimulatedNode node = cluster.nodes.get("k0");
        List<SimulatedWorker> all = new ArrayList<>(cluster.workers.values());
        all.forEach(worker -> worker.receivesNothing = true);
        cluster.submit(node, job("j-1", Shape.SERVICE, 8, 1));
        cluster.run(25);
        var machines = node.controller.shard.machines();
        assertTrue(machines.get(all.get(0).id).isMissingResponses());
        assertFalse(machines.get(all.get(0).id).isSchedulable());
        all.get(0).receivesNothing = false;
        cluster.run(18);
        assertFalse(machines.get(all.get(0).id).isMissingResponses());
        assertTrue(machines.get(all.get(0).id).isSchedulable());
        cluster.run(60);
        assertTrue(cluster.cloud.released.contains(all.get(1).id));
        assertEquals(8, cluster.onMachines("j-1"));
        assertEquals(List.of(), cluster.violations);
    }

    @Test
    void aZoneThatReceivesNothingDuringAFailoverLosesNoTasksForGood() {
        SimulatedCluster cluster = settled(3, 8);
        cluster.submit(cluster.leader(), job("j-1", Shape.ARRAY, 20, 1));
        cluster.run(4);
        cluster.workers.values().stream()
                .filter(worker -> worker.zone.equals("b"))
                .forEach(worker -> worker.receivesNothing = true);
        SimulatedNode node = cluster.leader();
        node.crash();
        cluster.after(0.3, () -> cluster.node(node.name));
        cluster.run(50);
        cluster.workers.values().forEach(worker -> worker.receivesNothing = false);
        cluster.run(60);
        assertEquals("done", cluster.status(cluster.leader(), "j-1"));
        assertEquals(List.of(), cluster.violations);
    }

    /**
     * A report of before its machine was given back, or of an earlier session, comes when nobody
     * knows better any more.
     */
    @Test
    void aLateCopyOfAReportRevivesNothing() {
        SimulatedCluster cluster = settled(2, 3);
        SimulatedNode node = cluster.leader();
        cluster.submit(node, job("j-1", Shape.ARRAY, 6, 1));
        cluster.run(5);
        SimulatedWorker worker = first(cluster);
        Heartbeat old = worker.currentHeartbeat();
        assertFalse(old.tasks().isEmpty());
        worker.die();
        cluster.cloud.machines.remove(worker.id);
        cluster.run(60);
        assertEquals("done", cluster.status(node, "j-1"));
        node.crash();
        cluster.run(15);
        SimulatedNode next = cluster.leader();
        next.controller.onHeartbeat(old, (HeartbeatResponse response) -> {});
        cluster.submit(next, job("j-2", Shape.ARRAY, 12, 1));
        cluster.run(10);
        assertTrue(
                next.controller.shard.jobs().get("j-2").liveAttempts().values().stream()
                        .noneMatch(attempt -> attempt.machine.id.equals(worker.id)));
        cluster.run(50);
        assertEquals("done", cluster.status(next, "j-2"));
        assertEquals(List.of(), cluster.violations);
    }

    @Test
    void copiesOfReportsSecondsToSeveralLeasesLateChangeNothing() {
        for (long seed = 0; seed < 12; seed++) {
            SimulatedCluster cluster = settled(3, 6);
            Random random = new Random(seed);
            cluster.duplicateDelaySeconds =
                    () ->
                            random.nextInt(3) == 0
                                    ? 0.5 + random.nextDouble() * 3 * cluster.leaseSeconds
                                    : 0;
            Set<String> jobs = new HashSet<>();
            for (int i = 0; i < 12; i++) {
                SimulatedNode node = cluster.leader();
                String id = "j-" + (100 + i);
                if (cluster.submit(
                                node,
                                job(
                                        id,
                                        i % 3 == 0 ? Shape.GANG : Shape.ARRAY,
                                        1 + random.nextInt(8),
                                        1))
                        != null) {
                    jobs.add(id);
                }
                cluster.run(random.nextDouble() * 5);
                if (random.nextInt(3) == 0) {
                    node.crash();
                    cluster.after(random.nextBoolean() ? 0.2 : 4, () -> cluster.node(node.name));
                    cluster.run(14);
                }
                if (random.nextInt(4) == 0) {
                    cluster.worker("i-9" + seed + i, "a");
                }
            }
            cluster.run(200);
            for (String id : jobs) {
                assertEquals("done", cluster.status(cluster.leader(), id), "seed " + seed);
            }
            assertEquals(List.of(), cluster.violations, "seed " + seed);
        }
    }

    /** What only workers reach sends them on while their leases last, and users away. */
    @Test
    void aLeaderWithoutStoreAndPeersRedirectsItsWorkersInTime() {
        SimulatedCluster cluster = settled(3, 4);
        SimulatedNode cut = cluster.leader();
        cluster.submit(cut, job("j-1", Shape.SERVICE, 8, 1));
        cluster.run(5);
        long sessions = cluster.workers.values().stream().mapToLong(worker -> worker.session).sum();
        cut.cutFromStore = true;
        cluster.siblings.forEach(cut.cutFrom::add);
        cluster.run(8);
        assertFalse(cut.controller.isHealthy());
        assertEquals(Verdict.LATER, cluster.ask(cut, "j-1").verdict());
        cluster.run(12);
        SimulatedNode next =
                cluster.nodes.values().stream()
                        .filter(node -> node != cut && node.controller.holdsShard())
                        .findFirst()
                        .orElseThrow();
        assertEquals(
                8,
                next.controller.shard.jobs().get("j-1").liveAttempts().values().stream()
                        .filter(attempt -> attempt.isSeen())
                        .count());
        assertEquals(8, cluster.onMachines("j-1"));
        assertEquals(
                sessions,
                cluster.workers.values().stream().mapToLong(worker -> worker.session).sum());
        cut.cutFromStore = false;
        cut.cutFrom.clear();
        cluster.run(10);
        assertTrue(cut.controller.isHealthy());
        assertEquals(
                1,
                cluster.nodes.values().stream()
                        .filter(node -> node.controller.holdsShard())
                        .count());
        assertEquals(List.of(), cluster.violations);
    }

    /** Each accepted job by itself: how well the others fare does not count. */
    @Test
    void onceAllTroublesAreOverEveryAcceptedJobIsAnsweredAndEnds() {
        for (long seed = 0; seed < Integer.getInteger("kitepath.seeds", 25); seed++) {
            Mixed m = new Mixed(seed);
            m.play();
            m.check();
        }
    }

    /**
     * Silent for as long as it takes to give it back, and heard again in the moment in which that
     * is put down.
     */
    @Test
    void aMachineWhoseHeartbeatsReturnDuringItsReleaseStartsNoTasks() {
        Mixed m = new Mixed(46);
        m.play();
        m.check();
    }

    /** All troubles in any order, with pipelines, old jobs and limits that fall in the middle. */
    static final class Mixed {
        final SimulatedCluster cluster = settled(3, 8);
        final Random random;
        final long seed;
        final Set<String> accepted = new HashSet<>();
        final Set<String> cancelled = new HashSet<>();

        Mixed(long seed) {
            this.seed = seed;
            random = new Random(seed);
            cluster.cloud.capacity = 20;
            cluster.announcedStoreLimits =
                    new io.kitepath.core.model.ClusterSettings.StoreLimits(1000, 200, 2, 13);
            cluster.nodes.keySet().stream()
                    .toList()
                    .forEach(
                            key -> {
                                cluster.nodes.get(key).crash();
                                cluster.node(key);
                            });
            cluster.run(10);
        }

        private SimulatedNode any() {
            return cluster.nodes.get("k" + random.nextInt(3));
        }

        void play() {
            for (int i = 0; i < 30; i++) {
                String id = "j-" + (100 + i);
                List<String> old = new ArrayList<>(accepted);
                old.sort(null);
                String[] needs =
                        random.nextInt(2) == 0 || old.isEmpty()
                                ? new String[0]
                                : new String[] {
                                    old.get(random.nextInt(old.size())),
                                    old.get(random.nextInt(old.size()))
                                };
                var response =
                        cluster.submit(
                                any(),
                                job(
                                        id,
                                        random.nextInt(4) == 0 ? Shape.GANG : Shape.ARRAY,
                                        1 + random.nextInt(8),
                                        1),
                                needs);
                if (response != null && response.verdict() == Verdict.CREATED) {
                    accepted.add(id);
                }
                if (random.nextInt(8) == 0 && !old.isEmpty()) {
                    String which = old.get(random.nextInt(old.size()));
                    var answer = cluster.cancel(any(), which);
                    if (answer != null
                            && answer.verdict() == Verdict.KNOWN
                            && answer.jobStatus().status().equals("cancelled")) {
                        cancelled.add(which);
                    }
                }
                trouble();
                cluster.run(random.nextDouble() * 4);
                for (int query = 0; query < 3 && !old.isEmpty(); query++) {
                    cluster.ask(any(), old.get(random.nextInt(old.size())));
                }
                if (i == 15) {
                    cluster.store.largestValueBytes = 2048;
                    cluster.store.largestTransactionOperations = 13;
                }
            }
            endTroubles();
        }

        /** Heals every connection and brings crashed nodes back. */
        private void endTroubles() {
            cluster.nodes.keySet().stream()
                    .toList()
                    .forEach(
                            key -> {
                                SimulatedNode node = cluster.nodes.get(key);
                                node.cutFromStore = false;
                                node.cutFrom.clear();
                                if (!node.alive) {
                                    cluster.node(key);
                                }
                            });
            cluster.workers
                    .values()
                    .forEach(
                            worker -> {
                                worker.receivesNothing = false;
                                worker.isCutOff = false;
                            });
            cluster.duplicateDelaySeconds = () -> 0;
        }

        private void trouble() {
            SimulatedNode node = any();
            List<SimulatedWorker> up =
                    cluster.workers.values().stream().filter(worker -> worker.up).toList();
            SimulatedWorker worker = up.isEmpty() ? null : up.get(random.nextInt(up.size()));
            switch (random.nextInt(9)) {
                case 0, 1 -> {
                    node.crash();
                    cluster.after(
                            new double[] {0.1, 0.4, 3}[random.nextInt(3)],
                            () -> {
                                if (!cluster.nodes.get(node.name).alive) {
                                    cluster.node(node.name);
                                }
                            });
                }
                case 2 -> node.frozenUntil = cluster.clock.now + random.nextDouble() * 12;
                case 3 -> {
                    node.cutFromStore = true;
                    cluster.siblings.forEach(node.cutFrom::add);
                    cluster.after(
                            random.nextDouble() * 25,
                            () -> {
                                node.cutFromStore = false;
                                node.cutFrom.clear();
                            });
                }
                case 4 -> cluster.store.outage(random.nextDouble() * 8);
                case 5, 6 -> {
                    if (worker != null) {
                        worker.receivesNothing = true;
                        cluster.after(
                                random.nextDouble() * 40, () -> worker.receivesNothing = false);
                    }
                }
                case 7 ->
                        cluster.duplicateDelaySeconds =
                                () -> random.nextInt(4) == 0 ? 0.5 + random.nextDouble() * 25 : 0;
                default -> {
                    if (worker != null) {
                        worker.isCutOff = true;
                        cluster.after(random.nextDouble() * 15, () -> worker.isCutOff = false);
                    }
                }
            }
        }

        void check() {
            String at = "seed " + seed;
            cluster.run(15);
            double calm = cluster.clock.now;
            for (String id : accepted) {
                boolean answered = false;
                while (!answered && cluster.clock.now - calm < 75) {
                    for (String key : cluster.siblings) {
                        var response = cluster.ask(cluster.nodes.get(key), id);
                        answered |= response != null && response.verdict() == Verdict.KNOWN;
                    }
                }
                assertTrue(answered, at + ": " + id + " is forgotten");
            }
            cluster.run(400);
            for (String id : accepted) {
                var response = cluster.ask(cluster.leader(), id);
                assertEquals(
                        behind(id) ? "cancelled" : "done",
                        response.jobStatus().status(),
                        at + ": " + response);
            }
            assertEquals(List.of(), cluster.violations, at);
        }

        private boolean behind(String id) {
            return cancelled.contains(id)
                    || cluster.reportedCancelledAt.containsKey(id)
                    || cluster.dependencies.getOrDefault(id, List.of()).stream()
                            .anyMatch(this::behind);
        }
    }
}
