package io.kitepath.core;

import static io.kitepath.core.ConcurrentFaultsTest.other;
import static io.kitepath.simulation.SimulatedCluster.job;
import static io.kitepath.simulation.SimulatedClusters.settled;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.service.JobSubmissionService.JobResponse;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Users ask at all nodes, again and again within milliseconds, and repeat the submission, right
 * after a job was accepted, ended or confirmed as cancelled; some cancel at once. No node may then
 * answer something older, whatever else meets.
 */
class AnswerConsistencyTest {
    /** Between two questions at the same node, and how many there are. */
    private static final double EVERY_S = 0.005;

    private static final int TIMES = 16;

    private int questions;
    private int lost;

    /**
     * From the moment in which the store has it that a job is accepted or over, so also before any
     * user was told.
     */
    private void storm(SimulatedCluster cluster, Random random) {
        cluster.store.onCommit =
                (client, transaction) ->
                        transaction.writes().stream()
                                .filter(
                                        write ->
                                                write.value() != null
                                                        && (write.key()
                                                                        .startsWith(
                                                                                StoreKeys.OPEN_JOBS)
                                                                || write.key()
                                                                        .startsWith(
                                                                                StoreKeys
                                                                                        .ENDED_JOBS)))
                                .forEach(
                                        write -> {
                                            String id =
                                                    write.key()
                                                            .substring(
                                                                    write.key().lastIndexOf('/')
                                                                            + 1);
                                            if (cluster.specs.containsKey(id)) {
                                                around(cluster, id, random);
                                            }
                                        });
    }

    private void around(SimulatedCluster cluster, String id, Random random) {
        for (String key : cluster.siblings) {
            for (int i = 0; i <= TIMES; i++) {
                boolean repeats = i == TIMES;
                cluster.after(
                        (repeats ? random.nextDouble() * TIMES : i + random.nextDouble()) * EVERY_S,
                        () -> {
                            SimulatedNode node = cluster.nodes.get(key);
                            if (node.alive && repeats) {
                                cluster.loadGenerator.repeat(node, id);
                            } else if (node.alive) {
                                cluster.loadGenerator.queryStatus(node, id);
                            }
                            questions += node.alive ? 1 : 0;
                        });
            }
        }
    }

    private static void kill(SimulatedCluster cluster, SimulatedNode node, double backAfterS) {
        if (node.alive) {
            node.kill();
            cluster.after(backAfterS, () -> cluster.node(node.name));
        }
    }

    /** All that was accepted ends, and every node says so. */
    private static void ends(SimulatedCluster cluster, double seconds, String at) {
        cluster.store.onCommit = (client, transaction) -> {};
        cluster.store.losesResponseOf = transaction -> false;
        cluster.latencySeconds = null;
        cluster.run(1);
        cluster.invariants.troublesAreOver();
        cluster.run(seconds);
        for (String id : cluster.acceptedAt.keySet()) {
            for (String key : cluster.siblings) {
                String status = cluster.status(cluster.nodes.get(key), id);
                assertTrue(
                        List.of("done", "cancelled").contains(status),
                        at + ": " + id + " is " + status);
            }
        }
        assertEquals(List.of(), cluster.violations, at);
    }

    /**
     * Requests that take from one to 600 ms, lost answers, nodes that end, come back or stand
     * still.
     */
    @Test
    void noNodeAnswersWithAnOlderStateUnderRandomFaults() {
        int accepted = 0;
        int cancelled = 0;
        for (long seed = 0; seed < 40; seed++) {
            Random random = new Random(seed);
            SimulatedCluster cluster = settled(3, 4);
            cluster.pollsRightAfterAnswers = true;
            cluster.taskSeconds = id -> 1 + Math.floorMod(id.hashCode(), 4);
            cluster.latencySeconds =
                    () -> 0.001 + random.nextDouble() * (random.nextInt(12) == 0 ? 0.6 : 0.01);
            cluster.store.losesResponseOf =
                    transaction -> {
                        boolean loses = !transaction.writes().isEmpty() && random.nextInt(12) == 0;
                        lost += loses ? 1 : 0;
                        return loses;
                    };
            cluster.cancelsOnCompletion = task -> Math.floorMod(task.jobId.hashCode(), 3) == 0;
            storm(cluster, random);
            for (int i = 0; i < 10; i++) {
                String id = "j-" + (100 + i);
                cluster.specs.put(
                        id,
                        job(id, i % 3 == 0 ? Shape.GANG : Shape.ARRAY, 1 + random.nextInt(2), 1));
                cluster.loadGenerator.repeat(cluster.nodes.get("k" + random.nextInt(3)), id);
                if (random.nextInt(3) == 0) {
                    SimulatedNode node = cluster.nodes.get("k" + random.nextInt(3));
                    cluster.after(
                            random.nextDouble() * 0.05,
                            () -> cluster.loadGenerator.cancel(cluster.nodes.get(node.name), id));
                }
                mayCrashOrFreezeOneNode(cluster, random);
                cluster.run(0.4 + random.nextDouble());
            }
            ends(cluster, 30, "seed " + seed);
            accepted += cluster.acceptedAt.size();
            cancelled += cluster.reportedCancelledAt.size();
        }
        System.out.println(
                "close looks: "
                        + accepted
                        + " accepted, "
                        + cancelled
                        + " cancelled, "
                        + questions
                        + " questions, "
                        + lost
                        + " answers lost");
        assertTrue(accepted > 300 && cancelled > 60 && questions > 30_000 && lost > 40);
    }

    private void mayCrashOrFreezeOneNode(SimulatedCluster cluster, Random random) {
        SimulatedNode node = cluster.nodes.get("k" + random.nextInt(3));
        switch (random.nextInt(6)) {
            case 0 ->
                    cluster.after(
                            random.nextDouble() * 0.1,
                            () -> kill(cluster, cluster.nodes.get(node.name), 0.3));
            case 1 ->
                    cluster.after(
                            random.nextDouble() * 0.1,
                            () -> node.frozenUntil = cluster.clock.now + random.nextDouble());
            default -> {}
        }
    }

    /**
     * The node that took the submission ends at each millisecond around its answer, and is back
     * after 0.3 s.
     */
    @Test
    void aJobAcceptedByANodeAsItCrashedIsKnownToAllNodes() {
        int told = 0;
        for (int holds = 0; holds < 2; holds++) {
            for (int ms = 0; ms <= 40; ms += 2) {
                SimulatedCluster cluster = settled(3, 2);
                cluster.pollsRightAfterAnswers = true;
                cluster.taskSeconds = id -> 2;
                cluster.latencySeconds = () -> 0.005;
                Random random = new Random(ms);
                storm(cluster, random);
                SimulatedNode taker =
                        holds == 1 ? cluster.leader() : other(cluster, cluster.leader());
                cluster.specs.put("j-1", job("j-1", Shape.ARRAY, 1, 1));
                cluster.loadGenerator.repeat(taker, "j-1");
                cluster.run(ms / 1000.0);
                kill(cluster, taker, 0.3);
                cluster.run(0.2);
                told += cluster.acceptedAt.size();
                cluster.loadGenerator.repeat(other(cluster, taker), "j-1");
                cluster.run(1);
                assertEquals(1, cluster.acceptedAt.size());
                ends(cluster, 25, "ends after " + ms + " ms" + (holds == 1 ? ", holding" : ""));
            }
        }
        assertTrue(told > 20, "told " + told);
    }

    /**
     * The id again with other needs, as one that waits for itself, or larger than can be kept:
     * known is known.
     */
    @Test
    void aRepeatWithAnotherBodyIsNeverRefusedOnceTheJobWasAccepted() {
        int known = 0;
        for (int way = 0; way < 3; way++) {
            for (int back = 0; back < 3; back++) {
                SimulatedCluster cluster = settled(3, 3);
                cluster.taskSeconds = id -> 4;
                cluster.submit(cluster.nodes.get("k1"), job("j-1", Shape.ARRAY, 1, 1));
                if (way == 1) {
                    cluster.cancel(cluster.nodes.get("k2"), "j-1");
                } else if (way == 2) {
                    cluster.run(10);
                    assertEquals("done", cluster.status(cluster.nodes.get("k1"), "j-1"));
                }
                kill(cluster, cluster.nodes.get("k" + back), 0.3);
                // Nobody of that name ever was there, so the same needs are refused for any other
                // id.
                var wrong =
                        List.of(
                                List.of("j-77"),
                                List.of("j-1"),
                                IntStream.range(0, 30).mapToObj(i -> "j-9" + i).toList(),
                                IntStream.range(0, 2000).mapToObj(i -> "j-8" + i).toList());
                for (int i = 0; i < 80; i++) {
                    SimulatedNode node = cluster.nodes.get("k" + i % 3);
                    List<String> needs = wrong.get(i / 3 % wrong.size());
                    JobResponse[] got = new JobResponse[1];
                    if (node.alive) {
                        node.controller
                                .jobApi()
                                .submit(
                                        job("j-1", Shape.ARRAY, 1 + i % 2, 1),
                                        needs,
                                        response -> got[0] = response);
                    }
                    cluster.run(0.03);
                    if (got[0] != null) {
                        assertTrue(
                                List.of(Verdict.KNOWN, Verdict.LATER).contains(got[0].verdict()),
                                got[0].toString());
                        known += got[0].verdict() == Verdict.KNOWN ? 1 : 0;
                    }
                }
                JobResponse[] other = new JobResponse[1];
                cluster.leader()
                        .controller
                        .jobApi()
                        .submit(
                                job("j-2", Shape.ARRAY, 1, 1),
                                List.of("j-77"),
                                response -> other[0] = response);
                cluster.run(0.2);
                assertEquals(Verdict.REFUSED, other[0].verdict());
                ends(cluster, 30, "way " + way + ", back " + back);
            }
        }
        assertTrue(known > 300, "known " + known);
    }

    // ---- answers on their way
    // ---------------------------------------------------------------------

    /** Asks there, and leaves what it hears, and when, to the story. */
    private static void ask(SimulatedNode node, String id, Consumer<JobResponse> hears) {
        node.deliver(() -> node.controller.jobApi().status(id, hears));
    }

    private static boolean says(JobResponse response, String status) {
        return response.verdict() == Verdict.KNOWN && response.jobStatus().status().equals(status);
    }

    /**
     * A node that was told of an end says so also to whoever asked it a moment before, when its
     * answer goes out later.
     */
    @Test
    void anAnswerInFlightIsNotOlderThanTheEndReceivedMeanwhile() {
        int met = 0;
        for (long seed = 0; seed < 60; seed++) {
            Random random = new Random(seed);
            SimulatedCluster cluster = settled(3, 2);
            cluster.taskSeconds = id -> 60;
            cluster.submit(cluster.leader(), job("j-1", Shape.ARRAY, 2, 1));
            cluster.run(4);
            cluster.latencySeconds = () -> 0.001 + random.nextDouble() * 0.06;
            double[] toldAt = {Double.POSITIVE_INFINITY};
            int[] onTheWay = new int[1];
            List<String> older = new ArrayList<>();
            for (String key : cluster.siblings) {
                for (int i = 0; i < 60; i++) {
                    cluster.after(
                            i * 0.004,
                            () -> {
                                double asked = cluster.clock.now;
                                ask(
                                        cluster.nodes.get(key),
                                        "j-1",
                                        response -> {
                                            // The canceller's word takes a millisecond to its
                                            // siblings.
                                            boolean after = cluster.clock.now > toldAt[0] + 0.0015;
                                            onTheWay[0] += after && asked < toldAt[0] ? 1 : 0;
                                            if (after && !says(response, "cancelled")) {
                                                older.add(key + " says " + response);
                                            }
                                        });
                            });
                }
            }
            cluster.after(
                    0.05,
                    () ->
                            cluster.nodes
                                    .get("k" + random.nextInt(3))
                                    .controller
                                    .jobApi()
                                    .cancel(
                                            "j-1",
                                            response -> {
                                                assertTrue(says(response, "cancelled"));
                                                toldAt[0] = cluster.clock.now;
                                            }));
            cluster.run(2);
            assertTrue(toldAt[0] < cluster.clock.now);
            assertEquals(List.of(), older, "seed " + seed);
            met += onTheWay[0];
        }
        assertTrue(met > 60, "on the way " + met);
    }

    /**
     * A node that has said that a job is accepted does not answer an earlier question with 404 any
     * more.
     */
    @Test
    void anAnswerInFlightIsNotOlderThanTheAcceptance() {
        int met = 0;
        for (long seed = 0; seed < 60; seed++) {
            Random random = new Random(seed);
            SimulatedCluster cluster = settled(3, 2);
            cluster.latencySeconds = () -> 0.001 + random.nextDouble() * 0.06;
            SimulatedNode node = cluster.nodes.get("k" + seed % 3);
            boolean[] accepted = new boolean[1];
            List<JobResponse> onTheWay = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                cluster.after(
                        i * 0.003,
                        () -> {
                            boolean before = !accepted[0];
                            ask(
                                    node,
                                    "j-1",
                                    response -> {
                                        if (before && accepted[0]) {
                                            onTheWay.add(response);
                                        }
                                    });
                        });
            }
            cluster.after(
                    0.02,
                    () ->
                            node.controller
                                    .jobApi()
                                    .submit(
                                            job("j-1", Shape.ARRAY, 1, 1),
                                            List.of(),
                                            response ->
                                                    accepted[0] =
                                                            response.verdict() == Verdict.CREATED));
            cluster.run(1);
            assertTrue(accepted[0]);
            assertTrue(
                    onTheWay.stream()
                            .noneMatch(response -> response.verdict() == Verdict.NOT_FOUND),
                    "seed " + seed + " " + onTheWay);
            met += onTheWay.size();
        }
        assertTrue(met > 60, "on the way " + met);
    }
}
