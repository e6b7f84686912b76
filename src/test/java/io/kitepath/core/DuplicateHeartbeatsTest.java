package io.kitepath.core;

import static io.kitepath.core.ConcurrentFaultsTest.other;
import static io.kitepath.core.ConcurrentFaultsTest.sessions;
import static io.kitepath.core.ConcurrentFaultsTest.starts;
import static io.kitepath.simulation.SimulatedCluster.job;
import static io.kitepath.simulation.SimulatedClusters.settled;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.shard.Machine;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Copies of reports that come once more, to every node as a leader begins or to that one when it
 * has acted: with the tokens of the last holder, of this one and of the one before, of machines
 * that are there, were lost or were given back. They start, end and prove nothing, and cost the
 * worker that sent the report neither its answer nor its lease.
 */
class DuplicateHeartbeatsTest {
    private SimulatedCluster cluster;
    private HeartbeatRecorder copies;

    private void startCluster(int nodes, int machines) {
        cluster = settled(nodes, machines);
        copies = new HeartbeatRecorder(cluster);
    }

    /** After so many seconds, the last report that each machine sent in them. */
    private List<Heartbeat> lastHeartbeatsDuring(double seconds) {
        Map<String, Heartbeat> last = new TreeMap<>();
        copies.keeps = heartbeat -> last.put(heartbeat.machineId(), heartbeat) == heartbeat;
        cluster.run(seconds);
        copies.keeps = heartbeat -> false;
        return new ArrayList<>(last.values());
    }

    static SimulatedNode leading(SimulatedCluster cluster) {
        return cluster.nodes.values().stream()
                .filter(node -> node.alive && node.controller.fencingTokenIfLeading() > 0)
                .findFirst()
                .orElse(null);
    }

    private void crashAndRestart(SimulatedNode node, double backAfter) {
        node.kill();
        cluster.after(backAfter, () -> cluster.node(node.name));
    }

    /** Until another token is the store's. */
    static void untilNextLeader(SimulatedCluster cluster) {
        long before = cluster.store.leaderFencingToken();
        for (int i = 0; i < 400 && cluster.store.leaderFencingToken() == before; i++) {
            cluster.run(0.05);
        }
        assertTrue(cluster.store.leaderFencingToken() > before);
    }

    private void repeat(double every, double forSeconds, Runnable action) {
        for (double after = every; after < forSeconds; after += every) {
            cluster.after(after, action);
        }
    }

    // ---- the answer to the real report
    // --------------------------------------------------------------

    /**
     * Seconds that eight small jobs waited for their start at most, on idle machines, with copies
     * coming or without.
     */
    private double latestStart(double offset, boolean withCopies) {
        startCluster(3, 4);
        cluster.taskSeconds = id -> 3;
        List<Heartbeat> old = lastHeartbeatsDuring(3);
        if (withCopies) {
            repeat(0.2, 40, () -> copies.bringAll(old));
        }
        cluster.run(offset);
        double latest = 0;
        for (int i = 0; i < 8; i++) {
            cluster.submit(cluster.leader(), job("j-" + (10 + i), Shape.ARRAY, 1, 1));
            double since = cluster.clock.now;
            while (starts(cluster) <= i && cluster.clock.now - since < 10) {
                cluster.run(0.05);
            }
            latest = Math.max(latest, cluster.clock.now - since);
            cluster.run(3.7);
        }
        assertEquals(List.of(), cluster.violations, "offset " + offset);
        assertEquals(8, starts(cluster), "offset " + offset);
        assertEquals(
                withCopies, copies.brought > 500 && copies.ofItsToken > 200, "offset " + offset);
        assertEquals(0, copies.launches, "offset " + offset);
        return latest;
    }

    /**
     * An idle machine's answer is held for work that may come; a copy of what it said before
     * neither takes nor ends it.
     */
    @Test
    void aCopiedHeartbeatDoesNotReceiveTheWorkersResponse() {
        for (double offset = 0.05; offset < 2.5; offset += 0.2) {
            double calm = latestStart(offset, false);
            double late = latestStart(offset, true);
            assertTrue(
                    late < calm + 0.1,
                    "offset " + offset + ": begun after " + late + " instead of " + calm);
        }
    }

    /**
     * How often workers with tasks were sent on without a word while a leader ended and the next
     * one read the jobs.
     */
    private int countEmptyAnswersInFailover(double slow, double takenBefore, boolean withCopies) {
        startCluster(3, 6);
        cluster.taskSeconds = id -> 200;
        cluster.submit(cluster.leader(), job("j-1", Shape.ARRAY, 6, 4));
        cluster.run(8);
        List<Heartbeat> old = lastHeartbeatsDuring(takenBefore + 2);
        long sessions = sessions(cluster);
        copies.sentOn = 0;
        cluster.store.extraLatencySeconds = slow;
        if (withCopies) {
            repeat(0.25, 12, () -> copies.bringAll(old));
        }
        crashAndRestart(cluster.leader(), 0.3);
        cluster.run(14);
        cluster.store.extraLatencySeconds = 0;
        cluster.run(20);
        String at = "slow " + slow + ", taken " + takenBefore;
        assertEquals(withCopies, copies.brought > 300, at);
        assertEquals(List.of(), cluster.violations, at);
        assertEquals(sessions, sessions(cluster), at);
        assertEquals(6, starts(cluster), at);
        return copies.sentOn;
    }

    /**
     * While nobody leads, or the jobs are read, workers with tasks wait for their answer: copies
     * don't send them away.
     */
    @Test
    void aCopyDoesNotTakeThePlaceOfAReportThatWaits() {
        for (double slow : new double[] {0, 0.2, 0.3, 0.4}) {
            for (double takenBefore = 0.1; takenBefore < 2.2; takenBefore += 0.4) {
                int calm = countEmptyAnswersInFailover(slow, takenBefore, false);
                int late = countEmptyAnswersInFailover(slow, takenBefore, true);
                assertTrue(
                        late <= calm,
                        "slow "
                                + slow
                                + ", taken "
                                + takenBefore
                                + ": "
                                + late
                                + " instead of "
                                + calm);
            }
        }
    }

    /**
     * A launch goes to the worker alone, so three reports without the task never say that a machine
     * hears nothing.
     */
    @Test
    void copiedHeartbeatsInAnOutageDoNotMarkAMachineAsMissingAnswers() {
        int during = 0;
        for (double moment = 1.5; moment < 2.8; moment += 0.05) {
            startCluster(3, 3);
            cluster.taskSeconds = id -> 20;
            List<Heartbeat> old = lastHeartbeatsDuring(3);
            repeat(0.1, 20, () -> copies.bringAll(old));
            cluster.run(moment);
            cluster.submit(cluster.leader(), job("j-1", Shape.ARRAY, 3, 4));
            cluster.store.outage(14);
            boolean[] anyMissesAnswers = new boolean[1];
            repeat(0.25, 60, () -> anyMissesAnswers[0] |= anyMachineMissesAnswers());
            cluster.run(12);
            during += starts(cluster) < 3 ? 1 : 0;
            cluster.run(70);
            assertEquals(List.of(), cluster.violations, "out at " + moment);
            assertFalse(anyMissesAnswers[0], "out at " + moment);
            assertEquals(3, starts(cluster), "out at " + moment);
        }
        assertTrue(during > 0, "no task was placed and not launched before the outage");
    }

    private boolean anyMachineMissesAnswers() {
        return cluster.nodes.values().stream()
                .flatMap(node -> node.controller.shard.machines().values().stream())
                .anyMatch(machine -> machine.isMissingResponses());
    }

    // ---- the newest that anybody had seen
    // ------------------------------------------------------------

    /**
     * The same tasks fail, are cleared and launched anew, so that each machine's past has other
     * attempts of them. Copies of all of it, up to the very last, come before or after the
     * machine's own next report, to each of three holders.
     */
    @Test
    void noLeaderTakesACopiedHeartbeatForTheCurrentState() {
        int ofItsToken = 0;
        for (double changes : new double[] {2.3, 4.6}) {
            for (double arrives = 0; arrives < 5; arrives += 0.9) {
                for (boolean all : new boolean[] {true, false}) {
                    startCluster(3, 4);
                    cluster.taskSeconds = id -> id.equals("j-1") ? 4 : 9;
                    cluster.jobsThatFailEverywhere.add("j-1");
                    copies.keeps = heartbeat -> true;
                    cluster.submit(cluster.leader(), job("j-1", Shape.ARRAY, 3, 1));
                    cluster.submit(cluster.leader(), job("j-2", Shape.GANG, 3, 2));
                    cluster.submit(cluster.leader(), job("j-3", Shape.ARRAY, 5, 1));
                    for (int i = 0; i < 3; i++) {
                        cluster.run(changes);
                        cluster.jobsThatFailEverywhere.clear();
                        SimulatedNode leader = leading(cluster);
                        if (leader != null) {
                            crashAndRestart(leader, 0.3);
                            untilNextLeader(cluster);
                        }
                        cluster.run(arrives);
                        SimulatedNode next = leading(cluster);
                        if (all || next == null) {
                            copies.bringAll(List.copyOf(copies.kept));
                        } else {
                            List.copyOf(copies.kept)
                                    .forEach(heartbeat -> copies.bring(heartbeat, next));
                        }
                        cluster.cancel(other(cluster, cluster.leader()), "j-3");
                    }
                    cluster.run(100);
                    String at =
                            "changes " + changes + ", arrives " + arrives + (all ? " for all" : "");
                    ofItsToken += copies.ofItsToken;
                    assertEquals(List.of(), cluster.violations, at);
                    assertEquals("done", cluster.status(cluster.leader(), "j-1"), at);
                    assertEquals("done", cluster.status(cluster.leader(), "j-2"), at);
                    assertTrue(
                            List.of("done", "cancelled")
                                    .contains(cluster.status(cluster.leader(), "j-3")),
                            at);
                    assertEquals(0, cluster.responsesDropped, at);
                    assertTrue(
                            cluster.leader().controller.shard.machines().values().stream()
                                    .allMatch(
                                            machine ->
                                                    machine.attempts().isEmpty()
                                                            && !machine.isMissingResponses()),
                            at);
                }
            }
        }
        assertTrue(ofItsToken > 50, "" + ofItsToken);
    }

    // ---- machines that are gone
    // -----------------------------------------------------------------------

    /**
     * Rented ones come up late; {@code every}: seconds between copies, each of a newer report than
     * the one before.
     */
    private void copiesOfALostMachineGiveItNoTasks(boolean returned, double dies, double every) {
        startCluster(3, 4);
        cluster.cloud.capacity = 20;
        cluster.cloud.bootSeconds = n -> 20;
        cluster.taskSeconds = id -> 15;
        cluster.submit(cluster.leader(), job("j-1", Shape.ARRAY, 4, 4));
        cluster.run(6 + dies);
        List<Heartbeat> old = lastHeartbeatsDuring(2).subList(0, 3);
        Set<String> dead = new HashSet<>();
        for (Heartbeat heartbeat : old) {
            dead.add(heartbeat.machineId());
            cluster.workers.get(heartbeat.machineId()).die();
            cluster.cloud.machines.remove(heartbeat.machineId());
        }
        String at = (returned ? "returned" : "died") + " after " + dies + ", copies every " + every;
        if (returned) {
            cluster.run(40); // The holder has given them back, and knows that they are gone.
            assertTrue(
                    cluster.leader().controller.shard.machines().keySet().stream()
                            .noneMatch(dead::contains),
                    at);
        }
        crashAndRestart(cluster.leader(), 0.3);
        untilNextLeader(cluster);
        cluster.submit(other(cluster, cluster.leader()), job("j-2", Shape.ARRAY, 8, 4));
        double began = cluster.clock.now;
        for (int i = 1; cluster.clock.now - began < 2 * cluster.leaseSeconds; i++) {
            long more = i;
            copies.bringAll(old.stream().map(heartbeat -> laterCopy(heartbeat, more)).toList());
            cluster.run(every);
            assertTrue(
                    cluster.leader().controller.shard.machines().values().stream()
                            .filter(machine -> dead.contains(machine.id))
                            .allMatch(DuplicateHeartbeatsTest::runsOnlyTheFirstJob),
                    at);
        }
        double calm = cluster.clock.now;
        cluster.invariants.troublesAreOver();
        while (!"done".equals(cluster.status(cluster.leader(), "j-2"))
                && cluster.clock.now - calm < 200) {
            cluster.run(1);
        }
        // Three leases until nearly all that seemed to be there is given up, a boot, and the jobs
        // themselves.
        assertTrue(
                cluster.clock.now - calm < 3 * cluster.leaseSeconds + 20 + 4 * 15,
                at + ": done after " + (cluster.clock.now - calm));
        cluster.run(20);
        assertEquals(List.of(), cluster.violations, at);
        assertEquals("done", cluster.status(cluster.leader(), "j-1"), at);
        assertTrue(
                cluster.leader().controller.shard.machines().keySet().stream()
                        .noneMatch(dead::contains),
                at);
    }

    private static Heartbeat laterCopy(Heartbeat heartbeat, long later) {
        return new Heartbeat(
                heartbeat.machineId(),
                heartbeat.address(),
                heartbeat.machineType(),
                heartbeat.zone(),
                heartbeat.spot(),
                heartbeat.agentIncarnation(),
                heartbeat.sequence() + later,
                heartbeat.fencingToken(),
                null,
                heartbeat.tasks());
    }

    private static boolean runsOnlyTheFirstJob(Machine machine) {
        return machine.attempts().stream().allMatch(attempt -> attempt.job.spec.id().equals("j-1"));
    }

    /**
     * The next leader knows the lost machines by copies of their heartbeats alone. None of them is
     * given tasks, and waiting tasks are placed on other machines.
     */
    @Test
    void aCopiedHeartbeatDoesNotReviveALostMachine() {
        for (double dies : new double[] {0.2, 25}) {
            for (double every : new double[] {0.5, 7}) {
                copiesOfALostMachineGiveItNoTasks(false, dies, every);
                copiesOfALostMachineGiveItNoTasks(true, dies, every);
            }
        }
    }
}
