package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedClusters;
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.simulation.SimulatedWorker;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Two or three troubles within a lease of each other, while users cancel and ask: refusals of the
 * holder alone, outages, silent siblings, a holder without both, ends, standstills, watches that
 * hang, late transactions, late copies, machines that are cut off, hear nothing or stand still,
 * commands that are held up. The world's checker has the rules: nothing of a job is on a machine
 * cancel_s after any user was told that it is cancelled, nothing runs twice or goes back, and each
 * accepted job is answered within 75 s once all is over.
 */
class CancellationRandomizedTest {
    private static final int IN_CI = 60;

    private final class Run {
        final SimulatedCluster cluster = new SimulatedCluster();
        final Random random;
        final List<String> jobs = new ArrayList<>();
        int next = 100;
        double calm;

        Run(long seed) {
            random = new Random(seed);
            cluster.heartbeatIntervalSeconds = 2;
            cluster.leaseSeconds = 10;
            cluster.reportsChangesImmediately = true;
            cluster.cloud.capacity = 30;
            cluster.taskSeconds = id -> 60 + Math.floorMod(id.hashCode(), 7) * 20;
            for (int i = 0; i < 3; i++) {
                cluster.siblings.add("k" + i);
            }
            for (String key : cluster.siblings) {
                cluster.node(key).clockOffsetMillis = random.nextDouble() * 10 - 5;
            }
            for (int i = 0; i < 6; i++) {
                cluster.worker(String.format("i-%06d", i), i % 2 == 0 ? "a" : "b");
            }
            cluster.run(12);
        }

        private SimulatedNode any() {
            return cluster.nodes.get("k" + random.nextInt(3));
        }

        /** Mostly the one that holds, or held last. */
        private SimulatedNode holder() {
            return cluster.nodes.values().stream()
                    .filter(node -> node.alive && node.controller.leadership.isLeading())
                    .filter(node -> random.nextInt(8) > 0)
                    .findFirst()
                    .orElseGet(this::any);
        }

        private SimulatedNode other(SimulatedNode than) {
            SimulatedNode node = any();
            return node == than
                    ? cluster.nodes.get("k" + (Integer.parseInt(node.name.substring(1)) + 1) % 3)
                    : node;
        }

        private double upTo(double s) {
            return random.nextDouble() * s;
        }

        void trouble() {
            SimulatedNode leader = holder();
            SimulatedNode other = other(leader);
            int kind = random.nextInt(15);
            if (kind < 12) {
                disturbNodesOrStore(kind, leader, other);
            } else {
                disturbWorkers(kind);
            }
        }

        private void disturbNodesOrStore(int kind, SimulatedNode leader, SimulatedNode other) {
            switch (kind) {
                case 0, 1 -> {
                    leader.cutFromStore = true;
                    cluster.after(upTo(20), () -> leader.cutFromStore = false);
                }
                case 2, 3 -> cluster.store.outage(upTo(60));
                case 4 -> {
                    other.cutFrom.add(leader.name);
                    cluster.after(upTo(60), () -> other.cutFrom.remove(leader.name));
                }
                case 5 -> {
                    other.crash();
                    cluster.after(new double[] {0.1, 0.3, 5}[random.nextInt(3)], () -> back(other));
                }
                case 6 -> {
                    leader.crash();
                    cluster.after(
                            new double[] {0.1, 0.3, 5}[random.nextInt(3)], () -> back(leader));
                }
                case 7 ->
                        (random.nextBoolean() ? leader : other).frozenUntil =
                                cluster.clock.now + upTo(25);
                case 8 -> {
                    cluster.store.ignoresRequestsOf = client -> client == leader;
                    cluster.after(
                            upTo(40), () -> cluster.store.ignoresRequestsOf = client -> false);
                }
                case 9 -> {
                    cluster.store.executionDelaySeconds =
                            transaction -> random.nextInt(4) == 0 ? 2 + upTo(10) : 0;
                    cluster.after(
                            upTo(20), () -> cluster.store.executionDelaySeconds = transaction -> 0);
                }
                case 10, 11 -> {
                    leader.cutFromStore = true;
                    cluster.siblings.forEach(leader.cutFrom::add);
                    cluster.after(
                            upTo(25),
                            () -> {
                                leader.cutFromStore = false;
                                leader.cutFrom.clear();
                            });
                }
                default -> throw new IllegalArgumentException("kind " + kind);
            }
        }

        private void disturbWorkers(int kind) {
            switch (kind) {
                case 12 ->
                        cluster.workers.values().stream()
                                .filter(worker -> worker.up)
                                .skip(random.nextInt(3))
                                .findFirst()
                                .ifPresent(
                                        worker ->
                                                worker.hangingUntil = cluster.clock.now + upTo(20));
                case 13 -> {
                    double late = 0.6 + upTo(8);
                    cluster.directCommandHoldSeconds = () -> random.nextBoolean() ? late : 0;
                    cluster.duplicateDelaySeconds = () -> random.nextInt(4) == 0 ? 2 + upTo(15) : 0;
                    cluster.after(
                            upTo(30),
                            () -> {
                                cluster.directCommandHoldSeconds = () -> 0;
                                cluster.duplicateDelaySeconds = () -> 0;
                            });
                }
                default -> {
                    SimulatedWorker worker =
                            cluster.workers.values().stream()
                                    .filter(candidate -> candidate.up)
                                    .skip(random.nextInt(3))
                                    .findFirst()
                                    .orElse(null);
                    if (worker != null) {
                        worker.receivesNothing = random.nextBoolean();
                        worker.isCutOff = !worker.receivesNothing;
                        Heartbeat old = worker.currentHeartbeat();
                        cluster.after(
                                upTo(30), () -> any().controller.onHeartbeat(old, response -> {}));
                        cluster.after(upTo(12), () -> worker.receivesNothing = false);
                        cluster.after(upTo(12), () -> worker.isCutOff = false);
                    }
                }
            }
        }

        private void back(SimulatedNode node) {
            if (!cluster.nodes.get(node.name).alive) {
                cluster.node(node.name).clockOffsetMillis = node.clockOffsetMillis;
            }
        }

        void submit() {
            String id = "j-" + next++;
            var response =
                    cluster.submit(
                            any(),
                            job(
                                    id,
                                    random.nextInt(3) == 0 ? Shape.GANG : Shape.ARRAY,
                                    1 + random.nextInt(5),
                                    1));
            if (response != null && response.verdict() == Verdict.CREATED) {
                jobs.add(id);
            }
        }

        /** Users cancel, some twice at other nodes, some ask elsewhere. */
        void users() {
            for (int i = 0; i < 3 && !jobs.isEmpty(); i++) {
                String id = jobs.get(random.nextInt(jobs.size()));
                if (random.nextInt(2) == 0) {
                    cluster.cancel(any(), id);
                } else {
                    cluster.ask(any(), id);
                }
            }
        }

        void play() {
            for (int burst = 0; burst < 4; burst++) {
                for (int i = 0; i < 4; i++) {
                    submit();
                }
                cluster.run(6);
                double near = 1 + upTo(cluster.leaseSeconds);
                int troubles = 2 + random.nextInt(2);
                for (int i = 0; i < troubles; i++) {
                    trouble();
                    for (int q = 0; q < 3; q++) {
                        cluster.run(near / 9);
                        users();
                    }
                }
                for (int i = 0; i < 8; i++) {
                    cluster.run(upTo(14));
                    users();
                }
            }
            SimulatedClusters.endTroubles(cluster);
            cluster.siblings.forEach(key -> back(cluster.nodes.get(key)));
            calm = cluster.clock.now;
            Set<String> open = new HashSet<>(cluster.acceptedAt.keySet());
            while (!open.isEmpty() && cluster.clock.now - calm < 75) {
                open.removeIf(
                        id -> {
                            var response = cluster.ask(any(), id);
                            return response != null && response.verdict() == Verdict.KNOWN;
                        });
                cluster.run(1);
            }
            open.forEach(id -> cluster.violations.add("forgotten: " + id));
            cluster.run(500);
        }
    }

    @Test
    void noTaskOfACancelledJobRunsOnUnderRandomFaults() {
        int told = 0;
        int runs = Math.max(IN_CI, Integer.getInteger("kitepath.seeds", 0));
        for (long seed = 0; seed < runs; seed++) {
            Run r = new Run(seed);
            r.play();
            assertEquals(List.of(), r.cluster.violations, "seed " + seed);
            for (String id : r.jobs) {
                var response = r.cluster.ask(r.cluster.leader(), id);
                assertTrue(
                        response != null && response.verdict() == Verdict.KNOWN,
                        "seed " + seed + ": " + id + " " + response);
                assertEquals(
                        r.cluster.reportedCancelledAt.containsKey(id)
                                        || response.jobStatus().status().equals("cancelled")
                                ? "cancelled"
                                : "done",
                        response.jobStatus().status(),
                        "seed " + seed + ": " + id);
            }
            told += r.cluster.reportedCancelledAt.size();
        }
        System.out.println("cancellations: " + runs + " runs, " + told + " told to users");
        assertTrue(told > 5 * runs, "told: " + told);
    }
}
