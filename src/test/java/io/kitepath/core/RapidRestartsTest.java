package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedClusters;
import io.kitepath.simulation.SimulatedNode;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Processes that end and are back within a fraction of a second, before anybody has seen them
 * silent.
 */
class RapidRestartsTest {
    private static SimulatedCluster settled(int nodes, int machines) {
        SimulatedCluster cluster = new SimulatedCluster();
        cluster.heartbeatIntervalSeconds = 4;
        cluster.leaseSeconds = 30;
        for (int i = 0; i < nodes; i++) {
            cluster.node("k" + i);
            cluster.siblings.add("k" + i);
        }
        for (int i = 0; i < machines; i++) {
            cluster.worker(String.format("i-%06d", i), i % 2 == 0 ? "a" : "b");
        }
        cluster.run(16);
        return cluster;
    }

    private static boolean someoneHolds(SimulatedCluster cluster) {
        return cluster.nodes.values().stream()
                .anyMatch(node -> node.alive && node.controller.isServingShard());
    }

    /** Seconds until a node that is up holds the jobs. */
    private static double untilHeld(SimulatedCluster cluster, double most) {
        double from = cluster.clock.now;
        while (!someoneHolds(cluster) && cluster.clock.now - from < most) {
            cluster.run(0.01);
        }
        return cluster.clock.now - from;
    }

    @Test
    void aLeaderThatIsBackAtOnceDoesNotWaitForItsOwnLease() {
        for (int nodes = 1; nodes <= 3; nodes += 2) {
            SimulatedCluster cluster = settled(nodes, 2);
            SimulatedNode first = cluster.leader();
            cluster.submit(first, job("j-1", Shape.ARRAY, 4, 1));
            first.crash();
            cluster.run(0.1);
            cluster.node(first.name);
            assertTrue(
                    untilHeld(cluster, 10) < 0.25 * cluster.heartbeatIntervalSeconds,
                    "with " + nodes + " nodes");
            cluster.run(60);
            assertEquals("done", cluster.status(cluster.leader(), "j-1"));
            assertEquals(List.of(), cluster.violations);
        }
    }

    @Test
    void theRecordOfAnEarlierVersionIsWaitedFor() {
        SimulatedCluster cluster = settled(1, 1);
        SimulatedNode first = cluster.leader();
        first.crash();
        // Written as before processes said when they began, and on which lease they lead.
        long lease = cluster.store.leaseOfKey.get(StoreKeys.LEADER);
        cluster.store.put(
                StoreKeys.LEADER,
                Map.of("node", first.name, "token", cluster.store.leaderFencingToken()),
                lease,
                ++cluster.store.revision);
        cluster.node(first.name);
        assertTrue(untilHeld(cluster, 20) <= 2 * cluster.heartbeatIntervalSeconds);
    }

    @Test
    void twoProcessesUnderOneNameDoNotAlternatelyEndEachOthersLeases() {
        SimulatedCluster cluster = settled(2, 2);
        SimulatedNode first = cluster.leader();
        // Nobody ended it: a second one is started under its name.
        SimulatedNode second = new SimulatedNode(cluster, first.name);
        cluster.nodes.put(
                first.name,
                second); // Whoever asks for the name gets the later one; the other goes on.
        cluster.nodes.put("old", first);
        second.controller.start();
        long before = cluster.store.leaderFencingToken();
        cluster.submit(second, job("j-1", Shape.ARRAY, 4, 1));
        cluster.run(120);
        assertTrue(
                cluster.store.leaderFencingToken() - before <= 2,
                "leaders: " + (cluster.store.leaderFencingToken() - before));
        assertEquals("done", cluster.status(second, "j-1"));
        assertEquals(0, first.controller.fencingTokenIfLeading(), "the later one stays");
        assertEquals(List.of(), cluster.violations);
    }

    @Test
    void aFrozenProcessWhoseNameWasTakenOverDoesNotLeadAgain() {
        SimulatedCluster cluster = settled(1, 2);
        SimulatedNode first = cluster.leader();
        first.frozenUntil = cluster.clock.now + 20;
        cluster.run(1);
        SimulatedNode second = new SimulatedNode(cluster, first.name);
        cluster.nodes.put(first.name, second);
        cluster.nodes.put("old", first);
        second.controller.start();
        cluster.run(1);
        assertTrue(second.controller.fencingTokenIfLeading() > 0);
        long token = cluster.store.leaderFencingToken();
        cluster.run(60);
        assertEquals(token, cluster.store.leaderFencingToken());
        assertEquals(0, first.controller.fencingTokenIfLeading());
    }

    /** A node that ends again and again, after so many seconds of life, from now on. */
    private static void loop(
            SimulatedCluster cluster, String name, double lifeS, double downS, double until) {
        if (cluster.clock.now >= until) {
            return;
        }
        cluster.after(
                lifeS,
                () -> {
                    cluster.nodes.get(name).crash();
                    cluster.after(
                            downS,
                            () -> {
                                cluster.node(name);
                                loop(cluster, name, lifeS, downS, until);
                            });
                });
    }

    @Test
    void aNodeThatCrashesRepeatedlyCostsTheOthersLittle() {
        for (double lifeS : new double[] {0.2, 1, 5}) {
            SimulatedCluster cluster = settled(3, 4);
            String bad = cluster.leader().name;
            loop(cluster, bad, lifeS, 0.3, cluster.clock.now + 120);
            int accepted = 0;
            for (int i = 0; i < 20; i++) {
                SimulatedNode ok =
                        cluster.nodes.values().stream()
                                .filter(n -> !n.name.equals(bad))
                                .findFirst()
                                .orElseThrow();
                accepted += cluster.submit(ok, job("j-" + i, Shape.ARRAY, 4, 1)) != null ? 1 : 0;
                cluster.run(5.9);
            }
            assertTrue(accepted >= 19, "life " + lifeS + ": " + accepted);
            cluster.run(90);
            for (int i = 0; i < 20; i++) {
                assertEquals(
                        "done",
                        cluster.status(cluster.leader(), "j-" + i),
                        "life " + lifeS + ", job " + i);
            }
            assertEquals(List.of(), cluster.violations);
        }
    }

    @Test
    void allNodesCrashingTogetherEveryTwoSecondsLoseAndDuplicateNothing() {
        SimulatedCluster cluster = settled(3, 4);
        cluster.workers.values().forEach(worker -> worker.taskSeconds = 25);
        cluster.submit(cluster.leader(), job("j-1", Shape.ARRAY, 12, 1));
        cluster.run(2);
        for (int i = 0; i < 15; i++) {
            cluster.nodes.values().forEach(SimulatedNode::crash);
            cluster.run(0.3);
            List.of("k0", "k1", "k2").forEach(cluster::node);
            cluster.run(1.7);
        }
        cluster.run(90);
        assertEquals("done", cluster.status(cluster.leader(), "j-1"));
        assertEquals(List.of(), cluster.violations);
        assertEquals(
                12,
                cluster.workers.values().stream().mapToInt(worker -> worker.started).sum(),
                "no work was lost");
    }

    /**
     * The leader ends with all its siblings; whichever node takes over ends in turn after its n-th
     * request, until no takeover has that many, and is back.
     */
    @Test
    void aCrashAfterAnyRequestOfAFailoverDoesNoHarm() {
        int points = 0;
        for (double backS : new double[] {0, 0.1, 0.5}) {
            for (int n = 1; n < 60; n++) {
                SimulatedCluster cluster = settled(2, 3);
                cluster.submit(cluster.leader(), job("j-1", Shape.ARRAY, 10, 1));
                cluster.submit(cluster.leader(), job("j-2", Shape.GANG, 2, 1));
                boolean[] hit = new boolean[1];
                cluster.nodes.values().forEach(SimulatedNode::crash);
                cluster.run(0.1);
                for (String name : List.of("k0", "k1")) {
                    SimulatedNode fresh = cluster.node(name);
                    fresh.crashAfterRequests(
                            n,
                            () -> {
                                hit[0] = true;
                                cluster.after(backS, () -> cluster.node(name));
                            });
                }
                cluster.run(12);
                boolean all = hit[0];
                points += all ? 1 : 0;
                cluster.nodes
                        .values()
                        .forEach(node -> node.crashesAfterRequests = Integer.MAX_VALUE);
                cluster.run(80);
                assertEquals(
                        "done",
                        cluster.status(cluster.leader(), "j-1"),
                        "after request " + n + ", back after " + backS);
                assertEquals(
                        "done",
                        cluster.status(cluster.leader(), "j-2"),
                        "after request " + n + ", back after " + backS);
                assertEquals(
                        List.of(),
                        cluster.violations,
                        "after request " + n + ", back after " + backS);
                if (!all) {
                    break;
                }
            }
        }
        System.out.println("takeovers that ended at one of their requests: " + points);
        assertTrue(points >= 60, "points: " + points);
    }

    /**
     * Its claim was under way when it was told to stop: it must not begin to lead, and the key must
     * not wait for a lease.
     */
    @Test
    void aNodeThatIsStoppedWhileItsClaimIsUnderWayDoesNotBeginToLead() {
        SimulatedCluster cluster = SimulatedClusters.settled(3, 2);
        SimulatedNode first = cluster.leader();
        SimulatedNode[] stopped = new SimulatedNode[1];
        cluster.store.onCommit =
                (client, transaction) -> {
                    if (stopped[0] == null
                            && client instanceof SimulatedNode node
                            && transaction.writes().stream()
                                    .anyMatch(
                                            write ->
                                                    write.key().equals(StoreKeys.LEADER)
                                                            && write.value() != null)) {
                        stopped[0] = node;
                        node.controller.stop();
                    }
                };
        first.kill();
        cluster.run(5);
        assertTrue(stopped[0] != null && stopped[0] != first);
        assertEquals(0, stopped[0].controller.fencingTokenIfLeading());
        assertTrue(cluster.leader() != stopped[0] && cluster.leader().controller.isServingShard());
        assertEquals(List.of(), cluster.violations);
    }
}
