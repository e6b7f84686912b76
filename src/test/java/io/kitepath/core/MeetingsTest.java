package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static io.kitepath.simulation.Worlds.settled;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.simulation.SimulatedWorker;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * The first four meetings of docs/meetings.md, each swept through its timing; {@link
 * MeetingsLateTest} has the others.
 */
class MeetingsTest {
    private SimulatedCluster w;

    static SimulatedNode other(SimulatedCluster w, SimulatedNode than) {
        return w.nodes.values().stream()
                .filter(n -> n != than && n.alive)
                .findFirst()
                .orElseThrow();
    }

    static long sessions(SimulatedCluster w) {
        return w.workers.values().stream().mapToLong(x -> x.session).sum();
    }

    static int starts(SimulatedCluster w) {
        return w.workers.values().stream().mapToInt(x -> x.started).sum();
    }

    private static void alone(SimulatedCluster w, SimulatedNode n) {
        n.cutFromStore = true;
        w.siblings.forEach(n.cutFrom::add);
    }

    private static void joined(SimulatedNode n) {
        n.cutFromStore = false;
        n.cutFrom.clear();
    }

    // ---- 1. the leader without store and siblings, with workers and users -----------------------

    /**
     * Cut for each half second of two leases, and cancelled through the others at three moments of
     * it.
     */
    @Test
    void aHolderAloneWithItsWorkersKeepsNothingThatOthersCancel() {
        for (double cut = 0.5; cut <= 2 * 10; cut += 0.5) {
            for (double cancelAfter : new double[] {0.1, 0.4, 0.9}) {
                w = settled(3, 4);
                w.runsFor = id -> 300;
                SimulatedNode holder = w.leader();
                w.submit(holder, job("j-1", Shape.ARRAY, 6, 1));
                w.submit(holder, job("j-2", Shape.ARRAY, 6, 1));
                w.run(5);
                alone(w, holder);
                w.run(cut * cancelAfter);
                var a = w.cancel(other(w, holder), "j-1");
                // Its own users are sent away or told what holds for ever, never how it was.
                var own = w.ask(holder, "j-1");
                assertTrue(
                        own == null
                                || own.verdict() == Verdict.LATER
                                || own.verdict() == Verdict.KNOWN);
                w.run(cut * (1 - cancelAfter));
                joined(holder);
                w.run(3);
                w.ask(holder, "j-1");
                w.run(40);
                String at = "cut " + cut + ", cancelled after " + cancelAfter;
                assertEquals(List.of(), w.broken, at);
                assertEquals(
                        a != null && a.verdict() == Verdict.KNOWN ? 0 : 6, w.onMachines("j-1"), at);
                assertEquals(6, w.onMachines("j-2"), at);
                assertEquals(0, w.dropped, at);
            }
        }
    }

    /** On and off again, around the end of each lease. */
    @Test
    void aHolderThatIsAloneAgainAndAgainChangesNothingForWorkAndUsers() {
        for (double period = 1.5; period <= 12; period += 0.75) {
            w = settled(3, 4);
            w.runsFor = id -> 500;
            SimulatedNode first = w.leader();
            w.submit(first, job("j-1", Shape.ARRAY, 8, 1));
            w.run(5);
            int before = starts(w);
            for (int i = 0; i < 8; i++) {
                alone(w, first);
                w.run(period);
                joined(first);
                w.run(period);
                w.ask(first, "j-1");
            }
            w.run(12);
            assertEquals(List.of(), w.broken, "period " + period);
            assertEquals(8, w.onMachines("j-1"), "period " + period);
            assertEquals(before, starts(w), "period " + period);
            assertTrue(first.controller.healthy());
        }
    }

    /**
     * A worker that lost the leader comes with its lease running; whoever hears nobody must not
     * keep it.
     */
    @Test
    void aNodeThatHearsNobodySendsWorkersOnAtOnce() {
        w = settled(3, 2);
        SimulatedNode cut = other(w, w.leader());
        alone(w, cut);
        w.run(8);
        HeartbeatResponse[] got = new HeartbeatResponse[1];
        cut.controller.heartbeat(
                new Heartbeat(
                        "i-000077",
                        "",
                        "m4",
                        "a",
                        false,
                        1,
                        9,
                        w.store.token(),
                        null,
                        List.of(
                                new Heartbeat.TaskStatus(
                                        "j-1", 0, 1, Heartbeat.TaskState.RUNNING, null))),
                c -> got[0] = c);
        w.run(0.05);
        assertEquals(HeartbeatResponse.elsewhere(null), got[0]);
    }

    // ---- 2. jobs of two or three tasks that end far apart, across a change of leader ------------

    private void endsFarApart(Shape shape, double crashAt, double backAfter, boolean second) {
        w = settled(3, 3);
        // Each fills a machine, so that the three tasks end apart: far, or in the moment of the
        // change.
        double[] run = {4, 11, 26};
        int i = 0;
        for (SimulatedWorker x : w.workers.values()) {
            x.runsFor = run[i++];
        }
        SimulatedNode holder = w.leader();
        w.submit(holder, job("j-1", shape, 3, 3));
        w.run(crashAt);
        int ended = w.completed.getOrDefault("j-1", java.util.Set.of()).size();
        SimulatedNode ends = w.leader();
        ends.crash();
        if (backAfter >= 0) {
            w.after(backAfter, () -> w.node(ends.name));
        }
        w.run(2.5);
        w.ask(other(w, ends), "j-1");
        if (second) {
            SimulatedNode next =
                    w.nodes.values().stream()
                            .filter(n -> n.alive && n.controller.leadership.leading())
                            .findFirst()
                            .orElse(null);
            if (next != null) {
                next.crash();
                w.after(0.3, () -> w.node(next.name));
            }
        }
        for (int s = 0; s < 60; s++) {
            w.run(1);
            w.ask(w.nodes.values().stream().filter(n -> n.alive).findFirst().orElseThrow(), "j-1");
        }
        String at =
                shape
                        + " crash at "
                        + crashAt
                        + " back "
                        + backAfter
                        + (second ? " twice" : "")
                        + ", ended "
                        + ended;
        assertEquals(List.of(), w.broken, at);
        assertEquals("done", w.status(w.leader(), "j-1"), at);
        assertEquals(3, starts(w), at);
        assertEquals(0, w.dropped, at);
    }

    @Test
    void tasksThatEndFarApartCountOnceAcrossAChangeOfLeader() {
        for (double crashAt = 0.5; crashAt < 30; crashAt += 0.25) {
            endsFarApart(Shape.ARRAY, crashAt, -1, false);
            endsFarApart(Shape.ARRAY, crashAt, 0.3, false);
            endsFarApart(Shape.ARRAY, crashAt, 0.3, true);
            endsFarApart(Shape.GANG, crashAt, 0.3, true);
        }
    }

    // ---- 3. controllers hand over and back, all end, one returns, also within a second
    // -----------

    @Test
    void handingOverAndBackLosesNothingAndTokensOnlyRise() {
        for (double gap = 0.05; gap < 3; gap += 0.15) {
            w = settled(3, 4);
            w.runsFor = id -> 400;
            w.submit(w.leader(), job("j-1", Shape.ARRAY, 8, 1));
            w.run(5);
            int before = starts(w);
            long token = w.store.token();
            for (int i = 0; i < 6; i++) {
                SimulatedNode n =
                        w.nodes.values().stream()
                                .filter(x -> x.alive && x.controller.leadership.leading())
                                .findFirst()
                                .orElse(null);
                if (n != null) {
                    n.controller.stop();
                    w.run(0.02);
                    n.crash();
                    w.after(gap, () -> w.node(n.name));
                }
                w.run(gap * 1.7);
                assertTrue(w.store.token() >= token);
                token = w.store.token();
            }
            check("gap " + gap, before);
        }
    }

    @Test
    void allEndAndOneReturns() {
        for (double back : new double[] {0.05, 0.2, 0.4, 0.9, 2, 5}) {
            for (int which = 0; which < 3; which++) {
                w = settled(3, 4);
                w.runsFor = id -> 400;
                w.submit(w.leader(), job("j-1", Shape.ARRAY, 8, 1));
                w.run(5);
                int before = starts(w);
                for (int round = 0; round < 3; round++) {
                    w.nodes.values().forEach(SimulatedNode::kill);
                    String k = "k" + which;
                    w.run(back);
                    w.node(k);
                    var a = w.ask(w.nodes.get(k), "j-1");
                    assertTrue(a == null || a.verdict() != Verdict.NOT_FOUND, "back " + back);
                    w.run(back + 1.5);
                }
                w.siblings.stream().filter(k -> !w.nodes.get(k).alive).forEach(w::node);
                check("back " + back + " k" + which, before);
            }
        }
    }

    private void check(String at, int startsBefore) {
        w.run(20);
        assertEquals(List.of(), w.broken, at);
        assertEquals(8, w.onMachines("j-1"), at);
        assertEquals(startsBefore, starts(w), at);
        assertEquals(0, w.dropped, at);
        long highest = w.workers.values().stream().mapToLong(x -> x.token).max().orElseThrow();
        assertEquals(w.store.token(), highest, at);
    }

    // ---- 4. an old report after newer ones, also of an earlier session or attempt
    // -----------------

    /**
     * Taken at every moment of a job's life, and brought to the next holder before and after the
     * machine's own report.
     */
    @Test
    void anOldReportBringsNothingBackWheneverItComes() {
        for (double takenAt = 0.5; takenAt < 14; takenAt += 1) {
            for (double arrives : new double[] {0.01, 0.6, 1.2, 2.5, 6, 25}) {
                w = settled(2, 3);
                w.runsFor = id -> 9;
                w.submit(w.leader(), job("j-1", Shape.ARRAY, 5, 2));
                w.run(takenAt);
                List<Heartbeat> old = new ArrayList<>();
                w.workers.values().forEach(x -> old.add(x.message()));
                // One loses its session, one its machine; the work goes on elsewhere.
                SimulatedWorker lost = w.workers.get("i-000000");
                lost.cut = true;
                w.run(13);
                lost.cut = false;
                w.run(1);
                SimulatedNode holder = w.leader();
                holder.crash();
                w.after(0.3, () -> w.node(holder.name));
                w.after(
                        arrives,
                        () ->
                                old.forEach(
                                        r ->
                                                w.nodes.values().stream()
                                                        .filter(n -> n.alive)
                                                        .forEach(
                                                                n ->
                                                                        n.controller.heartbeat(
                                                                                r, c -> {}))));
                w.run(70);
                String at = "taken at " + takenAt + ", arrives after " + arrives;
                assertEquals(List.of(), w.broken, at);
                assertEquals("done", w.status(w.leader(), "j-1"), at);
                assertEquals(0, w.dropped, at);
            }
        }
    }

    /** Of before its machine was given back, and another came under the same address. */
    @Test
    void anOldReportOfAMachineThatIsGoneIsOfNoOtherMachine() {
        w = settled(2, 2);
        w.runsFor = id -> 30;
        w.submit(w.leader(), job("j-1", Shape.ARRAY, 4, 2));
        w.run(5);
        SimulatedWorker gone = w.workers.get("i-000000");
        Heartbeat old = gone.message();
        gone.die();
        w.cloud.machines.remove(gone.id);
        SimulatedWorker next = w.worker("i-000007", "a");
        next.address = gone.id;
        w.run(30);
        assertNotNull(old);
        for (int i = 0; i < 20; i++) {
            w.nodes.values().forEach(n -> n.controller.heartbeat(old, c -> {}));
            w.run(1);
        }
        w.run(60);
        assertEquals("done", w.status(w.leader(), "j-1"));
        assertFalse(w.leader().controller.block.machines().containsKey(gone.id));
        assertEquals(List.of(), w.broken);
    }
}
