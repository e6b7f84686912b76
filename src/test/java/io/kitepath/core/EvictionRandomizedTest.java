package io.kitepath.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Priority;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.simulation.SimulatedCluster;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Random teams, priorities, guarantees and sizes want the same few machines, without any trouble.
 * With {@code -Dkitepath.seeds=N}: that many seeds, and {@code -Dkitepath.from=N}: from there. All
 * of them are played; what is wrong with any fails the test at the end, with its seed.
 */
class EvictionRandomizedTest {
    private static final int IN_CI = 60;
    private static final int JOBS = 8;
    private static final double LONGEST_PAUSE_SECONDS = 12;
    private static final List<String> TEAMS = List.of("red", "blue", "green");

    /** Over twice the mean time in which all of the work ends if one task runs at a time. */
    private static final double WORK_SECONDS = 3000;

    private final List<String> failures = new ArrayList<>();
    private long evictions;

    // Guards against work that is evicted and placed again without end, so that jobs never end.
    @Test
    void allJobsEndAndNoTaskGivesWayToAnotherTwice() {
        int runs = Math.max(IN_CI, Integer.getInteger("kitepath.seeds", 0));
        int from = Integer.getInteger("kitepath.from", 0);
        for (long seed = from; seed < from + runs; seed++) {
            play(seed);
        }
        System.out.println("evictions: " + runs + " runs, " + evictions + " evictions");
        assertEquals(List.of(), failures);
        assertTrue(evictions > runs, "only " + evictions + " evictions");
    }

    private void play(long seed) {
        Random random = new Random(seed);
        SimulatedCluster cluster = cluster(random);
        int tasks = 0;
        for (int i = 0; i < JOBS; i++) {
            JobSpec spec = job("j-" + (100 + i), random);
            tasks += spec.taskCount();
            cluster.submit(cluster.leader(), spec);
            cluster.run(random.nextDouble() * LONGEST_PAUSE_SECONDS);
        }
        cluster.run(WORK_SECONDS);
        for (String id : cluster.specs.keySet().stream().sorted().toList()) {
            String status = cluster.status(cluster.leader(), id);
            if (!status.equals("done")) {
                failures.add("seed " + seed + ": " + id + " is " + status);
            }
        }
        long evicted = cluster.leader().controller.scheduler.preemption().evictions();
        evictions += evicted;
        // Each task gives way to each other one at most once.
        if (evicted > tasks * tasks) {
            failures.add("seed " + seed + ": " + evicted + " evictions of " + tasks + " tasks");
        }
        cluster.violations.forEach(violation -> failures.add("seed " + seed + ": " + violation));
    }

    private static SimulatedCluster cluster(Random random) {
        SimulatedCluster cluster = new SimulatedCluster();
        cluster.heartbeatIntervalSeconds = 1 + random.nextInt(3);
        cluster.leaseSeconds = 5 * cluster.heartbeatIntervalSeconds;
        cluster.reportsChangesImmediately = true;
        cluster.taskSeconds = id -> 15 + Math.floorMod(id.hashCode() * 31, 7) * 12;
        for (String team : TEAMS) {
            int guaranteed = 2 * random.nextInt(5);
            cluster.teams.put(team, new ClusterSettings.Team(team, guaranteed, 0, 0, 0));
        }
        cluster.node("k0");
        int machines = 1 + random.nextInt(4);
        for (int i = 0; i < machines; i++) {
            cluster.worker(String.format("i-%06d", i), random.nextBoolean() ? "a" : "b");
        }
        cluster.run(6 + 2 * cluster.heartbeatIntervalSeconds);
        return cluster;
    }

    private static JobSpec job(String id, Random random) {
        boolean gang = random.nextInt(3) == 0;
        int cpus = 1 << random.nextInt(3);
        // One machine is enough for each gang, so that every job can end.
        int most = gang ? 4 / cpus : 6;
        return SimulatedCluster.job(
                        id, gang ? Shape.GANG : Shape.ARRAY, 1 + random.nextInt(most), cpus)
                .toBuilder()
                .team(TEAMS.get(random.nextInt(TEAMS.size())))
                .priority(Priority.values()[random.nextInt(Priority.values().length)])
                .singleZone(random.nextInt(3) == 0)
                .allowSpot(random.nextInt(3) == 0)
                .image("img-" + random.nextInt(3))
                .build();
    }
}
