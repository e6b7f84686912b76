package io.kitepath.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Priority;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedClusters;
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.simulation.SimulatedWorker;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Two or three of all troubles within a lease of each other, while users look closely, repeat what
 * they sent, and call jobs off as they end. Also drawn: leases, report intervals and cancel_s as
 * tight as deployments have them, 1 to 5 nodes, a store with low limits, teams at their limits,
 * jobs bound to one zone or spread. With {@code -Dkitepath.seeds=N}: that many, and {@code
 * -Dkitepath.from=N}: from there. All of them are played; what is wrong with any fails the test at
 * the end, with its seed.
 */
class AllTroublesSeedsTest {
    private static final int IN_CI = 60;
    private static final int KINDS = 22;

    static final class Run {
        final SimulatedCluster cluster = new SimulatedCluster();
        final Random random;
        final List<String> jobs = new ArrayList<>();
        final Map<Integer, Integer> met;
        int next = 100;

        Run(long seed, Map<Integer, Integer> met) {
            this.met = met;
            random = new Random(seed);
            cluster.heartbeatIntervalSeconds = 1 + random.nextInt(3);
            cluster.leaseSeconds = cluster.heartbeatIntervalSeconds * (5 + random.nextInt(6));
            cluster.cancelSeconds = 2 * cluster.leaseSeconds + upTo(3);
            int nodes = new int[] {1, 2, 3, 3, 3, 5}[random.nextInt(6)];
            cluster.requestsPerSecond = 60 + random.nextInt(200);
            cluster.writesPerSecond = 25 + random.nextInt(60);
            cluster.valueKilobytes = 1 + random.nextInt(8);
            cluster.store.enforcesRates = random.nextBoolean();
            cluster.reportsChangesImmediately = true;
            cluster.pollsRightAfterAnswers = true;
            cluster.cloud.capacity = 40;
            cluster.cloud.bootSeconds = n -> 0.3 + Math.floorMod(n * 7, 5) * (n % 3 == 0 ? 4 : 0.4);
            cluster.cloud.listLagSeconds = 4;
            cluster.taskSeconds = id -> 15 + Math.floorMod(id.hashCode(), 7) * 12;
            cluster.teams.put("blue", new ClusterSettings.Team("blue", 4, 8, 0, 0));
            for (int i = 0; i < nodes; i++) {
                cluster.siblings.add("k" + i);
            }
            for (String key : cluster.siblings) {
                cluster.node(key).clockOffsetMillis = random.nextDouble() * 10 - 5;
            }
            for (int i = 0; i < 6; i++) {
                cluster.worker(String.format("i-%06d", i), i % 2 == 0 ? "a" : "b");
            }
            cluster.run(6 + 2 * cluster.heartbeatIntervalSeconds);
        }

        private double upTo(double s) {
            return random.nextDouble() * s;
        }

        private SimulatedNode any() {
            return cluster.nodes.get(cluster.siblings.get(random.nextInt(cluster.siblings.size())));
        }

        private SimulatedNode holder() {
            return cluster.nodes.values().stream()
                    .filter(node -> node.alive && node.controller.leadership.isLeading())
                    .filter(node -> random.nextInt(8) > 0)
                    .findFirst()
                    .orElseGet(this::any);
        }

        private List<SimulatedWorker> some() {
            return cluster.workers.values().stream()
                    .filter(worker -> worker.up && random.nextInt(3) == 0)
                    .toList();
        }

        private void back(SimulatedNode node, double s) {
            cluster.after(
                    s,
                    () -> {
                        if (!cluster.nodes.get(node.name).alive) {
                            cluster.node(node.name).clockOffsetMillis = node.clockOffsetMillis;
                        }
                    });
        }

        private void ends(SimulatedNode node) {
            node.kill();
            back(node, new double[] {0.1, 0.3, 5}[random.nextInt(3)]);
        }

        void trouble() {
            SimulatedNode h = holder();
            SimulatedNode o = any();
            int kind = random.nextInt(KINDS);
            met.merge(kind, 1, Integer::sum);
            switch (kind) {
                case 0, 1 -> {
                    h.cutFromStore = true;
                    cluster.after(upTo(20), () -> h.cutFromStore = false);
                }
                case 2 -> cluster.store.outage(upTo(3 * cluster.leaseSeconds));
                case 3 -> {
                    o.cutFrom.add(h.name);
                    cluster.after(upTo(60), () -> o.cutFrom.remove(h.name));
                }
                case 4 -> ends(o);
                case 5, 6 -> ends(h);
                case 7 ->
                        (random.nextBoolean() ? h : o).frozenUntil =
                                cluster.clock.now + upTo(2 * cluster.leaseSeconds);
                case 8 -> {
                    cluster.store.ignoresRequestsOf = client -> client == h;
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
                    cluster.store.losesResponseOf = transaction -> random.nextInt(3) == 0;
                    cluster.after(
                            upTo(20), () -> cluster.store.losesResponseOf = transaction -> false);
                }
                case 12 -> {
                    h.cutFromStore = true;
                    cluster.siblings.forEach(h.cutFrom::add);
                    cluster.after(
                            upTo(25),
                            () -> {
                                h.cutFromStore = false;
                                h.cutFrom.clear();
                            });
                }
                case 13 ->
                        some().forEach(
                                        worker ->
                                                worker.hangingUntil =
                                                        cluster.clock.now
                                                                + upTo(1.5 * cluster.leaseSeconds));
                case 14 -> {
                    cluster.directCommandHoldSeconds =
                            () -> random.nextBoolean() ? 0.6 + upTo(8) : 0;
                    cluster.duplicateDelaySeconds =
                            () -> random.nextInt(4) == 0 ? 2 + upTo(1.5 * cluster.leaseSeconds) : 0;
                    cluster.after(
                            upTo(30),
                            () -> {
                                cluster.directCommandHoldSeconds = () -> 0;
                                cluster.duplicateDelaySeconds = () -> 0;
                            });
                }
                case 15 -> {
                    cluster.deliversCopiesToAllNodes = random.nextBoolean();
                    cluster.copyDeliveryDelaySeconds = upTo(4);
                    cluster.copiesHeartbeat = heartbeat -> random.nextInt(3) == 0;
                    cluster.after(upTo(30), () -> cluster.copiesHeartbeat = heartbeat -> false);
                }
                case 16 ->
                        some().forEach(
                                        worker -> {
                                            worker.sendsNothing = true;
                                            cluster.after(
                                                    upTo(2 * cluster.leaseSeconds),
                                                    () -> worker.sendsNothing = false);
                                        });
                case 17 ->
                        some().forEach(
                                        worker -> {
                                            worker.receivesNothing = random.nextBoolean();
                                            worker.isCutOff = !worker.receivesNothing;
                                            cluster.after(
                                                    upTo(1.5 * cluster.leaseSeconds),
                                                    () -> {
                                                        worker.receivesNothing = false;
                                                        worker.isCutOff = false;
                                                    });
                                        });
                case 18 ->
                        cluster.cancelNow(
                                3,
                                random.nextBoolean() ? upTo(1.5 * cluster.leaseSeconds) : 0,
                                random);
                case 19 -> {
                    cluster.nodes.values().forEach(SimulatedNode::kill);
                    double away = upTo(2 * cluster.leaseSeconds);
                    cluster.siblings.forEach(key -> back(cluster.nodes.get(key), away + upTo(2)));
                }
                case 20 ->
                        some().stream()
                                .limit(2)
                                .forEach(
                                        worker -> {
                                            worker.die();
                                            cluster.cloud.machines.remove(worker.id);
                                        });
                default -> {
                    cluster.cancelsOnCompletion = task -> random.nextInt(2) == 0;
                    cluster.after(upTo(40), () -> cluster.cancelsOnCompletion = task -> false);
                }
            }
        }

        private void submit() {
            String id = "j-" + next++;
            Shape shape = random.nextInt(3) == 0 ? Shape.GANG : Shape.ARRAY;
            JobSpec spec =
                    SimulatedCluster.with(
                            SimulatedCluster.job(
                                    id,
                                    shape,
                                    1 + random.nextInt(4),
                                    random.nextInt(4) == 0 ? 2 : 1),
                            random.nextInt(3) == 0 ? "blue" : "red",
                            random.nextInt(4) == 0 ? Priority.HIGH : Priority.NORMAL,
                            random.nextInt(4) == 0);
            String need =
                    random.nextInt(6) == 0 && !jobs.isEmpty()
                            ? jobs.get(random.nextInt(jobs.size()))
                            : null;
            cluster.specs.put(id, spec);
            cluster.dependencies.put(id, need == null ? List.of() : List.of(need));
            jobs.add(id);
            hand(id, 12);
        }

        /** Users try again until they are told that it is accepted. */
        private void hand(String id, int tries) {
            if (cluster.acceptedAt.containsKey(id) || tries == 0) {
                return;
            }
            SimulatedNode node = any();
            if (node.alive) {
                cluster.loadGenerator.repeat(node, id);
            }
            cluster.after(1.2, () -> hand(id, tries - 1));
        }

        private void users() {
            for (int i = 0; i < 2 && !jobs.isEmpty(); i++) {
                String id = jobs.get(random.nextInt(jobs.size()));
                SimulatedNode node = any();
                if (!node.alive || !cluster.acceptedAt.containsKey(id)) {
                    continue;
                }
                switch (random.nextInt(12)) {
                    case 0 -> cluster.loadGenerator.cancel(node, id);
                    case 1, 2 -> cluster.loadGenerator.repeat(node, id);
                    case 3 ->
                            cluster.loadGenerator.repeat(
                                    node,
                                    SimulatedCluster.with(
                                            cluster.specs.get(id),
                                            "blue",
                                            Priority.LOW,
                                            true)); // Another body.
                    default -> cluster.loadGenerator.queryStatus(node, id);
                }
            }
        }

        void play() {
            for (int burst = 0; burst < 4; burst++) {
                for (int i = 0; i < 4; i++) {
                    submit();
                    cluster.run(0.2);
                }
                cluster.run(5);
                double near = 1 + upTo(cluster.leaseSeconds);
                int troubles = 2 + random.nextInt(2);
                for (int i = 0; i < troubles; i++) {
                    trouble();
                    for (int q = 0; q < 3; q++) {
                        cluster.run(near / 9);
                        users();
                    }
                }
                for (int i = 0; i < 6; i++) {
                    cluster.run(upTo(12));
                    users();
                }
            }
            calm();
            cluster.run(70); // Users insist for a minute.
            cluster.invariants.troublesAreOver();
            cluster.run(420);
        }

        /** Every violation, and every accepted job that was called neither done nor cancelled. */
        List<String> failures(long seed) {
            List<String> failures = new ArrayList<>();
            cluster.violations.forEach(v -> failures.add("seed " + seed + ": " + v));
            for (String id : cluster.acceptedAt.keySet()) {
                if (!cluster.reportedDone.contains(id)
                        && !cluster.reportedCancelledAt.containsKey(id)) {
                    failures.add("seed " + seed + ": " + unfinished(id));
                }
            }
            return failures;
        }

        private String unfinished(String id) {
            Optional<SimulatedNode> leader =
                    cluster.nodes.values().stream()
                            .filter(node -> node.alive && node.controller.leadership.isLeading())
                            .findFirst();
            return id
                    + " "
                    + leader.map(node -> cluster.ask(node, id)).orElse(null)
                    + ", needs "
                    + cluster.dependencies.get(id);
        }

        private void calm() {
            SimulatedClusters.endTroubles(cluster);
            cluster.siblings.forEach(key -> back(cluster.nodes.get(key), 0.1));
        }
    }

    @Test
    void noInvariantIsViolatedUnderRandomFaults() {
        int runs = Math.max(IN_CI, Integer.getInteger("kitepath.seeds", 0));
        int from = Integer.getInteger("kitepath.from", 0);
        Map<Integer, Integer> met = new TreeMap<>();
        List<String> failures = new ArrayList<>();
        int accepted = 0;
        int cancelled = 0;
        int starts = 0;
        int afterCancellation = 0;
        double latest = 0;
        for (long seed = from; seed < from + runs; seed++) {
            Run r = new Run(seed, met);
            r.play();
            failures.addAll(r.failures(seed));
            accepted += r.cluster.acceptedAt.size();
            cancelled += r.cluster.reportedCancelledAt.size();
            starts += ConcurrentFaultsTest.starts(r.cluster);
            afterCancellation += r.cluster.invariants.startsAfterCancellation();
            latest = Math.max(latest, r.cluster.invariants.latestStartAfterCancellationSeconds());
        }
        System.out.println(
                "all troubles: "
                        + runs
                        + " runs, "
                        + accepted
                        + " accepted, "
                        + cancelled
                        + " cancelled, "
                        + starts
                        + " starts, "
                        + afterCancellation
                        + " after a cancellation, the latest "
                        + latest
                        + " s; met "
                        + met);
        assertEquals(List.of(), failures);
        assertEquals(KINDS, met.size());
        assertTrue(
                accepted > 10 * runs && cancelled > 2 * runs,
                accepted + " accepted, " + cancelled + " cancelled");
    }
}
