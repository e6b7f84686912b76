package io.kitepath.core;

import static io.kitepath.core.DuplicateHeartbeatsTest.leading;
import static io.kitepath.core.DuplicateHeartbeatsTest.untilNextLeader;
import static io.kitepath.simulation.SimulatedCluster.job;
import static io.kitepath.simulation.SimulatedClusters.settled;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.simulation.SimulatedWorker;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Reports that come once more among other troubles, in days drawn by seed; {@link
 * DuplicateHeartbeatsTest} has each by itself.
 */
class DuplicateHeartbeatsRandomizedTest {
    private static final int SEEDS_IN_CI = 8;

    private int heldUp;

    /**
     * Copied heartbeats, held answers and commands, machines that hang, are cut off or receive
     * nothing, and leaders that change. Returns how many copies had their leader's fencing token.
     */
    private int runSeed(long seed) {
        Random random = new Random(seed);
        SimulatedCluster cluster = settled(3, 5);
        HeartbeatRecorder copies = new HeartbeatRecorder(cluster);
        cluster.cloud.capacity = 10;
        cluster.taskSeconds = id -> 5 + Math.floorMod(id.hashCode(), 9) * 4;
        copies.keeps = heartbeat -> random.nextInt(3) == 0;
        copies.answerHeldS = () -> random.nextInt(6) == 0 ? random.nextDouble() * 5 : 0;
        cluster.directCommandHoldSeconds =
                () -> random.nextInt(3) == 0 ? 0.6 + random.nextDouble() * 9 : 0;
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < 14; i++) {
            String id = "j-" + (10 + i);
            var response =
                    cluster.submit(
                            cluster.nodes.get("k" + random.nextInt(3)),
                            job(
                                    id,
                                    i % 3 == 0 ? Shape.GANG : Shape.ARRAY,
                                    1 + random.nextInt(4),
                                    1 + random.nextInt(2)));
            if (response != null && response.verdict() == Verdict.CREATED) {
                jobs.add(id);
            }
            cluster.run(random.nextDouble() * 5);
            if (random.nextInt(3) == 0 && !jobs.isEmpty()) {
                cluster.cancel(
                        cluster.nodes.get("k" + random.nextInt(3)),
                        jobs.get(random.nextInt(jobs.size())));
            }
            disturbOneMachine(cluster, random);
            mayChangeLeader(cluster, random);
            if (random.nextBoolean()) {
                List<Heartbeat> some =
                        copies.kept.stream().filter(heartbeat -> random.nextInt(3) == 0).toList();
                cluster.after(random.nextDouble() * 3, () -> copies.bringAll(some));
            }
        }
        copies.answerHeldS = () -> 0;
        cluster.directCommandHoldSeconds = () -> 0;
        copies.keeps = heartbeat -> false;
        cluster.run(15);
        cluster.invariants.troublesAreOver();
        copies.bringAll(copies.kept);
        cluster.run(200);
        checkEndOf(jobs, cluster, seed);
        assertEquals(List.of(), cluster.violations, "seed " + seed);
        assertTrue(copies.brought > 50, "seed " + seed + ": " + copies.brought);
        heldUp += copies.late;
        assertFalse(
                cluster.leader().controller.shard.machines().values().stream()
                        .anyMatch(machine -> machine.isMissingResponses()),
                "seed " + seed);
        return copies.ofItsToken;
    }

    /** Hangs, cuts off, deafens or ends one machine, or leaves all as they are. */
    private static void disturbOneMachine(SimulatedCluster cluster, Random random) {
        List<SimulatedWorker> up =
                cluster.workers.values().stream().filter(worker -> worker.up).toList();
        SimulatedWorker worker = up.get(random.nextInt(up.size()));
        double lasts = random.nextDouble() * 15;
        switch (random.nextInt(8)) {
            case 0 -> worker.hangingUntil = cluster.clock.now + lasts;
            case 1 -> {
                worker.isCutOff = true;
                cluster.after(lasts, () -> worker.isCutOff = false);
            }
            case 2 -> {
                worker.receivesNothing = true;
                cluster.after(lasts, () -> worker.receivesNothing = false);
            }
            case 3 -> {
                worker.die();
                cluster.cloud.machines.remove(worker.id);
            }
            default -> {}
        }
    }

    private static void mayChangeLeader(SimulatedCluster cluster, Random random) {
        SimulatedNode node = leading(cluster);
        if (node != null && random.nextInt(3) == 0) {
            node.kill();
            cluster.after(0.3, () -> cluster.node(node.name));
            untilNextLeader(cluster);
            if (random.nextBoolean()) {
                cluster.run(random.nextDouble() * 4);
            }
        }
    }

    private static void checkEndOf(List<String> jobs, SimulatedCluster cluster, long seed) {
        for (String id : jobs) {
            var response = cluster.ask(cluster.leader(), id);
            assertTrue(
                    response != null && response.verdict() == Verdict.KNOWN,
                    "seed " + seed + ": " + id + " " + response);
            assertEquals(
                    cluster.reportedCancelledAt.containsKey(id) ? "cancelled" : "done",
                    response.jobStatus().status(),
                    "seed " + seed + ": " + id);
        }
    }

    @Test
    void whateverIsHeldUpNothingRunsTwiceOrIsLost() {
        int runs = Math.max(SEEDS_IN_CI, Integer.getInteger("kitepath.seeds", 0));
        int ofItsToken = 0;
        for (long seed = 0; seed < runs; seed++) {
            ofItsToken += runSeed(seed);
        }
        assertTrue(ofItsToken > 5 * runs && heldUp > 8 * runs, ofItsToken + ", " + heldUp);
    }
}
