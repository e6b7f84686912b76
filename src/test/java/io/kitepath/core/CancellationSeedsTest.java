package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.simulation.SimulatedWorker;
import io.kitepath.simulation.Worlds;
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
class CancellationSeedsTest {
    private static final int IN_CI = 60;

    private final class Run {
        final SimulatedCluster w = new SimulatedCluster();
        final Random random;
        final List<String> jobs = new ArrayList<>();
        int next = 100;
        double calm;

        Run(long seed) {
            random = new Random(seed);
            w.reportS = 2;
            w.leaseS = 10;
            w.reportsChanges = true;
            w.cloud.capacity = 30;
            w.runsFor = id -> 60 + Math.floorMod(id.hashCode(), 7) * 20;
            for (int i = 0; i < 3; i++) {
                w.siblings.add("k" + i);
            }
            for (String k : w.siblings) {
                w.node(k).clockOffMs = random.nextDouble() * 10 - 5;
            }
            for (int i = 0; i < 6; i++) {
                w.worker(String.format("i-%06d", i), i % 2 == 0 ? "a" : "b");
            }
            w.run(12);
        }

        private SimulatedNode any() {
            return w.nodes.get("k" + random.nextInt(3));
        }

        /** Mostly the one that holds, or held last. */
        private SimulatedNode holder() {
            return w.nodes.values().stream()
                    .filter(n -> n.alive && n.controller.leadership.leading())
                    .filter(n -> random.nextInt(8) > 0)
                    .findFirst()
                    .orElseGet(this::any);
        }

        private SimulatedNode other(SimulatedNode than) {
            SimulatedNode n = any();
            return n == than
                    ? w.nodes.get("k" + (Integer.parseInt(n.name.substring(1)) + 1) % 3)
                    : n;
        }

        private double upTo(double s) {
            return random.nextDouble() * s;
        }

        void trouble() {
            SimulatedNode h = holder();
            SimulatedNode o = other(h);
            switch (random.nextInt(15)) {
                case 0, 1 -> {
                    h.cutFromStore = true;
                    w.after(upTo(20), () -> h.cutFromStore = false);
                }
                case 2, 3 -> w.store.outage(upTo(60));
                case 4 -> {
                    o.cutFrom.add(h.name);
                    w.after(upTo(60), () -> o.cutFrom.remove(h.name));
                }
                case 5 -> {
                    o.crash();
                    w.after(new double[] {0.1, 0.3, 5}[random.nextInt(3)], () -> back(o));
                }
                case 6 -> {
                    h.crash();
                    w.after(new double[] {0.1, 0.3, 5}[random.nextInt(3)], () -> back(h));
                }
                case 7 -> (random.nextBoolean() ? h : o).frozenUntil = w.clock.now + upTo(25);
                case 8 -> {
                    w.store.hangs = n -> n == h;
                    w.after(upTo(40), () -> w.store.hangs = n -> false);
                }
                case 9 -> {
                    w.store.late = t -> random.nextInt(4) == 0 ? 2 + upTo(10) : 0;
                    w.after(upTo(20), () -> w.store.late = t -> 0);
                }
                case 10, 11 -> {
                    h.cutFromStore = true;
                    w.siblings.forEach(h.cutFrom::add);
                    w.after(
                            upTo(25),
                            () -> {
                                h.cutFromStore = false;
                                h.cutFrom.clear();
                            });
                }
                case 12 ->
                        w.workers.values().stream()
                                .filter(y -> y.up)
                                .skip(random.nextInt(3))
                                .findFirst()
                                .ifPresent(y -> y.hangsUntil = w.clock.now + upTo(20));
                case 13 -> {
                    double late = 0.6 + upTo(8);
                    w.directHeldS = () -> random.nextBoolean() ? late : 0;
                    w.copyAfterS = () -> random.nextInt(4) == 0 ? 2 + upTo(15) : 0;
                    w.after(
                            upTo(30),
                            () -> {
                                w.directHeldS = () -> 0;
                                w.copyAfterS = () -> 0;
                            });
                }
                default -> {
                    SimulatedWorker x =
                            w.workers.values().stream()
                                    .filter(y -> y.up)
                                    .skip(random.nextInt(3))
                                    .findFirst()
                                    .orElse(null);
                    if (x != null) {
                        x.deaf = random.nextBoolean();
                        x.cut = !x.deaf;
                        Heartbeat old = x.message();
                        w.after(upTo(30), () -> any().controller.heartbeat(old, c -> {}));
                        w.after(upTo(12), () -> x.deaf = false);
                        w.after(upTo(12), () -> x.cut = false);
                    }
                }
            }
        }

        private void back(SimulatedNode n) {
            if (!w.nodes.get(n.name).alive) {
                w.node(n.name).clockOffMs = n.clockOffMs;
            }
        }

        void submit() {
            String id = "j-" + next++;
            var a =
                    w.submit(
                            any(),
                            job(
                                    id,
                                    random.nextInt(3) == 0 ? Shape.GANG : Shape.ARRAY,
                                    1 + random.nextInt(5),
                                    1));
            if (a != null && a.verdict() == Verdict.CREATED) {
                jobs.add(id);
            }
        }

        /** Users cancel, some twice at other nodes, some ask elsewhere. */
        void users() {
            for (int i = 0; i < 3 && !jobs.isEmpty(); i++) {
                String id = jobs.get(random.nextInt(jobs.size()));
                if (random.nextInt(2) == 0) {
                    w.cancel(any(), id);
                } else {
                    w.ask(any(), id);
                }
            }
        }

        void play() {
            for (int burst = 0; burst < 4; burst++) {
                for (int i = 0; i < 4; i++) {
                    submit();
                }
                w.run(6);
                double near = 1 + upTo(w.leaseS);
                int troubles = 2 + random.nextInt(2);
                for (int i = 0; i < troubles; i++) {
                    trouble();
                    for (int q = 0; q < 3; q++) {
                        w.run(near / 9);
                        users();
                    }
                }
                for (int i = 0; i < 8; i++) {
                    w.run(upTo(14));
                    users();
                }
            }
            Worlds.endTroubles(w);
            w.siblings.forEach(k -> back(w.nodes.get(k)));
            calm = w.clock.now;
            Set<String> open = new HashSet<>(w.accepted.keySet());
            while (!open.isEmpty() && w.clock.now - calm < 75) {
                open.removeIf(
                        id -> {
                            var a = w.ask(any(), id);
                            return a != null && a.verdict() == Verdict.KNOWN;
                        });
                w.run(1);
            }
            open.forEach(id -> w.broken.add("forgotten: " + id));
            w.run(500);
        }
    }

    @Test
    void nothingOfACancelledJobRunsOnWhateverMeets() {
        int told = 0;
        int runs = Math.max(IN_CI, Integer.getInteger("kitepath.seeds", 0));
        for (long seed = 0; seed < runs; seed++) {
            Run r = new Run(seed);
            r.play();
            assertEquals(List.of(), r.w.broken, "seed " + seed);
            for (String id : r.jobs) {
                var a = r.w.ask(r.w.leader(), id);
                assertTrue(
                        a != null && a.verdict() == Verdict.KNOWN,
                        "seed " + seed + ": " + id + " " + a);
                assertEquals(
                        r.w.toldCancelled.containsKey(id) || a.state().status().equals("cancelled")
                                ? "cancelled"
                                : "done",
                        a.state().status(),
                        "seed " + seed + ": " + id);
            }
            told += r.w.toldCancelled.size();
        }
        System.out.println("cancellations: " + runs + " runs, " + told + " told to users");
        assertTrue(told > 5 * runs, "told: " + told);
    }
}
