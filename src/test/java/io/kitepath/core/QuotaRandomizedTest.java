package io.kitepath.core;

import static io.kitepath.core.ConcurrentFaultsTest.other;
import static io.kitepath.core.QuotaUnderFaultsTest.TEAMS;
import static io.kitepath.core.QuotaUnderFaultsTest.limited;
import static io.kitepath.core.QuotaUnderFaultsTest.whole;
import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.QuotaUnderFaultsTest.Lost;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Priority;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.simulation.SimulatedWorker;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Limits across leaders that end between any two writes, and with all troubles of {@link
 * QuotaUnderFaultsTest} at once.
 */
class QuotaRandomizedTest {
    private SimulatedCluster cluster;

    /**
     * The leader ends after each of its next requests, so between any two records of a gang that
     * has several, of an array and a service, which take the room that was called off a moment
     * before; some of the machines are cut off by then.
     */
    @Test
    void whatWasHalfWrittenAtTheLimitCountsForTheNextLeader() {
        int half = 0;
        for (int more = 1; more < 40; more += 2) {
            cluster = limited(10);
            cluster.teams.put("blue", new ClusterSettings.Team("blue", 0, 18, 0, 0));
            SimulatedWorker[] cut =
                    cluster.workers.values().stream().limit(3).toArray(SimulatedWorker[]::new);
            JobSpec gang =
                    SimulatedCluster.with(
                            job("j-21", Shape.GANG, 18, 1), "blue", Priority.NORMAL, false);
            cluster.submit(cluster.leader(), whole("red", 1));
            cluster.submit(
                    cluster.leader(),
                    SimulatedCluster.with(
                            job("j-20", Shape.ARRAY, 18, 1), "blue", Priority.NORMAL, false));
            cluster.run(5);
            assertEquals(18, cluster.invariants.usageOnMachines("blue")[0]);
            cluster.submit(cluster.leader(), gang);
            cluster.submit(cluster.leader(), whole("red", 2));
            SimulatedNode leader = cluster.leader();
            cluster.loadGenerator.cancel(leader, "j-20");
            cluster.loadGenerator.cancel(leader, "j-11");
            leader.crashAfterRequests(
                    more,
                    () -> {
                        for (SimulatedWorker worker : cut) {
                            Lost.CUT.begins(cluster, worker, 14);
                        }
                        cluster.after(0.3, () -> cluster.node(leader.name));
                    });
            cluster.run(3);
            int parts =
                    (int)
                            cluster.store.entries.keySet().stream()
                                    .filter(key -> key.startsWith(StoreKeys.JOB_PARTS + "j-21"))
                                    .count();
            half += parts > 0 && parts < 3 ? 1 : 0;
            // The gang that is on record by now is called off too, by half of the users.
            boolean off = more % 4 == 1;
            if (off) {
                cluster.loadGenerator.cancel(other(cluster, null), "j-21");
            }
            cluster.run(70);
            String when = "leader ends after " + more + " more requests";
            assertEquals(List.of(), cluster.violations, when);
            assertEquals(off ? 0 : 18, cluster.onMachines("j-21"), when);
            assertEquals(4, cluster.onMachines("j-12"), when);
            assertEquals(
                    off ? 0 : 18,
                    cluster.leader().controller.shard.quotaUsage().usedCpus("blue"),
                    1e-6,
                    when);
        }
        System.out.println("limits: half written " + half);
        assertTrue(half > 10, "half written " + half);
    }

    private static void trouble(SimulatedCluster cluster, Random random) {
        SimulatedNode leader =
                cluster.nodes.values().stream()
                        .filter(node -> node.alive && node.controller.fencingTokenIfLeading() > 0)
                        .findFirst()
                        .orElse(null);
        double lasts = random.nextDouble() * 3 * cluster.leaseSeconds;
        switch (random.nextInt(6)) {
            case 0, 1 -> cluster.cancelNow(1 + random.nextInt(3), lasts, random);
            case 2 ->
                    cluster.workers.values().stream()
                            .filter(worker -> worker.up && random.nextInt(4) == 0)
                            .forEach(
                                    worker ->
                                            Lost.values()[1 + random.nextInt(3)].begins(
                                                    cluster, worker, lasts));
            case 3 -> {
                if (leader != null) {
                    double back = 0.1 + random.nextInt(3);
                    leader.crashAfterRequests(
                            1 + random.nextInt(30),
                            () -> cluster.after(back, () -> cluster.node(leader.name)));
                }
            }
            case 4 -> {
                cluster.store.executionDelaySeconds =
                        transaction -> random.nextInt(4) == 0 ? 2 + random.nextDouble() * 10 : 0;
                cluster.after(
                        lasts / 2, () -> cluster.store.executionDelaySeconds = transaction -> 0);
            }
            default -> {
                cluster.store.losesResponseOf = transaction -> random.nextInt(3) == 0;
                cluster.after(
                        lasts / 2, () -> cluster.store.losesResponseOf = transaction -> false);
            }
        }
    }

    /** All of it together, with more work than the limits of three teams hold. */
    @Test
    void manyTeamsAtTheirLimitsInManyTroubles() {
        int cancelled = 0;
        int atLimit = 0;
        for (long seed = 0; seed < 30; seed++) {
            Random random = new Random(seed);
            cluster = limited(10);
            cluster.cloud.capacity = 30;
            cluster.pollsRightAfterAnswers = seed % 3 == 0;
            cluster.taskSeconds = id -> 15 + Math.floorMod(id.hashCode(), 5) * 12;
            for (int i = 0; i < 14; i++) {
                String team = TEAMS.get(i % 3);
                Shape shape = Shape.values()[random.nextInt(3)];
                JobSpec spec =
                        SimulatedCluster.with(
                                job(
                                        "j-" + (10 + i),
                                        shape,
                                        1 + random.nextInt(team.equals("blue") ? 3 : 4),
                                        1),
                                team,
                                Priority.NORMAL,
                                false);
                cluster.submit(cluster.nodes.get("k" + random.nextInt(3)), spec);
                cluster.run(random.nextDouble() * 3);
                if (i > 4 && random.nextBoolean()) {
                    trouble(cluster, random);
                }
                atLimit +=
                        cluster.invariants.usageOnMachines("red")[0] == 8
                                        || cluster.invariants.usageOnMachines("green")[0] == 5
                                ? 1
                                : 0;
            }
            cluster.run(3 * cluster.leaseSeconds);
            cluster.nodes.values().forEach(node -> node.crashesAfterRequests = Integer.MAX_VALUE);
            cluster.run(4);
            cluster.invariants.troublesAreOver();
            cluster.run(150);
            String when = "seed " + seed;
            assertEquals(List.of(), cluster.violations, when);
            cancelled += cluster.reportedCancelledAt.size();
            // Services go on; once they are called off as well, no team's limit has anything left
            // on it.
            cluster.specs.keySet().stream()
                    .sorted()
                    .forEach(id -> cluster.loadGenerator.cancel(other(cluster, null), id));
            cluster.run(3 * cluster.leaseSeconds);
            for (String t : TEAMS) {
                assertEquals(0, cluster.invariants.usageOnMachines(t)[0], when + " " + t);
                assertEquals(
                        0,
                        cluster.leader().controller.shard.quotaUsage().usedCpus(t),
                        1e-6,
                        when + " " + t);
            }
            assertEquals(List.of(), cluster.violations, when);
        }
        System.out.println("limits: " + cancelled + " cancelled, " + atLimit + " times at a limit");
        assertTrue(
                cancelled > 30 && atLimit > 60,
                cancelled + " cancelled, " + atLimit + " times at a limit");
    }
}
