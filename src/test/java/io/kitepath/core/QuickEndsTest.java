package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.simulation.Worlds;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Processes that end and are back within a fraction of a second, before anybody has seen them
 * silent.
 */
class QuickEndsTest {
    private static SimulatedCluster settled(int nodes, int machines) {
        SimulatedCluster w = new SimulatedCluster();
        w.reportS = 4;
        w.leaseS = 30;
        for (int i = 0; i < nodes; i++) {
            w.node("k" + i);
            w.siblings.add("k" + i);
        }
        for (int i = 0; i < machines; i++) {
            w.worker(String.format("i-%06d", i), i % 2 == 0 ? "a" : "b");
        }
        w.run(16);
        return w;
    }

    private static boolean someoneHolds(SimulatedCluster w) {
        return w.nodes.values().stream().anyMatch(n -> n.alive && n.controller.holds());
    }

    /** Seconds until a node that is up holds the jobs. */
    private static double untilHeld(SimulatedCluster w, double most) {
        double from = w.clock.now;
        while (!someoneHolds(w) && w.clock.now - from < most) {
            w.run(0.01);
        }
        return w.clock.now - from;
    }

    @Test
    void aLeaderThatIsBackAtOnceDoesNotWaitForItsOwnLease() {
        for (int nodes = 1; nodes <= 3; nodes += 2) {
            SimulatedCluster w = settled(nodes, 2);
            SimulatedNode first = w.leader();
            w.submit(first, job("j-1", Shape.ARRAY, 4, 1));
            first.crash();
            w.run(0.1);
            w.node(first.name);
            assertTrue(untilHeld(w, 10) < 0.25 * w.reportS, "with " + nodes + " nodes");
            w.run(60);
            assertEquals("done", w.status(w.leader(), "j-1"));
            assertEquals(List.of(), w.broken);
        }
    }

    @Test
    void theRecordOfAnEarlierVersionIsWaitedFor() {
        SimulatedCluster w = settled(1, 1);
        SimulatedNode first = w.leader();
        first.crash();
        // Written as before processes said when they began, and on which lease they lead.
        long lease = w.store.lease.get(StoreKeys.LEADER);
        w.store.put(
                StoreKeys.LEADER,
                Map.of("node", first.name, "token", w.store.token()),
                lease,
                ++w.store.revision);
        w.node(first.name);
        assertTrue(untilHeld(w, 20) <= 2 * w.reportS);
    }

    @Test
    void twoProcessesUnderOneNameDoNotEndEachOthersLeasesInTurns() {
        SimulatedCluster w = settled(2, 2);
        SimulatedNode first = w.leader();
        // Nobody ended it: a second one is started under its name.
        SimulatedNode second = new SimulatedNode(w, first.name);
        w.nodes.put(
                first.name,
                second); // Whoever asks for the name gets the later one; the other goes on.
        w.nodes.put("old", first);
        second.controller.start();
        long before = w.store.token();
        w.submit(second, job("j-1", Shape.ARRAY, 4, 1));
        w.run(120);
        assertTrue(w.store.token() - before <= 2, "leaders: " + (w.store.token() - before));
        assertEquals("done", w.status(second, "j-1"));
        assertEquals(0, first.controller.leadsWith(), "the later one stays");
        assertEquals(List.of(), w.broken);
    }

    @Test
    void aProcessThatStoodStillWhileAnotherTookItsNameStandsBack() {
        SimulatedCluster w = settled(1, 2);
        SimulatedNode first = w.leader();
        first.frozenUntil = w.clock.now + 20;
        w.run(1);
        SimulatedNode second = new SimulatedNode(w, first.name);
        w.nodes.put(first.name, second);
        w.nodes.put("old", first);
        second.controller.start();
        w.run(1);
        assertTrue(second.controller.leadsWith() > 0);
        long token = w.store.token();
        w.run(60);
        assertEquals(token, w.store.token());
        assertEquals(0, first.controller.leadsWith());
    }

    /** A node that ends again and again, after so many seconds of life, from now on. */
    private static void loop(
            SimulatedCluster w, String name, double lifeS, double downS, double until) {
        if (w.clock.now >= until) {
            return;
        }
        w.after(
                lifeS,
                () -> {
                    w.nodes.get(name).crash();
                    w.after(
                            downS,
                            () -> {
                                w.node(name);
                                loop(w, name, lifeS, downS, until);
                            });
                });
    }

    @Test
    void aNodeThatEndsAgainAndAgainCostsTheOthersLittle() {
        for (double lifeS : new double[] {0.2, 1, 5}) {
            SimulatedCluster w = settled(3, 4);
            String bad = w.leader().name;
            loop(w, bad, lifeS, 0.3, w.clock.now + 120);
            int accepted = 0;
            for (int i = 0; i < 20; i++) {
                SimulatedNode ok =
                        w.nodes.values().stream()
                                .filter(n -> !n.name.equals(bad))
                                .findFirst()
                                .orElseThrow();
                accepted += w.submit(ok, job("j-" + i, Shape.ARRAY, 4, 1)) != null ? 1 : 0;
                w.run(5.9);
            }
            assertTrue(accepted >= 19, "life " + lifeS + ": " + accepted);
            w.run(90);
            for (int i = 0; i < 20; i++) {
                assertEquals(
                        "done", w.status(w.leader(), "j-" + i), "life " + lifeS + ", job " + i);
            }
            assertEquals(List.of(), w.broken);
        }
    }

    @Test
    void allNodesThatEndTogetherEveryTwoSecondsLoseAndDoubleNothing() {
        SimulatedCluster w = settled(3, 4);
        w.workers.values().forEach(x -> x.runsFor = 25);
        w.submit(w.leader(), job("j-1", Shape.ARRAY, 12, 1));
        w.run(2);
        for (int i = 0; i < 15; i++) {
            w.nodes.values().forEach(SimulatedNode::crash);
            w.run(0.3);
            List.of("k0", "k1", "k2").forEach(w::node);
            w.run(1.7);
        }
        w.run(90);
        assertEquals("done", w.status(w.leader(), "j-1"));
        assertEquals(List.of(), w.broken);
        assertEquals(
                12, w.workers.values().stream().mapToInt(x -> x.started).sum(), "no work was lost");
    }

    /**
     * The leader ends with all its siblings; whichever node takes over ends in turn after its n-th
     * request, until no takeover has that many, and is back.
     */
    @Test
    void everyRequestOfATakeoverMayBeTheLastOfItsNode() {
        int points = 0;
        for (double backS : new double[] {0, 0.1, 0.5}) {
            for (int n = 1; n < 60; n++) {
                SimulatedCluster w = settled(2, 3);
                w.submit(w.leader(), job("j-1", Shape.ARRAY, 10, 1));
                w.submit(w.leader(), job("j-2", Shape.GANG, 2, 1));
                boolean[] hit = new boolean[1];
                w.nodes.values().forEach(SimulatedNode::crash);
                w.run(0.1);
                for (String name : List.of("k0", "k1")) {
                    SimulatedNode fresh = w.node(name);
                    fresh.endAfter(
                            n,
                            () -> {
                                hit[0] = true;
                                w.after(backS, () -> w.node(name));
                            });
                }
                w.run(12);
                boolean all = hit[0];
                points += all ? 1 : 0;
                w.nodes.values().forEach(x -> x.endsAfter = Integer.MAX_VALUE);
                w.run(80);
                assertEquals(
                        "done",
                        w.status(w.leader(), "j-1"),
                        "after request " + n + ", back after " + backS);
                assertEquals(
                        "done",
                        w.status(w.leader(), "j-2"),
                        "after request " + n + ", back after " + backS);
                assertEquals(List.of(), w.broken, "after request " + n + ", back after " + backS);
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
        SimulatedCluster w = Worlds.settled(3, 2);
        SimulatedNode first = w.leader();
        SimulatedNode[] stopped = new SimulatedNode[1];
        w.store.written =
                (by, t) -> {
                    if (stopped[0] == null
                            && by instanceof SimulatedNode n
                            && t.writes().stream()
                                    .anyMatch(
                                            x ->
                                                    x.key().equals(StoreKeys.LEADER)
                                                            && x.value() != null)) {
                        stopped[0] = n;
                        n.controller.stop();
                    }
                };
        first.kill();
        w.run(5);
        assertTrue(stopped[0] != null && stopped[0] != first);
        assertEquals(0, stopped[0].controller.leadsWith());
        assertTrue(w.leader() != stopped[0] && w.leader().controller.holds());
        assertEquals(List.of(), w.broken);
    }
}
