package io.kitepath.core;

import static io.kitepath.core.ConcurrentFaultsTest.other;
import static io.kitepath.core.ConcurrentFaultsTest.sessions;
import static io.kitepath.core.ConcurrentFaultsTest.starts;
import static io.kitepath.simulation.SimulatedCluster.job;
import static io.kitepath.simulation.SimulatedClusters.settled;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.Heartbeat.EndCause;
import io.kitepath.core.model.Heartbeat.TaskState;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Priority;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.simulation.SimulatedWorker;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Workers that reach no controller while direct commands reach them; all controllers away for
 * longer than a lease, back in any order; more work than room, urgent and not, over slow links.
 * Nothing runs twice or is left waiting, and what is stopped goes at once where it can be told.
 */
class UnreachableControllersTest {
    /** All that was accepted is over, as its users wanted. */
    private static void over(SimulatedCluster cluster, double within, String at) {
        cluster.invariants.troublesAreOver();
        cluster.run(within);
        assertEquals(List.of(), cluster.violations, at);
        for (String id : cluster.acceptedAt.keySet()) {
            var response = cluster.ask(cluster.leader(), id);
            assertEquals(Verdict.KNOWN, response.verdict(), at + ": " + id);
            assertEquals(
                    cluster.reportedCancelledAt.containsKey(id) ? "cancelled" : "done",
                    response.jobStatus().status(),
                    at + ": " + id);
        }
        assertTrue(
                cluster.leader().controller.shard.machines().values().stream()
                        .allMatch(machine -> machine.attempts().isEmpty()),
                at);
    }

    private static JobSpec of(JobSpec spec, Priority p) {
        return SimulatedCluster.with(spec, "red", p, false);
    }

    // ---- workers that can't open connections
    // ------------------------------------------------------

    /** Tasks of that job that were stopped by a command on machines that can't report it. */
    private static long stoppedOnMute(SimulatedCluster cluster, String jobId) {
        return cluster.workers.values().stream()
                .filter(worker -> worker.sendsNothing)
                .flatMap(worker -> worker.tasks.values().stream())
                .filter(
                        task ->
                                task.jobId.equals(jobId)
                                        && task.state == TaskState.ENDED
                                        && task.cause == EndCause.STOPPED)
                .count();
    }

    /**
     * {@code mute} of eight machines for so long; work is cancelled and gives way on them; perhaps
     * the leader ends.
     */
    private static long mute(
            int mute, double lasts, double cancelledAfter, double leaderEndsAfter) {
        SimulatedCluster cluster = settled(3, 8);
        cluster.cloud.capacity = 8;
        cluster.taskSeconds = id -> id.equals("j-3") ? 8 : 25;
        String at =
                mute
                        + " mute for "
                        + lasts
                        + ", cancelled after "
                        + cancelledAfter
                        + ", leader ends after "
                        + leaderEndsAfter;
        cluster.submit(cluster.leader(), of(job("j-1", Shape.ARRAY, 16, 1), Priority.LOW));
        cluster.submit(cluster.leader(), job("j-2", Shape.ARRAY, 8, 2));
        cluster.run(6);
        assertEquals(24, cluster.onMachines("j-1") + cluster.onMachines("j-2"), at);
        cluster.workers.values().stream().limit(mute).forEach(worker -> worker.sendsNothing = true);
        if (leaderEndsAfter >= 0) {
            cluster.after(
                    leaderEndsAfter,
                    () -> {
                        SimulatedNode n =
                                cluster.nodes.values().stream()
                                        .filter(x -> x.controller.leadership.isLeading())
                                        .findFirst()
                                        .orElseThrow();
                        n.kill();
                        cluster.after(0.3, () -> cluster.node(n.name));
                    });
        }
        cluster.after(
                lasts,
                () -> cluster.workers.values().forEach(worker -> worker.sendsNothing = false));
        cluster.run(cancelledAfter);
        cluster.loadGenerator.cancel(other(cluster, cluster.nodes.get("k0")), "j-2");
        cluster.submit(cluster.nodes.get("k1"), of(job("j-3", Shape.ARRAY, 6, 4), Priority.HIGH));
        cluster.run(1);
        long stopped = stoppedOnMute(cluster, "j-2") + stoppedOnMute(cluster, "j-1");
        cluster.run(lasts);
        over(cluster, 200, at);
        assertTrue(cluster.acceptedAt.keySet().containsAll(Set.of("j-1", "j-2", "j-3")), at);
        assertTrue(cluster.reportedCancelledAt.containsKey("j-2"), at);
        return stopped;
    }

    @Test
    void cancelledOrPreemptedTasksOnMachinesThatSendNothingAreStoppedDirectly() {
        int days = 0;
        int stopped = 0;
        for (int mute : new int[] {1, 3, 8}) {
            for (double lasts : new double[] {3, 12, 26}) {
                for (double after = 0.2; after < 10; after += 2.4) {
                    long now = mute(mute, lasts, after, -1);
                    // Told as long as their last reports are not so old that they may be gone.
                    if (after < 2 && lasts > after + 1) {
                        assertTrue(
                                now >= mute,
                                mute + " mute for " + lasts + " from " + after + " before: " + now);
                    }
                    stopped += now > 0 ? 1 : 0;
                    days++;
                }
            }
        }
        System.out.println("mute: " + days + " days, stops reached machines in " + stopped);
        assertTrue(stopped > days / 5, "stopped on " + stopped);
    }

    @Test
    void aLeaderCrashWhileMachinesSendNothingLosesNoTasks() {
        for (int mute : new int[] {1, 4, 8}) {
            for (double lasts : new double[] {5, 14}) {
                for (double ends = 0; ends < 10; ends += 2.5) {
                    mute(mute, lasts, 3, ends);
                }
            }
        }
    }

    /**
     * What waits begins elsewhere, also while machines that were placed on say nothing any more.
     */
    @Test
    void tasksPlacedOnMachinesThatSendNothingStartElsewhere() {
        for (double after = 0.1; after < 4; after += 0.3) {
            SimulatedCluster cluster = settled(3, 4);
            cluster.cloud.capacity = 4;
            cluster.taskSeconds = id -> 5;
            List<SimulatedWorker> lost = cluster.workers.values().stream().limit(2).toList();
            lost.forEach(worker -> worker.sendsNothing = true);
            cluster.run(after);
            cluster.submit(cluster.leader(), job("j-1", Shape.ARRAY, 4, 4));
            double from = cluster.clock.now;
            while (cluster.completedTasks.getOrDefault("j-1", Set.of()).size() < 4
                    && cluster.clock.now - from < 90) {
                cluster.run(1);
            }
            assertTrue(lost.stream().allMatch(worker -> worker.started == 0), "they were mute");
            // Until they count as silent, are given back and others are up; and what runs then.
            assertTrue(
                    cluster.clock.now - from < 2 * cluster.leaseSeconds + 15,
                    "after " + after + " took " + (cluster.clock.now - from));
            over(cluster, 60, "after " + after);
        }
    }

    // ---- all controllers are away
    // -----------------------------------------------------------------

    private static final int[][] ORDERS = {
        {0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}
    };

    private static void away(
            double from, double lasts, int[] order, double apart, boolean cancelled) {
        SimulatedCluster cluster = settled(3, 6);
        cluster.cloud.capacity = 6;
        cluster.taskSeconds = id -> 7 + Math.floorMod(id.hashCode(), 3) * 9;
        String at =
                "away after "
                        + from
                        + " for "
                        + lasts
                        + ", back "
                        + List.of(order[0], order[1], order[2])
                        + " each "
                        + apart
                        + (cancelled ? ", cancelled" : "");
        cluster.submit(cluster.leader(), job("j-1", Shape.ARRAY, 6, 1));
        cluster.submit(
                cluster.leader(),
                SimulatedCluster.with(job("j-2", Shape.GANG, 4, 2), "red", Priority.NORMAL, true));
        cluster.submit(cluster.leader(), job("j-3", Shape.ARRAY, 3, 1));
        cluster.run(4);
        long before = sessions(cluster);
        cluster.run(from);
        if (cancelled) {
            // In the moment before; its answer may or may not get out.
            cluster.loadGenerator.cancel(cluster.nodes.get("k1"), "j-3");
            cluster.run(0.005 * from);
        }
        cluster.submit(cluster.nodes.get("k2"), job("j-4", Shape.GANG, 2, 1));
        new ArrayList<>(cluster.nodes.values()).forEach(SimulatedNode::kill);
        for (int i = 0; i < 3; i++) {
            String name = "k" + order[i];
            cluster.after(lasts + i * apart, () -> cluster.node(name));
        }
        cluster.run(lasts + 2 * apart);
        if (lasts > cluster.leaseSeconds + cluster.heartbeatIntervalSeconds + 0.5) {
            assertTrue(
                    sessions(cluster) >= before + 6,
                    at + ": their leases ended, " + sessions(cluster) + " after " + before);
        }
        cluster.run(1);
        cluster.submit(cluster.nodes.get("k1"), job("j-5", Shape.ARRAY, 4, 1));
        cluster.loadGenerator.repeat(cluster.nodes.get("k0"), "j-1");
        over(cluster, 110, at);
        assertTrue(cluster.acceptedAt.keySet().containsAll(Set.of("j-1", "j-2", "j-3")), at);
        assertEquals(cancelled, cluster.reportedCancelledAt.containsKey("j-3"), at);
    }

    @Test
    void allControllersMayBeAwayForLongerThanALease() {
        int days = 0;
        for (double lasts : new double[] {8, 10.1, 14}) {
            for (int[] order : ORDERS) {
                for (double apart : new double[] {0, 0.4, 6}) {
                    away(2.5 * (days % 4), lasts, order, apart, days++ % 2 == 0);
                }
            }
        }
        assertEquals(54, days);
    }

    // ---- more work than room
    // ------------------------------------------------------------------------

    /**
     * Twice the work that there is room for, of all urgencies and two teams, over links that take
     * up to a second.
     */
    @Test
    void urgentWorkComesFirstOverSlowLinksAndNothingIsLeft() {
        double[] waits = new double[2];
        int[] counts = new int[2];
        int evictions = 0;
        for (long seed = 0; seed < 10; seed++) {
            Random random = new Random(seed);
            SimulatedCluster cluster = slow(random);
            Map<String, Double> handedIn = new HashMap<>();
            Map<String, Double> begun = new HashMap<>();
            cluster.clock.onTaskStart = task -> begun.putIfAbsent(task.jobId, cluster.clock.now);
            Set<String> urgent = new HashSet<>();
            int tasks = 0;
            for (int i = 0; i < 30; i++) {
                String id = "j-" + (100 + i);
                JobSpec spec = randomJob(id, random);
                handedIn.put(id, cluster.clock.now);
                if (spec.priority().ordinal() < 2) {
                    urgent.add(id);
                }
                tasks += spec.taskCount();
                cluster.submit(cluster.nodes.get("k" + i % 3), spec);
                cluster.run(0.5 + random.nextDouble() * 2);
            }
            assertTrue(begun.size() < 30, "seed " + seed + ": more work than room");
            long most = cluster.leader().controller.scheduler.preemption().evictions();
            evictions += (int) most;
            over(cluster, 400, "seed " + seed);
            assertEquals(30, cluster.acceptedAt.size(), "seed " + seed);
            most = cluster.leader().controller.scheduler.preemption().evictions();
            // Each task that gives way does so for one that is more urgent, and not over and over.
            assertTrue(
                    starts(cluster) <= tasks + most,
                    "seed " + seed + ": " + starts(cluster) + " starts of " + tasks + ", " + most);
            assertTrue(most <= 2 * tasks, "seed " + seed + ": " + most + " gave way for " + tasks);
            for (String id : handedIn.keySet()) {
                int urgencyClass = urgent.contains(id) ? 0 : 1;
                waits[urgencyClass] += begun.get(id) - handedIn.get(id);
                counts[urgencyClass]++;
            }
        }
        System.out.println(
                "more work than room: urgent waited "
                        + waits[0] / counts[0]
                        + ", other "
                        + waits[1] / counts[1]
                        + ", gave way "
                        + evictions);
        assertTrue(
                waits[0] / counts[0] < 0.5 * waits[1] / counts[1],
                waits[0] / counts[0] + " and " + waits[1] / counts[1]);
        assertTrue(evictions > 10, "gave way: " + evictions);
    }

    /** Draws in this order: priority, shape, tasks, CPUs, team; for a gang, whether in one zone. */
    private static JobSpec randomJob(String id, Random random) {
        Priority priority = Priority.values()[random.nextInt(Priority.values().length)];
        boolean gang = random.nextInt(4) == 0;
        return SimulatedCluster.with(
                job(
                        id,
                        gang ? Shape.GANG : Shape.ARRAY,
                        1 + random.nextInt(gang ? 4 : 8),
                        1 + random.nextInt(2)),
                random.nextBoolean() ? "red" : "blue",
                priority,
                gang && random.nextBoolean());
    }

    private static SimulatedCluster slow(Random random) {
        SimulatedCluster cluster = new SimulatedCluster();
        cluster.teams.put("red", new ClusterSettings.Team("red", 8, 20, 0, 0));
        cluster.teams.put("blue", new ClusterSettings.Team("blue", 8, 16, 0, 0));
        cluster.heartbeatIntervalSeconds = 2;
        cluster.leaseSeconds = 10;
        cluster.reportsChangesImmediately = true;
        cluster.taskSeconds = id -> 6 + Math.floorMod(id.hashCode(), 9);
        cluster.latencySeconds = () -> 0.01 + 0.3 * random.nextDouble() * random.nextDouble();
        cluster.directCommandDelaySeconds = 0.1 + random.nextDouble();
        for (int i = 0; i < 3; i++) {
            cluster.siblings.add("k" + i);
        }
        cluster.siblings.forEach(cluster::node);
        for (int i = 0; i < 6; i++) {
            cluster.worker(String.format("i-%06d", i), i % 2 == 0 ? "a" : "b");
        }
        cluster.run(14);
        return cluster;
    }
}
