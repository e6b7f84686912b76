package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static io.kitepath.simulation.Worlds.settled;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.simulation.SimulatedWorker;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Machines that hear nothing, late copies of reports, and a node that only workers reach. */
class TroublesTest {
    private static SimulatedWorker first(SimulatedCluster w) {
        return w.workers.values().iterator().next();
    }

    @Test
    void workThatAMachineWithoutAnswersNeverStartsGoesElsewhere() {
        SimulatedCluster w = settled(1, 1);
        SimulatedNode n = w.nodes.get("k0");
        first(w).deaf = true;
        w.run(1);
        w.submit(n, job("j-1", Shape.ARRAY, 3, 1));
        w.run(12);
        assertEquals(0, w.onMachines("j-1"));
        w.worker("i-000009", "a");
        w.run(15);
        assertEquals(3, w.onMachines("j-1"));
        w.run(30);
        assertEquals("done", w.status(n, "j-1"));
        assertEquals(List.of(), w.broken);
    }

    @Test
    void whatRanOnAMachineThatHearsNothingAnyMoreIsStartedAnewOnceItsSessionIsOver() {
        SimulatedCluster w = settled(2, 2);
        SimulatedNode n = w.leader();
        w.submit(n, job("j-1", Shape.ARRAY, 2, 3));
        w.run(4);
        assertEquals(2, w.onMachines("j-1"));
        first(w).deaf = true;
        w.run(90);
        assertEquals("done", w.status(n, "j-1"));
        assertEquals(List.of(), w.broken);
    }

    @Test
    void aMachineThatHearsAgainTakesWorkAgainAndOneThatDoesNotIsGivenBack() {
        SimulatedCluster w = settled(1, 2);
        w.cloud.capacity = 10;
        SimulatedNode n = w.nodes.get("k0");
        List<SimulatedWorker> all = new ArrayList<>(w.workers.values());
        all.forEach(x -> x.deaf = true);
        w.submit(n, job("j-1", Shape.SERVICE, 8, 1));
        w.run(25);
        var machines = n.controller.block.machines();
        assertTrue(machines.get(all.get(0).id).deafToAnswers());
        assertFalse(machines.get(all.get(0).id).open());
        all.get(0).deaf = false;
        w.run(18);
        assertFalse(machines.get(all.get(0).id).deafToAnswers());
        assertTrue(machines.get(all.get(0).id).open());
        w.run(60);
        assertTrue(w.cloud.released.contains(all.get(1).id));
        assertEquals(8, w.onMachines("j-1"));
        assertEquals(List.of(), w.broken);
    }

    @Test
    void aZoneThatHearsNothingDuringATakeoverLosesNothingForGood() {
        SimulatedCluster w = settled(3, 8);
        w.submit(w.leader(), job("j-1", Shape.ARRAY, 20, 1));
        w.run(4);
        w.workers.values().stream().filter(x -> x.zone.equals("b")).forEach(x -> x.deaf = true);
        SimulatedNode n = w.leader();
        n.crash();
        w.after(0.3, () -> w.node(n.name));
        w.run(50);
        w.workers.values().forEach(x -> x.deaf = false);
        w.run(60);
        assertEquals("done", w.status(w.leader(), "j-1"));
        assertEquals(List.of(), w.broken);
    }

    /**
     * A report of before its machine was given back, or of an earlier session, comes when nobody
     * knows better any more.
     */
    @Test
    void aLateCopyOfAReportRevivesNothing() {
        SimulatedCluster w = settled(2, 3);
        SimulatedNode n = w.leader();
        w.submit(n, job("j-1", Shape.ARRAY, 6, 1));
        w.run(5);
        SimulatedWorker x = first(w);
        Heartbeat old = x.message();
        assertFalse(old.tasks().isEmpty());
        x.die();
        w.cloud.machines.remove(x.id);
        w.run(60);
        assertEquals("done", w.status(n, "j-1"));
        n.crash();
        w.run(15);
        SimulatedNode next = w.leader();
        next.controller.heartbeat(old, (HeartbeatResponse c) -> {});
        w.submit(next, job("j-2", Shape.ARRAY, 12, 1));
        w.run(10);
        assertTrue(
                next.controller.block.jobs().get("j-2").live().values().stream()
                        .noneMatch(a -> a.machine.id.equals(x.id)));
        w.run(50);
        assertEquals("done", w.status(next, "j-2"));
        assertEquals(List.of(), w.broken);
    }

    @Test
    void copiesOfReportsSecondsToSeveralLeasesLateChangeNothing() {
        for (long seed = 0; seed < 12; seed++) {
            SimulatedCluster w = settled(3, 6);
            Random random = new Random(seed);
            w.copyAfterS =
                    () -> random.nextInt(3) == 0 ? 0.5 + random.nextDouble() * 3 * w.leaseS : 0;
            Set<String> jobs = new HashSet<>();
            for (int i = 0; i < 12; i++) {
                SimulatedNode n = w.leader();
                String id = "j-" + (100 + i);
                if (w.submit(
                                n,
                                job(
                                        id,
                                        i % 3 == 0 ? Shape.GANG : Shape.ARRAY,
                                        1 + random.nextInt(8),
                                        1))
                        != null) {
                    jobs.add(id);
                }
                w.run(random.nextDouble() * 5);
                if (random.nextInt(3) == 0) {
                    n.crash();
                    w.after(random.nextBoolean() ? 0.2 : 4, () -> w.node(n.name));
                    w.run(14);
                }
                if (random.nextInt(4) == 0) {
                    w.worker("i-9" + seed + i, "a");
                }
            }
            w.run(200);
            for (String id : jobs) {
                assertEquals("done", w.status(w.leader(), id), "seed " + seed);
            }
            assertEquals(List.of(), w.broken, "seed " + seed);
        }
    }

    /** What only workers reach sends them on while their leases last, and users away. */
    @Test
    void aHolderWithoutStoreAndSiblingsLetsItsWorkersGoInTime() {
        SimulatedCluster w = settled(3, 4);
        SimulatedNode cut = w.leader();
        w.submit(cut, job("j-1", Shape.SERVICE, 8, 1));
        w.run(5);
        long sessions = w.workers.values().stream().mapToLong(x -> x.session).sum();
        cut.cutFromStore = true;
        w.siblings.forEach(cut.cutFrom::add);
        w.run(8);
        assertFalse(cut.controller.healthy());
        assertEquals(Verdict.LATER, w.ask(cut, "j-1").verdict());
        w.run(12);
        SimulatedNode next =
                w.nodes.values().stream()
                        .filter(n -> n != cut && n.controller.holds())
                        .findFirst()
                        .orElseThrow();
        assertEquals(
                8,
                next.controller.block.jobs().get("j-1").live().values().stream()
                        .filter(a -> a.seen())
                        .count());
        assertEquals(8, w.onMachines("j-1"));
        assertEquals(sessions, w.workers.values().stream().mapToLong(x -> x.session).sum());
        cut.cutFromStore = false;
        cut.cutFrom.clear();
        w.run(10);
        assertTrue(cut.controller.healthy());
        assertEquals(1, w.nodes.values().stream().filter(n -> n.controller.holds()).count());
        assertEquals(List.of(), w.broken);
    }

    /** Each accepted job by itself: how well the others fare does not count. */
    @Test
    void onceAllTroublesAreOverEveryAcceptedJobIsAnsweredAndEnds() {
        for (long seed = 0; seed < Integer.getInteger("kitepath.seeds", 25); seed++) {
            Mixed m = new Mixed(seed);
            m.play();
            m.check();
        }
    }

    /**
     * Silent for as long as it takes to give it back, and heard again in the moment in which that
     * is put down.
     */
    @Test
    void aMachineThatIsHeardAgainAsItIsGivenBackStartsNothing() {
        Mixed m = new Mixed(46);
        m.play();
        m.check();
    }

    /** All troubles in any order, with pipelines, old jobs and limits that fall in the middle. */
    static final class Mixed {
        final SimulatedCluster w = settled(3, 8);
        final Random random;
        final long seed;
        final Set<String> accepted = new HashSet<>();
        final Set<String> cancelled = new HashSet<>();

        Mixed(long seed) {
            this.seed = seed;
            random = new Random(seed);
            w.cloud.capacity = 20;
            w.next = new io.kitepath.core.model.ClusterSettings.StoreLimits(1000, 200, 2, 13);
            w.nodes.keySet().stream()
                    .toList()
                    .forEach(
                            k -> {
                                w.nodes.get(k).crash();
                                w.node(k);
                            });
            w.run(10);
        }

        private SimulatedNode any() {
            return w.nodes.get("k" + random.nextInt(3));
        }

        void play() {
            for (int i = 0; i < 30; i++) {
                String id = "j-" + (100 + i);
                List<String> old = new ArrayList<>(accepted);
                old.sort(null);
                String[] needs =
                        random.nextInt(2) == 0 || old.isEmpty()
                                ? new String[0]
                                : new String[] {
                                    old.get(random.nextInt(old.size())),
                                    old.get(random.nextInt(old.size()))
                                };
                var a =
                        w.submit(
                                any(),
                                job(
                                        id,
                                        random.nextInt(4) == 0 ? Shape.GANG : Shape.ARRAY,
                                        1 + random.nextInt(8),
                                        1),
                                needs);
                if (a != null && a.verdict() == Verdict.CREATED) {
                    accepted.add(id);
                }
                if (random.nextInt(8) == 0 && !old.isEmpty()) {
                    String which = old.get(random.nextInt(old.size()));
                    var c = w.cancel(any(), which);
                    if (c != null
                            && c.verdict() == Verdict.KNOWN
                            && c.state().status().equals("cancelled")) {
                        cancelled.add(which);
                    }
                }
                trouble();
                w.run(random.nextDouble() * 4);
                for (int q = 0; q < 3 && !old.isEmpty(); q++) {
                    w.ask(any(), old.get(random.nextInt(old.size())));
                }
                if (i == 15) {
                    w.store.valueBytes = 2048;
                    w.store.txnOps = 13;
                }
            }
            // All troubles are over.
            w.nodes.keySet().stream()
                    .toList()
                    .forEach(
                            k -> {
                                SimulatedNode n = w.nodes.get(k);
                                n.cutFromStore = false;
                                n.cutFrom.clear();
                                if (!n.alive) {
                                    w.node(k);
                                }
                            });
            w.workers
                    .values()
                    .forEach(
                            x -> {
                                x.deaf = false;
                                x.cut = false;
                            });
            w.copyAfterS = () -> 0;
        }

        private void trouble() {
            SimulatedNode n = any();
            List<SimulatedWorker> up = w.workers.values().stream().filter(x -> x.up).toList();
            SimulatedWorker x = up.isEmpty() ? null : up.get(random.nextInt(up.size()));
            switch (random.nextInt(9)) {
                case 0, 1 -> {
                    n.crash();
                    w.after(
                            new double[] {0.1, 0.4, 3}[random.nextInt(3)],
                            () -> {
                                if (!w.nodes.get(n.name).alive) {
                                    w.node(n.name);
                                }
                            });
                }
                case 2 -> n.frozenUntil = w.clock.now + random.nextDouble() * 12;
                case 3 -> {
                    n.cutFromStore = true;
                    w.siblings.forEach(n.cutFrom::add);
                    w.after(
                            random.nextDouble() * 25,
                            () -> {
                                n.cutFromStore = false;
                                n.cutFrom.clear();
                            });
                }
                case 4 -> w.store.outage(random.nextDouble() * 8);
                case 5, 6 -> {
                    if (x != null) {
                        x.deaf = true;
                        w.after(random.nextDouble() * 40, () -> x.deaf = false);
                    }
                }
                case 7 ->
                        w.copyAfterS =
                                () -> random.nextInt(4) == 0 ? 0.5 + random.nextDouble() * 25 : 0;
                default -> {
                    if (x != null) {
                        x.cut = true;
                        w.after(random.nextDouble() * 15, () -> x.cut = false);
                    }
                }
            }
        }

        void check() {
            String at = "seed " + seed;
            w.run(15);
            double calm = w.clock.now;
            for (String id : accepted) {
                boolean answered = false;
                while (!answered && w.clock.now - calm < 75) {
                    for (String k : w.siblings) {
                        var a = w.ask(w.nodes.get(k), id);
                        answered |= a != null && a.verdict() == Verdict.KNOWN;
                    }
                }
                assertTrue(answered, at + ": " + id + " is forgotten");
            }
            w.run(400);
            for (String id : accepted) {
                var a = w.ask(w.leader(), id);
                assertEquals(behind(id) ? "cancelled" : "done", a.state().status(), at + ": " + a);
            }
            assertEquals(List.of(), w.broken, at);
        }

        private boolean behind(String id) {
            return cancelled.contains(id)
                    || w.toldCancelled.containsKey(id)
                    || w.needs.getOrDefault(id, List.of()).stream().anyMatch(this::behind);
        }
    }
}
