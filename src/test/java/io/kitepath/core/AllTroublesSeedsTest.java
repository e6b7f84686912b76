package io.kitepath.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Priority;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.simulation.SimulatedWorker;
import io.kitepath.simulation.Worlds;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Two or three of all troubles within a lease of each other, while users look closely, repeat what
 * they sent, and call jobs off as they end. Also drawn: leases, report intervals and cancel_s as
 * tight as deployments have them, 1 to 5 nodes, a store with low limits, teams at their limits,
 * jobs bound to one zone or spread. With {@code -Dkitepath.seeds=N}: that many, and {@code
 * -Dkitepath.from=N}: from there.
 */
class AllTroublesSeedsTest {
    private static final int IN_CI = 60;
    private static final int KINDS = 22;

    private static final class Run {
        final SimulatedCluster w = new SimulatedCluster();
        final Random random;
        final List<String> jobs = new ArrayList<>();
        final Map<Integer, Integer> met;
        int next = 100;

        Run(long seed, Map<Integer, Integer> met) {
            this.met = met;
            random = new Random(seed);
            w.reportS = 1 + random.nextInt(3);
            w.leaseS = w.reportS * (5 + random.nextInt(6));
            w.cancelS = 2 * w.leaseS + upTo(3);
            int nodes = new int[] {1, 2, 3, 3, 3, 5}[random.nextInt(6)];
            w.rps = 60 + random.nextInt(200);
            w.writeRps = 25 + random.nextInt(60);
            w.valueKb = 1 + random.nextInt(8);
            w.store.limited = random.nextBoolean();
            w.reportsChanges = true;
            w.closeLooks = true;
            w.cloud.capacity = 40;
            w.cloud.bootS = n -> 0.3 + Math.floorMod(n * 7, 5) * (n % 3 == 0 ? 4 : 0.4);
            w.cloud.listLagS = 4;
            w.runsFor = id -> 15 + Math.floorMod(id.hashCode(), 7) * 12;
            w.teams.put("blue", new ClusterSettings.Team("blue", 4, 8, 0, 0));
            for (int i = 0; i < nodes; i++) {
                w.siblings.add("k" + i);
            }
            for (String k : w.siblings) {
                w.node(k).clockOffMs = random.nextDouble() * 10 - 5;
            }
            for (int i = 0; i < 6; i++) {
                w.worker(String.format("i-%06d", i), i % 2 == 0 ? "a" : "b");
            }
            w.run(6 + 2 * w.reportS);
        }

        private double upTo(double s) {
            return random.nextDouble() * s;
        }

        private SimulatedNode any() {
            return w.nodes.get(w.siblings.get(random.nextInt(w.siblings.size())));
        }

        private SimulatedNode holder() {
            return w.nodes.values().stream()
                    .filter(n -> n.alive && n.controller.leadership.leading())
                    .filter(n -> random.nextInt(8) > 0)
                    .findFirst()
                    .orElseGet(this::any);
        }

        private List<SimulatedWorker> some() {
            return w.workers.values().stream().filter(x -> x.up && random.nextInt(3) == 0).toList();
        }

        private void back(SimulatedNode n, double s) {
            w.after(
                    s,
                    () -> {
                        if (!w.nodes.get(n.name).alive) {
                            w.node(n.name).clockOffMs = n.clockOffMs;
                        }
                    });
        }

        private void ends(SimulatedNode n) {
            n.kill();
            back(n, new double[] {0.1, 0.3, 5}[random.nextInt(3)]);
        }

        void trouble() {
            SimulatedNode h = holder();
            SimulatedNode o = any();
            int kind = random.nextInt(KINDS);
            met.merge(kind, 1, Integer::sum);
            switch (kind) {
                case 0, 1 -> {
                    h.cutFromStore = true;
                    w.after(upTo(20), () -> h.cutFromStore = false);
                }
                case 2 -> w.store.outage(upTo(3 * w.leaseS));
                case 3 -> {
                    o.cutFrom.add(h.name);
                    w.after(upTo(60), () -> o.cutFrom.remove(h.name));
                }
                case 4 -> ends(o);
                case 5, 6 -> ends(h);
                case 7 ->
                        (random.nextBoolean() ? h : o).frozenUntil =
                                w.clock.now + upTo(2 * w.leaseS);
                case 8 -> {
                    w.store.hangs = n -> n == h;
                    w.after(upTo(40), () -> w.store.hangs = n -> false);
                }
                case 9 -> {
                    w.store.late = t -> random.nextInt(4) == 0 ? 2 + upTo(10) : 0;
                    w.after(upTo(20), () -> w.store.late = t -> 0);
                }
                case 10, 11 -> {
                    w.store.unheard = t -> random.nextInt(3) == 0;
                    w.after(upTo(20), () -> w.store.unheard = t -> false);
                }
                case 12 -> {
                    h.cutFromStore = true;
                    w.siblings.forEach(h.cutFrom::add);
                    w.after(
                            upTo(25),
                            () -> {
                                h.cutFromStore = false;
                                h.cutFrom.clear();
                            });
                }
                case 13 -> some().forEach(x -> x.hangsUntil = w.clock.now + upTo(1.5 * w.leaseS));
                case 14 -> {
                    w.directHeldS = () -> random.nextBoolean() ? 0.6 + upTo(8) : 0;
                    w.copyAfterS = () -> random.nextInt(4) == 0 ? 2 + upTo(1.5 * w.leaseS) : 0;
                    w.after(
                            upTo(30),
                            () -> {
                                w.directHeldS = () -> 0;
                                w.copyAfterS = () -> 0;
                            });
                }
                case 15 -> {
                    w.keptForAll = random.nextBoolean();
                    w.keptAfterS = upTo(4);
                    w.keeps = r -> random.nextInt(3) == 0;
                    w.after(upTo(30), () -> w.keeps = r -> false);
                }
                case 16 ->
                        some().forEach(
                                        x -> {
                                            x.mute = true;
                                            w.after(upTo(2 * w.leaseS), () -> x.mute = false);
                                        });
                case 17 ->
                        some().forEach(
                                        x -> {
                                            x.deaf = random.nextBoolean();
                                            x.cut = !x.deaf;
                                            w.after(
                                                    upTo(1.5 * w.leaseS),
                                                    () -> {
                                                        x.deaf = false;
                                                        x.cut = false;
                                                    });
                                        });
                case 18 -> w.cancelNow(3, random.nextBoolean() ? upTo(1.5 * w.leaseS) : 0, random);
                case 19 -> {
                    w.nodes.values().forEach(SimulatedNode::kill);
                    double away = upTo(2 * w.leaseS);
                    w.siblings.forEach(k -> back(w.nodes.get(k), away + upTo(2)));
                }
                case 20 ->
                        some().stream()
                                .limit(2)
                                .forEach(
                                        x -> {
                                            x.die();
                                            w.cloud.machines.remove(x.id);
                                        });
                default -> {
                    w.cancelsAtEnd = t -> random.nextInt(2) == 0;
                    w.after(upTo(40), () -> w.cancelsAtEnd = t -> false);
                }
            }
        }

        private void submit() {
            String id = "j-" + next++;
            Shape shape = random.nextInt(3) == 0 ? Shape.GANG : Shape.ARRAY;
            JobSpec s =
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
            w.specs.put(id, s);
            w.needs.put(id, need == null ? List.of() : List.of(need));
            jobs.add(id);
            hand(id, 12);
        }

        /** Users try again until they are told that it is accepted. */
        private void hand(String id, int tries) {
            if (w.accepted.containsKey(id) || tries == 0) {
                return;
            }
            SimulatedNode n = any();
            if (n.alive) {
                w.users.repeat(n, id);
            }
            w.after(1.2, () -> hand(id, tries - 1));
        }

        private void users() {
            for (int i = 0; i < 2 && !jobs.isEmpty(); i++) {
                String id = jobs.get(random.nextInt(jobs.size()));
                SimulatedNode n = any();
                if (!n.alive || !w.accepted.containsKey(id)) {
                    continue;
                }
                switch (random.nextInt(12)) {
                    case 0 -> w.users.cancel(n, id);
                    case 1, 2 -> w.users.repeat(n, id);
                    case 3 ->
                            w.users.repeat(
                                    n,
                                    SimulatedCluster.with(
                                            w.specs.get(id),
                                            "blue",
                                            Priority.LOW,
                                            true)); // Another body.
                    default -> w.users.ask(n, id);
                }
            }
        }

        void play() {
            for (int burst = 0; burst < 4; burst++) {
                for (int i = 0; i < 4; i++) {
                    submit();
                    w.run(0.2);
                }
                w.run(5);
                double near = 1 + upTo(w.leaseS);
                int troubles = 2 + random.nextInt(2);
                for (int i = 0; i < troubles; i++) {
                    trouble();
                    for (int q = 0; q < 3; q++) {
                        w.run(near / 9);
                        users();
                    }
                }
                for (int i = 0; i < 6; i++) {
                    w.run(upTo(12));
                    users();
                }
            }
            calm();
            w.run(70); // Users insist for a minute.
            w.rules.calm();
            w.run(420);
        }

        private void calm() {
            Worlds.endTroubles(w);
            w.siblings.forEach(k -> back(w.nodes.get(k), 0.1));
        }
    }

    @Test
    void noRuleBreaksWhateverMeets() {
        int runs = Math.max(IN_CI, Integer.getInteger("kitepath.seeds", 0));
        int from = Integer.getInteger("kitepath.from", 0);
        Map<Integer, Integer> met = new TreeMap<>();
        int accepted = 0;
        int cancelled = 0;
        int starts = 0;
        int afterCancellation = 0;
        double latest = 0;
        for (long seed = from; seed < from + runs; seed++) {
            Run r = new Run(seed, met);
            r.play();
            assertEquals(List.of(), r.w.broken, "seed " + seed);
            for (String id : r.w.accepted.keySet()) {
                long of = seed;
                assertTrue(
                        r.w.toldDone.contains(id) || r.w.toldCancelled.containsKey(id),
                        () ->
                                "seed "
                                        + of
                                        + ": "
                                        + id
                                        + " "
                                        + r.w.ask(r.w.leader(), id)
                                        + ", needs "
                                        + r.w.needs.get(id));
            }
            accepted += r.w.accepted.size();
            cancelled += r.w.toldCancelled.size();
            starts += MeetingsTest.starts(r.w);
            afterCancellation += r.w.rules.startsAfterCancellation();
            latest = Math.max(latest, r.w.rules.latestStartAfterS());
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
        assertEquals(KINDS, met.size());
        assertTrue(
                accepted > 10 * runs && cancelled > 2 * runs,
                accepted + " accepted, " + cancelled + " cancelled");
    }
}
