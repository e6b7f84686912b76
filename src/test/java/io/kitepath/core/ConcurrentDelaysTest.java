package io.kitepath.core;

import static io.kitepath.core.ConcurrentFaultsTest.other;
import static io.kitepath.core.ConcurrentFaultsTest.sessions;
import static io.kitepath.core.ConcurrentFaultsTest.starts;
import static io.kitepath.simulation.SimulatedCluster.job;
import static io.kitepath.simulation.SimulatedClusters.settled;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Priority;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.simulation.SimulatedWorker;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * The last four combinations of docs/concurrent-faults.md: what comes late, is slow, or does not
 * come at all.
 */
class ConcurrentDelaysTest {
    // ---- 5. a command or its answer is held up for seconds, and the machine goes on
    // --------------

    /**
     * Stops for work of more right are held up; the same tasks are placed anew on the same machines
     * meanwhile.
     */
    @Test
    void aStopThatIsHeldUpEndsNothingThatWasPlacedSince() {
        for (double held = 0.6; held < 16; held += 0.8) {
            SimulatedCluster cluster = settled(2, 2);
            double late = held;
            cluster.directCommandHoldSeconds = () -> late;
            cluster.taskSeconds = id -> id.equals("j-1") ? 25 : 5;
            cluster.submit(cluster.leader(), job("j-1", Shape.ARRAY, 2, 4));
            cluster.run(4);
            assertEquals(2, cluster.onMachines("j-1"));
            cluster.submit(
                    cluster.leader(),
                    SimulatedCluster.with(
                            job("j-2", Shape.ARRAY, 2, 4), "red", Priority.HIGH, false));
            // The same tasks on the same machines, when those of more right have ended.
            cluster.run(60);
            assertEquals("done", cluster.status(cluster.leader(), "j-2"), "held " + held);
            assertEquals("done", cluster.status(cluster.leader(), "j-1"), "held " + held);
            assertEquals(6, starts(cluster), "held " + held);
            assertEquals(List.of(), cluster.violations, "held " + held);
        }
    }

    /**
     * A machine stands still with commands and answers under way, for less and for more than its
     * lease, and goes on.
     */
    @Test
    void aMachineThatWasFrozenStartsNothingThatIsObsolete() {
        for (double stands = 1; stands < 26; stands += 1) {
            for (double at = 0.1; at < 2.5; at += 0.4) {
                SimulatedCluster cluster = settled(2, 3);
                cluster.taskSeconds = id -> 8;
                SimulatedWorker worker = cluster.workers.get("i-000000");
                cluster.submit(cluster.leader(), job("j-1", Shape.ARRAY, 3, 4));
                cluster.run(at);
                worker.hangingUntil = cluster.clock.now + stands;
                cluster.submit(
                        cluster.leader(),
                        SimulatedCluster.with(
                                job("j-2", Shape.ARRAY, 2, 4), "red", Priority.HIGH, false));
                cluster.run(3);
                cluster.cancel(cluster.leader(), "j-2");
                cluster.run(70);
                String when = "stands " + stands + " from " + at;
                assertEquals(List.of(), cluster.violations, when);
                assertEquals("done", cluster.status(cluster.leader(), "j-1"), when);
            }
        }
    }

    // ---- 6. the store answers slowly, also during a takeover
    // --------------------------------------

    @Test
    void aSlowStoreDelaysButForgetsAndDoublesNothing() {
        for (double slow : new double[] {0.05, 0.2, 0.4, 0.8, 1.2}) {
            for (boolean takeover : new boolean[] {false, true}) {
                SimulatedCluster cluster = settled(3, 4);
                cluster.taskSeconds = id -> 20;
                cluster.submit(cluster.leader(), job("j-1", Shape.ARRAY, 8, 1));
                cluster.run(4);
                long before = sessions(cluster);
                cluster.store.extraLatencySeconds = slow;
                List<String> handedIn = new ArrayList<>(List.of("j-1"));
                for (int i = 0; i < 10; i++) {
                    String id = "j-" + (10 + i);
                    cluster.submit(
                            cluster.nodes.get("k" + i % 3),
                            job(id, i % 3 == 0 ? Shape.GANG : Shape.ARRAY, 2, 1));
                    handedIn.add(id);
                    if (i == 4 && takeover) {
                        SimulatedNode n =
                                cluster.nodes.values().stream()
                                        .filter(x -> x.controller.leadership.isLeading())
                                        .findFirst()
                                        .orElse(cluster.nodes.get("k0"));
                        n.kill();
                        cluster.after(0.3, () -> cluster.node(n.name));
                    }
                    if (i == 6) {
                        cluster.cancel(cluster.nodes.get("k1"), "j-13");
                    }
                    cluster.run(2.5);
                    cluster.ask(cluster.nodes.get("k" + (i + 1) % 3), handedIn.get(i / 2));
                }
                cluster.store.extraLatencySeconds = 0;
                cluster.run(60);
                String at = "slow " + slow + (takeover ? " with a takeover" : "");
                for (String id : handedIn) {
                    var response = cluster.ask(cluster.leader(), id);
                    // One whose user heard nothing may or may not be there.
                    if (cluster.acceptedAt.containsKey(id)) {
                        assertEquals(
                                cluster.reportedCancelledAt.containsKey(id)
                                        ? "cancelled"
                                        : response.jobStatus().status(),
                                response.jobStatus().status(),
                                at);
                        assertTrue(
                                List.of("done", "cancelled")
                                        .contains(response.jobStatus().status()),
                                at + " " + response);
                    }
                }
                if (slow < 0.3) {
                    assertEquals(before, sessions(cluster), at);
                }
                assertEquals(List.of(), cluster.violations, at);
                assertEquals(0, cluster.responsesDropped, at);
            }
        }
    }

    /**
     * No herd: what all nodes ask of a store that is out stays few a second, whoever waits for it.
     */
    @Test
    void anOutageIsNotAnsweredWithAHerd() {
        SimulatedCluster cluster = settled(3, 6);
        cluster.submit(cluster.leader(), job("j-1", Shape.ARRAY, 8, 1));
        cluster.run(4);
        cluster.store.outage(40);
        int before = cluster.nodes.values().stream().mapToInt(node -> node.requests).sum();
        for (int i = 0; i < 40; i++) {
            for (SimulatedNode node : cluster.nodes.values()) {
                node.controller.jobApi().status("j-1", response -> {});
                node.controller.jobApi().cancel("j-1", response -> {});
            }
            cluster.run(0.98);
        }
        int asked = cluster.nodes.values().stream().mapToInt(node -> node.requests).sum() - before;
        // Three nodes, of them one that renews, proves, writes and follows: a few each a second.
        assertTrue(asked < 40 * 3 * 12, "requests " + asked);
    }

    // ---- 7. a transaction without an answer is carried out late, after newer ones
    // -----------------

    /** A day in which everybody who writes anything writes something. */
    private static SimulatedCluster day(
            int which, double late, int[] count, Map<String, Integer> kinds, double crashAt) {
        SimulatedCluster cluster = settled(3, 4);
        cluster.cloud.capacity = 8;
        cluster.taskSeconds = id -> 7;
        cluster.store.executionDelaySeconds =
                transaction -> {
                    if (count[0]++ == which) {
                        transaction
                                .writes()
                                .forEach(
                                        write ->
                                                kinds.merge(
                                                        write.key().replaceAll("[0-9]+.*", ""),
                                                        1,
                                                        Integer::sum));
                        return late;
                    }
                    return 0;
                };
        SimulatedNode a = cluster.leader();
        cluster.submit(a, job("j-1", Shape.ARRAY, 6, 2));
        cluster.submit(other(cluster, a), job("j-2", Shape.GANG, 4, 2));
        cluster.submit(a, job("j-3", Shape.ARRAY, 2, 1), "j-1");
        cluster.submit(a, job("j-4", Shape.ARRAY, 2, 1), "j-2");
        cluster.run(2);
        cluster.cancel(other(cluster, a), "j-2");
        cluster.run(3);
        if (crashAt > 0) {
            cluster.run(crashAt);
            SimulatedNode n =
                    cluster.nodes.values().stream()
                            .filter(x -> x.controller.leadership.isLeading())
                            .findFirst()
                            .orElse(a);
            n.kill();
            cluster.after(0.3, () -> cluster.node(n.name));
        }
        cluster.run(4);
        // The same ids again, by users who heard nothing.
        for (String id : List.of("j-1", "j-2", "j-3")) {
            cluster.submit(
                    cluster.nodes.get("k1"),
                    cluster.specs.get(id),
                    cluster.dependencies.getOrDefault(id, List.of()).toArray(String[]::new));
        }
        cluster.cancel(cluster.nodes.get("k2"), "j-2");
        cluster.submit(cluster.nodes.get("k0"), job("j-5", Shape.ARRAY, 60, 2));
        cluster.run(14);
        for (int i = 0; i < 14; i++) {
            cluster.run(4);
            for (String id : List.of("j-1", "j-2", "j-3", "j-4", "j-5")) {
                cluster.ask(cluster.nodes.get("k" + i % 3), id);
            }
        }
        cluster.run(90);
        return cluster;
    }

    @Test
    void eachWriteOfADayMayArriveAfterNewerOnes() {
        Map<String, Integer> kinds = new TreeMap<>();
        int days = 0;
        for (double late : new double[] {2, 5.5, 12}) {
            int[] all = new int[1];
            day(-1, late, all, kinds, 1);
            for (int i = 0; i < all[0]; i += 1) {
                SimulatedCluster cluster = day(i, late, new int[1], kinds, 1);
                String at = "write " + i + " late by " + late;
                assertEquals(List.of(), cluster.violations, at);
                for (String id : cluster.acceptedAt.keySet()) {
                    String status = cluster.status(cluster.leader(), id);
                    boolean gone = cluster.reportedCancelledAt.containsKey(id);
                    assertTrue(
                            status.equals(gone ? "cancelled" : "done")
                                    || id.equals("j-4") && status.equals("cancelled"),
                            at + ": " + id + " is " + status);
                }
                assertEquals(
                        0,
                        cluster.store.entries.keySet().stream()
                                .filter(key -> key.startsWith(StoreKeys.OPEN_JOBS))
                                .count(),
                        at);
                days++;
            }
        }
        System.out.println("late writes: " + days + " days, keys " + kinds);
        assertTrue(kinds.size() >= 8, kinds.toString());
    }

    /** A third of all writes late, as the bench has it, with nodes that end. */
    @Test
    void manyWritesArriveLate() {
        for (long seed = 0; seed < 40; seed++) {
            Random random = new Random(seed);
            SimulatedCluster cluster = settled(3, 5);
            cluster.cloud.capacity = 10;
            cluster.taskSeconds = id -> 6 + Math.floorMod(id.hashCode(), 9);
            cluster.store.executionDelaySeconds =
                    transaction -> random.nextInt(3) == 0 ? 2 + random.nextDouble() * 10 : 0;
            for (int i = 0; i < 12; i++) {
                cluster.submit(
                        cluster.nodes.get("k" + random.nextInt(3)),
                        job(
                                "j-" + (10 + i),
                                i % 3 == 0 ? Shape.GANG : Shape.ARRAY,
                                1 + random.nextInt(4),
                                1));
                cluster.run(random.nextDouble() * 4);
                if (random.nextInt(4) == 0) {
                    cluster.cancel(
                            cluster.nodes.get("k" + random.nextInt(3)),
                            "j-" + (10 + random.nextInt(i + 1)));
                }
                if (random.nextInt(5) == 0) {
                    SimulatedNode node = cluster.nodes.get("k" + random.nextInt(3));
                    node.kill();
                    cluster.after(0.3, () -> cluster.node(node.name));
                }
            }
            cluster.run(10);
            cluster.store.executionDelaySeconds = transaction -> 0;
            cluster.run(120);
            for (String id : cluster.acceptedAt.keySet()) {
                var response = cluster.ask(cluster.leader(), id);
                assertTrue(
                        response.verdict() == Verdict.KNOWN
                                && List.of("done", "cancelled")
                                        .contains(response.jobStatus().status()),
                        "seed " + seed + ": " + id + " " + response);
            }
            assertEquals(List.of(), cluster.violations, "seed " + seed);
        }
    }

    // ---- 8. a leader ends while machines with long tasks can't be reached or hear nothing
    // -----------

    private static void unreachable(double leaderEnds, double lasts, boolean deaf, Shape shape) {
        SimulatedCluster cluster = settled(3, 8);
        cluster.cloud.capacity =
                8; // For the machines that are given back, as what hears nobody is after three
        // leases.
        cluster.taskSeconds = id -> 90;
        JobSpec spec = job("j-1", shape, 4, 4);
        cluster.submit(
                cluster.leader(),
                shape == Shape.GANG
                        ? SimulatedCluster.with(spec, "red", Priority.NORMAL, true)
                        : spec);
        cluster.run(6);
        List<SimulatedWorker> lost =
                cluster.workers.values().stream()
                        .filter(worker -> !worker.tasks.isEmpty())
                        .limit(2)
                        .toList();
        cluster.run(2);
        lost.forEach(
                worker -> {
                    worker.receivesNothing = deaf;
                    worker.isCutOff = !deaf;
                });
        cluster.run(leaderEnds);
        SimulatedNode node = cluster.leader();
        node.kill();
        cluster.after(0.3, () -> cluster.node(node.name));
        cluster.run(lasts);
        lost.forEach(
                worker -> {
                    worker.receivesNothing = false;
                    worker.isCutOff = false;
                });
        cluster.run(280);
        String at =
                shape
                        + " leader ends after "
                        + leaderEnds
                        + ", lasts "
                        + lasts
                        + (deaf ? " deaf" : " cut");
        assertEquals(List.of(), cluster.violations, at);
        assertEquals("done", cluster.status(cluster.leader(), "j-1"), at);
        assertTrue(
                cluster.leader().controller.shard.machines().values().stream()
                        .allMatch(machine -> machine.attempts().isEmpty()),
                at);
    }

    @Test
    void whatTheNextLeaderCantReachIsNeitherStartedTwiceNorPlacedForGood() {
        for (boolean deaf : new boolean[] {false, true}) {
            for (double ends = 0; ends < 12; ends += 1.5) {
                for (double lasts : new double[] {1, 5, 9, 14, 40}) {
                    unreachable(ends, lasts, deaf, Shape.ARRAY);
                    unreachable(ends, lasts, deaf, Shape.GANG);
                }
            }
        }
    }
}
