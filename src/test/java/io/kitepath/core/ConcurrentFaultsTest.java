package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static io.kitepath.simulation.SimulatedClusters.settled;
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
 * The first four combinations of docs/concurrent-faults.md, each swept through its timing; {@link
 * ConcurrentDelaysTest} has the others.
 */
class ConcurrentFaultsTest {
    private SimulatedCluster cluster;

    static SimulatedNode other(SimulatedCluster cluster, SimulatedNode than) {
        return cluster.nodes.values().stream()
                .filter(node -> node != than && node.alive)
                .findFirst()
                .orElseThrow();
    }

    static long sessions(SimulatedCluster cluster) {
        return cluster.workers.values().stream().mapToLong(worker -> worker.session).sum();
    }

    static int starts(SimulatedCluster cluster) {
        return cluster.workers.values().stream().mapToInt(worker -> worker.started).sum();
    }

    private static void alone(SimulatedCluster cluster, SimulatedNode node) {
        node.cutFromStore = true;
        cluster.siblings.forEach(node.cutFrom::add);
    }

    private static void joined(SimulatedNode node) {
        node.cutFromStore = false;
        node.cutFrom.clear();
    }

    // ---- 1. the leader without store and siblings, with workers and users -----------------------

    /**
     * Cut for each half second of two leases, and cancelled through the others at three moments of
     * it.
     */
    @Test
    void anIsolatedLeaderKeepsNoTasksThatOtherNodesCancelled() {
        for (double cut = 0.5; cut <= 2 * 10; cut += 0.5) {
            for (double cancelAfter : new double[] {0.1, 0.4, 0.9}) {
                cluster = settled(3, 4);
                cluster.taskSeconds = id -> 300;
                SimulatedNode holder = cluster.leader();
                cluster.submit(holder, job("j-1", Shape.ARRAY, 6, 1));
                cluster.submit(holder, job("j-2", Shape.ARRAY, 6, 1));
                cluster.run(5);
                alone(cluster, holder);
                cluster.run(cut * cancelAfter);
                var response = cluster.cancel(other(cluster, holder), "j-1");
                // Its own users are sent away or told what holds for ever, never how it was.
                var own = cluster.ask(holder, "j-1");
                assertTrue(
                        own == null
                                || own.verdict() == Verdict.LATER
                                || own.verdict() == Verdict.KNOWN);
                cluster.run(cut * (1 - cancelAfter));
                joined(holder);
                cluster.run(3);
                cluster.ask(holder, "j-1");
                cluster.run(40);
                String at = "cut " + cut + ", cancelled after " + cancelAfter;
                assertEquals(List.of(), cluster.violations, at);
                assertEquals(
                        response != null && response.verdict() == Verdict.KNOWN ? 0 : 6,
                        cluster.onMachines("j-1"),
                        at);
                assertEquals(6, cluster.onMachines("j-2"), at);
                assertEquals(0, cluster.responsesDropped, at);
            }
        }
    }

    /** On and off again, around the end of each lease. */
    @Test
    void aRepeatedlyIsolatedLeaderDisturbsNeitherTasksNorUsers() {
        for (double period = 1.5; period <= 12; period += 0.75) {
            cluster = settled(3, 4);
            cluster.taskSeconds = id -> 500;
            SimulatedNode first = cluster.leader();
            cluster.submit(first, job("j-1", Shape.ARRAY, 8, 1));
            cluster.run(5);
            int before = starts(cluster);
            for (int i = 0; i < 8; i++) {
                alone(cluster, first);
                cluster.run(period);
                joined(first);
                cluster.run(period);
                cluster.ask(first, "j-1");
            }
            cluster.run(12);
            assertEquals(List.of(), cluster.violations, "period " + period);
            assertEquals(8, cluster.onMachines("j-1"), "period " + period);
            assertEquals(before, starts(cluster), "period " + period);
            assertTrue(first.controller.isHealthy());
        }
    }

    /**
     * A worker that lost the leader comes with its lease running; whoever hears nobody must not
     * keep it.
     */
    @Test
    void anIsolatedNodeRedirectsWorkersAtOnce() {
        cluster = settled(3, 2);
        SimulatedNode cut = other(cluster, cluster.leader());
        alone(cluster, cut);
        cluster.run(8);
        HeartbeatResponse[] got = new HeartbeatResponse[1];
        cut.controller.onHeartbeat(
                new Heartbeat(
                        "i-000077",
                        "",
                        "m4",
                        "a",
                        false,
                        1,
                        9,
                        cluster.store.leaderFencingToken(),
                        null,
                        List.of(
                                new Heartbeat.TaskStatus(
                                        "j-1", 0, 1, Heartbeat.TaskState.RUNNING, null))),
                response -> got[0] = response);
        cluster.run(0.05);
        assertEquals(HeartbeatResponse.redirectTo(null), got[0]);
    }

    // ---- 2. jobs of two or three tasks that end far apart, across a change of leader ------------

    private void endsFarApart(Shape shape, double crashAt, double backAfter, boolean second) {
        cluster = settled(3, 3);
        // Each fills a machine, so that the three tasks end apart: far, or in the moment of the
        // change.
        double[] run = {4, 11, 26};
        int i = 0;
        for (SimulatedWorker worker : cluster.workers.values()) {
            worker.taskSeconds = run[i++];
        }
        SimulatedNode holder = cluster.leader();
        cluster.submit(holder, job("j-1", shape, 3, 3));
        cluster.run(crashAt);
        int ended = cluster.completedTasks.getOrDefault("j-1", java.util.Set.of()).size();
        SimulatedNode ends = cluster.leader();
        ends.crash();
        if (backAfter >= 0) {
            cluster.after(backAfter, () -> cluster.node(ends.name));
        }
        cluster.run(2.5);
        cluster.ask(other(cluster, ends), "j-1");
        if (second) {
            SimulatedNode next =
                    cluster.nodes.values().stream()
                            .filter(node -> node.alive && node.controller.leadership.isLeading())
                            .findFirst()
                            .orElse(null);
            if (next != null) {
                next.crash();
                cluster.after(0.3, () -> cluster.node(next.name));
            }
        }
        for (int s = 0; s < 60; s++) {
            cluster.run(1);
            cluster.ask(
                    cluster.nodes.values().stream()
                            .filter(node -> node.alive)
                            .findFirst()
                            .orElseThrow(),
                    "j-1");
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
        assertEquals(List.of(), cluster.violations, at);
        assertEquals("done", cluster.status(cluster.leader(), "j-1"), at);
        assertEquals(3, starts(cluster), at);
        assertEquals(0, cluster.responsesDropped, at);
    }

    @Test
    void tasksThatEndFarApartCountOnceAcrossAFailover() {
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
            cluster = settled(3, 4);
            cluster.taskSeconds = id -> 400;
            cluster.submit(cluster.leader(), job("j-1", Shape.ARRAY, 8, 1));
            cluster.run(5);
            int before = starts(cluster);
            long token = cluster.store.leaderFencingToken();
            for (int i = 0; i < 6; i++) {
                SimulatedNode n =
                        cluster.nodes.values().stream()
                                .filter(x -> x.alive && x.controller.leadership.isLeading())
                                .findFirst()
                                .orElse(null);
                if (n != null) {
                    n.controller.stop();
                    cluster.run(0.02);
                    n.crash();
                    cluster.after(gap, () -> cluster.node(n.name));
                }
                cluster.run(gap * 1.7);
                assertTrue(cluster.store.leaderFencingToken() >= token);
                token = cluster.store.leaderFencingToken();
            }
            check("gap " + gap, before);
        }
    }

    @Test
    void allEndAndOneReturns() {
        for (double back : new double[] {0.05, 0.2, 0.4, 0.9, 2, 5}) {
            for (int which = 0; which < 3; which++) {
                cluster = settled(3, 4);
                cluster.taskSeconds = id -> 400;
                cluster.submit(cluster.leader(), job("j-1", Shape.ARRAY, 8, 1));
                cluster.run(5);
                int before = starts(cluster);
                for (int round = 0; round < 3; round++) {
                    cluster.nodes.values().forEach(SimulatedNode::kill);
                    String key = "k" + which;
                    cluster.run(back);
                    cluster.node(key);
                    var response = cluster.ask(cluster.nodes.get(key), "j-1");
                    assertTrue(
                            response == null || response.verdict() != Verdict.NOT_FOUND,
                            "back " + back);
                    cluster.run(back + 1.5);
                }
                cluster.siblings.stream()
                        .filter(key -> !cluster.nodes.get(key).alive)
                        .forEach(cluster::node);
                check("back " + back + " k" + which, before);
            }
        }
    }

    private void check(String at, int startsBefore) {
        cluster.run(20);
        assertEquals(List.of(), cluster.violations, at);
        assertEquals(8, cluster.onMachines("j-1"), at);
        assertEquals(startsBefore, starts(cluster), at);
        assertEquals(0, cluster.responsesDropped, at);
        long highest =
                cluster.workers.values().stream()
                        .mapToLong(worker -> worker.token)
                        .max()
                        .orElseThrow();
        assertEquals(cluster.store.leaderFencingToken(), highest, at);
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
                cluster = settled(2, 3);
                cluster.taskSeconds = id -> 9;
                cluster.submit(cluster.leader(), job("j-1", Shape.ARRAY, 5, 2));
                cluster.run(takenAt);
                List<Heartbeat> old = new ArrayList<>();
                cluster.workers.values().forEach(worker -> old.add(worker.currentHeartbeat()));
                // One loses its session, one its machine; the work goes on elsewhere.
                SimulatedWorker lost = cluster.workers.get("i-000000");
                lost.isCutOff = true;
                cluster.run(13);
                lost.isCutOff = false;
                cluster.run(1);
                SimulatedNode holder = cluster.leader();
                holder.crash();
                cluster.after(0.3, () -> cluster.node(holder.name));
                cluster.after(
                        arrives,
                        () ->
                                old.forEach(
                                        heartbeat ->
                                                cluster.nodes.values().stream()
                                                        .filter(node -> node.alive)
                                                        .forEach(
                                                                node ->
                                                                        node.controller.onHeartbeat(
                                                                                heartbeat,
                                                                                response -> {}))));
                cluster.run(70);
                String at = "taken at " + takenAt + ", arrives after " + arrives;
                assertEquals(List.of(), cluster.violations, at);
                assertEquals("done", cluster.status(cluster.leader(), "j-1"), at);
                assertEquals(0, cluster.responsesDropped, at);
            }
        }
    }

    /** Of before its machine was given back, and another came under the same address. */
    @Test
    void anOldReportOfAMachineThatIsGoneIsOfNoOtherMachine() {
        cluster = settled(2, 2);
        cluster.taskSeconds = id -> 30;
        cluster.submit(cluster.leader(), job("j-1", Shape.ARRAY, 4, 2));
        cluster.run(5);
        SimulatedWorker gone = cluster.workers.get("i-000000");
        Heartbeat old = gone.currentHeartbeat();
        gone.die();
        cluster.cloud.machines.remove(gone.id);
        SimulatedWorker next = cluster.worker("i-000007", "a");
        next.address = gone.id;
        cluster.run(30);
        assertNotNull(old);
        for (int i = 0; i < 20; i++) {
            cluster.nodes
                    .values()
                    .forEach(node -> node.controller.onHeartbeat(old, response -> {}));
            cluster.run(1);
        }
        cluster.run(60);
        assertEquals("done", cluster.status(cluster.leader(), "j-1"));
        assertFalse(cluster.leader().controller.shard.machines().containsKey(gone.id));
        assertEquals(List.of(), cluster.violations);
    }
}
