package io.kitepath.core;

import static io.kitepath.core.MeetingsTest.other;
import static io.kitepath.core.MeetingsTest.sessions;
import static io.kitepath.core.MeetingsTest.starts;
import static io.kitepath.simulation.SimulatedCluster.job;
import static io.kitepath.simulation.Worlds.settled;
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
 * The last four meetings of docs/meetings.md: what comes late, is slow, or does not come at all.
 */
class MeetingsLateTest {
    // ---- 5. a command or its answer is held up for seconds, and the machine goes on
    // --------------

    /**
     * Stops for work of more right are held up; the same tasks are placed anew on the same machines
     * meanwhile.
     */
    @Test
    void aStopThatIsHeldUpEndsNothingThatWasPlacedSince() {
        for (double held = 0.6; held < 16; held += 0.8) {
            SimulatedCluster w = settled(2, 2);
            double late = held;
            w.directHeldS = () -> late;
            w.runsFor = id -> id.equals("j-1") ? 25 : 5;
            w.submit(w.leader(), job("j-1", Shape.ARRAY, 2, 4));
            w.run(4);
            assertEquals(2, w.onMachines("j-1"));
            w.submit(
                    w.leader(),
                    SimulatedCluster.with(
                            job("j-2", Shape.ARRAY, 2, 4), "red", Priority.HIGH, false));
            // The same tasks on the same machines, when those of more right have ended.
            w.run(60);
            assertEquals("done", w.status(w.leader(), "j-2"), "held " + held);
            assertEquals("done", w.status(w.leader(), "j-1"), "held " + held);
            assertEquals(6, starts(w), "held " + held);
            assertEquals(List.of(), w.broken, "held " + held);
        }
    }

    /**
     * A machine stands still with commands and answers under way, for less and for more than its
     * lease, and goes on.
     */
    @Test
    void aMachineThatStoodStillDoesNothingThatIsNotWantedAnyMore() {
        for (double stands = 1; stands < 26; stands += 1) {
            for (double at = 0.1; at < 2.5; at += 0.4) {
                SimulatedCluster w = settled(2, 3);
                w.runsFor = id -> 8;
                SimulatedWorker x = w.workers.get("i-000000");
                w.submit(w.leader(), job("j-1", Shape.ARRAY, 3, 4));
                w.run(at);
                x.hangsUntil = w.clock.now + stands;
                w.submit(
                        w.leader(),
                        SimulatedCluster.with(
                                job("j-2", Shape.ARRAY, 2, 4), "red", Priority.HIGH, false));
                w.run(3);
                w.cancel(w.leader(), "j-2");
                w.run(70);
                String when = "stands " + stands + " from " + at;
                assertEquals(List.of(), w.broken, when);
                assertEquals("done", w.status(w.leader(), "j-1"), when);
            }
        }
    }

    // ---- 6. the store answers slowly, also during a takeover
    // --------------------------------------

    @Test
    void aSlowStoreDelaysButForgetsAndDoublesNothing() {
        for (double slow : new double[] {0.05, 0.2, 0.4, 0.8, 1.2}) {
            for (boolean takeover : new boolean[] {false, true}) {
                SimulatedCluster w = settled(3, 4);
                w.runsFor = id -> 20;
                w.submit(w.leader(), job("j-1", Shape.ARRAY, 8, 1));
                w.run(4);
                long before = sessions(w);
                w.store.slowS = slow;
                List<String> handedIn = new ArrayList<>(List.of("j-1"));
                for (int i = 0; i < 10; i++) {
                    String id = "j-" + (10 + i);
                    w.submit(
                            w.nodes.get("k" + i % 3),
                            job(id, i % 3 == 0 ? Shape.GANG : Shape.ARRAY, 2, 1));
                    handedIn.add(id);
                    if (i == 4 && takeover) {
                        SimulatedNode n =
                                w.nodes.values().stream()
                                        .filter(x -> x.controller.leadership.leading())
                                        .findFirst()
                                        .orElse(w.nodes.get("k0"));
                        n.kill();
                        w.after(0.3, () -> w.node(n.name));
                    }
                    if (i == 6) {
                        w.cancel(w.nodes.get("k1"), "j-13");
                    }
                    w.run(2.5);
                    w.ask(w.nodes.get("k" + (i + 1) % 3), handedIn.get(i / 2));
                }
                w.store.slowS = 0;
                w.run(60);
                String at = "slow " + slow + (takeover ? " with a takeover" : "");
                for (String id : handedIn) {
                    var a = w.ask(w.leader(), id);
                    // One whose user heard nothing may or may not be there.
                    if (w.accepted.containsKey(id)) {
                        assertEquals(
                                w.toldCancelled.containsKey(id) ? "cancelled" : a.state().status(),
                                a.state().status(),
                                at);
                        assertTrue(
                                List.of("done", "cancelled").contains(a.state().status()),
                                at + " " + a);
                    }
                }
                if (slow < 0.3) {
                    assertEquals(before, sessions(w), at);
                }
                assertEquals(List.of(), w.broken, at);
                assertEquals(0, w.dropped, at);
            }
        }
    }

    /**
     * No herd: what all nodes ask of a store that is out stays few a second, whoever waits for it.
     */
    @Test
    void anOutageIsNotAnsweredWithAHerd() {
        SimulatedCluster w = settled(3, 6);
        w.submit(w.leader(), job("j-1", Shape.ARRAY, 8, 1));
        w.run(4);
        w.store.outage(40);
        int before = w.nodes.values().stream().mapToInt(n -> n.requests).sum();
        for (int i = 0; i < 40; i++) {
            for (SimulatedNode n : w.nodes.values()) {
                n.controller.registry().status("j-1", a -> {});
                n.controller.registry().cancel("j-1", a -> {});
            }
            w.run(0.98);
        }
        int asked = w.nodes.values().stream().mapToInt(n -> n.requests).sum() - before;
        // Three nodes, of them one that renews, proves, writes and follows: a few each a second.
        assertTrue(asked < 40 * 3 * 12, "requests " + asked);
    }

    // ---- 7. a transaction without an answer is carried out late, after newer ones
    // -----------------

    /** A day in which everybody who writes anything writes something. */
    private static SimulatedCluster day(
            int which, double late, int[] count, Map<String, Integer> kinds, double crashAt) {
        SimulatedCluster w = settled(3, 4);
        w.cloud.capacity = 8;
        w.runsFor = id -> 7;
        w.store.late =
                t -> {
                    if (count[0]++ == which) {
                        t.writes()
                                .forEach(
                                        x ->
                                                kinds.merge(
                                                        x.key().replaceAll("[0-9]+.*", ""),
                                                        1,
                                                        Integer::sum));
                        return late;
                    }
                    return 0;
                };
        SimulatedNode a = w.leader();
        w.submit(a, job("j-1", Shape.ARRAY, 6, 2));
        w.submit(other(w, a), job("j-2", Shape.GANG, 4, 2));
        w.submit(a, job("j-3", Shape.ARRAY, 2, 1), "j-1");
        w.submit(a, job("j-4", Shape.ARRAY, 2, 1), "j-2");
        w.run(2);
        w.cancel(other(w, a), "j-2");
        w.run(3);
        if (crashAt > 0) {
            w.run(crashAt);
            SimulatedNode n =
                    w.nodes.values().stream()
                            .filter(x -> x.controller.leadership.leading())
                            .findFirst()
                            .orElse(a);
            n.kill();
            w.after(0.3, () -> w.node(n.name));
        }
        w.run(4);
        // The same ids again, by users who heard nothing.
        for (String id : List.of("j-1", "j-2", "j-3")) {
            w.submit(
                    w.nodes.get("k1"),
                    w.specs.get(id),
                    w.needs.getOrDefault(id, List.of()).toArray(String[]::new));
        }
        w.cancel(w.nodes.get("k2"), "j-2");
        w.submit(w.nodes.get("k0"), job("j-5", Shape.ARRAY, 60, 2));
        w.run(14);
        for (int i = 0; i < 14; i++) {
            w.run(4);
            for (String id : List.of("j-1", "j-2", "j-3", "j-4", "j-5")) {
                w.ask(w.nodes.get("k" + i % 3), id);
            }
        }
        w.run(90);
        return w;
    }

    @Test
    void eachWriteOfADayMayArriveAfterNewerOnes() {
        Map<String, Integer> kinds = new TreeMap<>();
        int days = 0;
        for (double late : new double[] {2, 5.5, 12}) {
            int[] all = new int[1];
            day(-1, late, all, kinds, 1);
            for (int i = 0; i < all[0]; i += 1) {
                SimulatedCluster w = day(i, late, new int[1], kinds, 1);
                String at = "write " + i + " late by " + late;
                assertEquals(List.of(), w.broken, at);
                for (String id : w.accepted.keySet()) {
                    String status = w.status(w.leader(), id);
                    boolean gone = w.toldCancelled.containsKey(id);
                    assertTrue(
                            status.equals(gone ? "cancelled" : "done")
                                    || id.equals("j-4") && status.equals("cancelled"),
                            at + ": " + id + " is " + status);
                }
                assertEquals(
                        0,
                        w.store.keys.keySet().stream()
                                .filter(k -> k.startsWith(StoreKeys.OPEN))
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
            SimulatedCluster w = settled(3, 5);
            w.cloud.capacity = 10;
            w.runsFor = id -> 6 + Math.floorMod(id.hashCode(), 9);
            w.store.late = t -> random.nextInt(3) == 0 ? 2 + random.nextDouble() * 10 : 0;
            for (int i = 0; i < 12; i++) {
                w.submit(
                        w.nodes.get("k" + random.nextInt(3)),
                        job(
                                "j-" + (10 + i),
                                i % 3 == 0 ? Shape.GANG : Shape.ARRAY,
                                1 + random.nextInt(4),
                                1));
                w.run(random.nextDouble() * 4);
                if (random.nextInt(4) == 0) {
                    w.cancel(
                            w.nodes.get("k" + random.nextInt(3)),
                            "j-" + (10 + random.nextInt(i + 1)));
                }
                if (random.nextInt(5) == 0) {
                    SimulatedNode n = w.nodes.get("k" + random.nextInt(3));
                    n.kill();
                    w.after(0.3, () -> w.node(n.name));
                }
            }
            w.run(10);
            w.store.late = t -> 0;
            w.run(120);
            for (String id : w.accepted.keySet()) {
                var a = w.ask(w.leader(), id);
                assertTrue(
                        a.verdict() == Verdict.KNOWN
                                && List.of("done", "cancelled").contains(a.state().status()),
                        "seed " + seed + ": " + id + " " + a);
            }
            assertEquals(List.of(), w.broken, "seed " + seed);
        }
    }

    // ---- 8. a leader ends while machines with long tasks can't be reached or hear nothing
    // -----------

    private static void unreachable(double leaderEnds, double lasts, boolean deaf, Shape shape) {
        SimulatedCluster w = settled(3, 8);
        w.cloud.capacity =
                8; // For the machines that are given back, as what hears nobody is after three
        // leases.
        w.runsFor = id -> 90;
        JobSpec s = job("j-1", shape, 4, 4);
        w.submit(
                w.leader(),
                shape == Shape.GANG ? SimulatedCluster.with(s, "red", Priority.NORMAL, true) : s);
        w.run(6);
        List<SimulatedWorker> lost =
                w.workers.values().stream().filter(x -> !x.tasks.isEmpty()).limit(2).toList();
        w.run(2);
        lost.forEach(
                x -> {
                    x.deaf = deaf;
                    x.cut = !deaf;
                });
        w.run(leaderEnds);
        SimulatedNode n = w.leader();
        n.kill();
        w.after(0.3, () -> w.node(n.name));
        w.run(lasts);
        lost.forEach(
                x -> {
                    x.deaf = false;
                    x.cut = false;
                });
        w.run(280);
        String at =
                shape
                        + " leader ends after "
                        + leaderEnds
                        + ", lasts "
                        + lasts
                        + (deaf ? " deaf" : " cut");
        assertEquals(List.of(), w.broken, at);
        assertEquals("done", w.status(w.leader(), "j-1"), at);
        assertTrue(
                w.leader().controller.block.machines().values().stream()
                        .allMatch(m -> m.attempts().isEmpty()),
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
