package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static io.kitepath.simulation.Worlds.settled;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Priority;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.simulation.SimulatedTask;
import io.kitepath.simulation.SimulatedWorker;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/**
 * Jobs bound to one zone, or spread over zones, lose machines, and the next leader knows less than
 * the last one did.
 */
class OneZoneTest {
    /** So many nodes and machines, the first ones in zone a, the others in zone b. */
    private static SimulatedCluster zones(int nodes, int inA, int inB) {
        SimulatedCluster w = settled(nodes, 0);
        for (int i = 0; i < inA + inB; i++) {
            w.worker(String.format("i-%06d", i), i < inA ? "a" : "b");
        }
        w.run(6);
        return w;
    }

    private static JobSpec placed(JobSpec s, String zone, boolean oneZone, boolean spread) {
        return new JobSpec(
                s.id(),
                s.jobClass(),
                s.team(),
                s.shape(),
                s.priority(),
                s.tasks(),
                s.cpus(),
                s.gpus(),
                s.memoryGb(),
                s.types(),
                zone,
                oneZone,
                spread,
                s.spot(),
                s.image(),
                s.imageGb(),
                s.estimateS(),
                s.checkpointS(),
                s.saveS(),
                s.deadlineS());
    }

    private static JobSpec in(String zone, JobSpec s) {
        return placed(s, zone, false, false);
    }

    static JobSpec bound(JobSpec s) {
        return placed(s, null, true, false);
    }

    static JobSpec spread(JobSpec s) {
        return placed(s, null, false, true);
    }

    private static Set<String> zonesOf(SimulatedCluster w, String job) {
        return w.workers.values().stream()
                .flatMap(x -> x.tasks.values().stream())
                .filter(t -> t.on() && t.job.equals(job))
                .map(t -> t.worker.zone)
                .collect(Collectors.toSet());
    }

    private static void rests(SimulatedCluster w, String at) {
        for (String id : w.accepted.keySet()) {
            assertEquals("done", w.status(w.leader(), id), at + ": " + id);
        }
        assertEquals(List.of(), w.broken, at);
    }

    // ---- attempts that are not proven over
    // -------------------------------------------------------

    /**
     * A task of the job is on a machine that can't be reached, of which the next leader has neither
     * a report nor a list: it knows the machine's name from the record alone, while machines in the
     * other zone come free.
     */
    private static void knownByNameAlone(JobSpec s, double leaderEnds, double freeAt) {
        SimulatedCluster w = zones(2, 1, 2);
        w.runsFor = id -> id.equals("j-0") ? 2 + freeAt : 40;
        w.submit(w.leader(), in("b", job("j-0", Shape.ARRAY, 2, 4)));
        w.run(1);
        w.submit(w.leader(), s);
        w.run(1);
        SimulatedWorker x = w.workers.get("i-000000");
        assertEquals(1, x.tasks.size());
        SimulatedTask held = x.tasks.values().iterator().next();
        w.cloud.out = true;
        x.cut = true;
        w.run(leaderEnds);
        w.leader().kill();
        w.run(5 - leaderEnds);
        String at = s + " leader ends after " + leaderEnds + ", free at " + freeAt;
        // The meeting: the task goes on, and the leader has it on a machine of which nobody has
        // said where it is.
        assertTrue(held.on(), at);
        assertNull(w.leader().controller.block.machines().get(x.id).zone(), at);
        w.run(8);
        x.cut = false;
        w.cloud.out = false;
        w.run(300);
        rests(w, at);
    }

    @Test
    void aTaskOnAMachineKnownByItsNameAloneMayBeInAnyZone() {
        for (double ends = 0; ends <= 1.5; ends += 0.5) {
            for (double free = 2; free <= 10; free += 1) {
                knownByNameAlone(bound(job("j-1", Shape.ARRAY, 4, 4)), ends, free);
                knownByNameAlone(spread(job("j-1", Shape.ARRAY, 2, 4)), ends, free);
            }
        }
    }

    /**
     * The same with machines that are known, at each moment of two leases, by a seed; arrays and
     * gangs.
     */
    @Test
    void whatIsNotProvenOverKeepsTheJobInItsZone() {
        int lost = 0;
        for (long seed = 0; seed < 40; seed++) {
            Random random = new Random(seed);
            SimulatedCluster w = zones(3, 4, 4);
            w.cloud.capacity = 8;
            w.runsFor = id -> 5 + random.nextInt(25);
            for (int i = 0; i < 4; i++) {
                JobSpec s =
                        job(
                                "j-" + i,
                                i == 1 ? Shape.GANG : Shape.ARRAY,
                                2 + random.nextInt(5),
                                1 + random.nextInt(3));
                w.submit(w.leader(), i == 3 ? spread(s) : bound(s));
                w.run(random.nextDouble() * 2);
            }
            for (int i = 0; i < 3; i++) {
                List<SimulatedWorker> busy =
                        w.workers.values().stream()
                                .filter(x -> x.up && !x.cut && !x.tasks.isEmpty())
                                .toList();
                if (!busy.isEmpty()) {
                    SimulatedWorker x = busy.get(random.nextInt(busy.size()));
                    lost++;
                    if (random.nextInt(3) == 0) {
                        x.die();
                        w.after(30, () -> w.cloud.machines.remove(x.id));
                    } else {
                        x.cut = true;
                        w.after(2 + random.nextDouble() * 18, () -> x.cut = false);
                    }
                }
                w.run(random.nextDouble() * 5);
                if (random.nextInt(2) == 0) {
                    SimulatedNode n =
                            w.nodes.values().stream()
                                    .filter(y -> y.controller.leadership.leading())
                                    .findFirst()
                                    .orElse(w.nodes.get("k0"));
                    n.kill();
                    w.after(0.3, () -> w.node(n.name));
                }
                w.run(random.nextDouble() * 5);
            }
            w.run(200);
            rests(w, "seed " + seed);
        }
        assertTrue(lost > 80, "machines lost with work on them: " + lost);
    }

    // ---- the rest of the zone is full
    // -------------------------------------------------------------

    /**
     * What a job can't use because its other tasks are elsewhere is neither kept for it nor emptied
     * for it.
     */
    private static void leavesTheOtherZoneAlone(JobSpec s, int inA, int inB, boolean takeover) {
        SimulatedCluster w = zones(2, inA, inB);
        w.runsFor = id -> id.equals("j-9") ? 20 : id.equals("j-0") ? 6 : 1e6;
        w.submit(w.leader(), in("b", job("j-0", Shape.ARRAY, inB, 4)));
        w.run(1);
        w.submit(w.leader(), s);
        w.run(4);
        assertEquals(Set.of("a"), zonesOf(w, s.id()));
        int on = (int) w.onMachines(s.id());
        if (takeover) {
            w.leader().kill();
        }
        w.run(8);
        w.submit(w.leader(), job("j-9", Shape.ARRAY, inB, 4));
        w.run(12);
        String at = s + (takeover ? " with a takeover" : "");
        assertEquals(on, w.onMachines(s.id()), at);
        assertEquals(inB, w.onMachines("j-9"), at);
        w.run(60);
        assertEquals("done", w.status(w.leader(), "j-9"), at);
        assertEquals(List.of(), w.broken, at);
    }

    @Test
    void roomInAZoneThatTheJobCantUseIsNotKeptForIt() {
        for (boolean takeover : new boolean[] {false, true}) {
            leavesTheOtherZoneAlone(bound(job("j-1", Shape.ARRAY, 5, 4)), 1, 4, takeover);
            leavesTheOtherZoneAlone(bound(job("j-1", Shape.SERVICE, 5, 4)), 1, 4, takeover);
        }
    }

    @Test
    void nothingGivesWayInAZoneThatTheJobCantUse() {
        for (boolean takeover : new boolean[] {false, true}) {
            SimulatedCluster w = zones(2, 1, 4);
            w.runsFor = id -> 1e6;
            w.submit(w.leader(), in("b", job("j-0", Shape.ARRAY, 4, 4)));
            w.run(3);
            w.submit(
                    w.leader(),
                    SimulatedCluster.with(
                            job("j-1", Shape.ARRAY, 5, 4), "red", Priority.HIGH, true));
            w.run(3);
            assertEquals(1, w.onMachines("j-1"));
            if (takeover) {
                w.leader().kill();
            }
            w.run(60);
            assertEquals(5, w.workers.values().stream().mapToInt(x -> x.started).sum());
            assertEquals(Set.of("a"), zonesOf(w, "j-1"));
            assertEquals(4, w.onMachines("j-0"));
        }
    }

    // ---- new machines where the job may use them
    // ----------------------------------------------------

    /**
     * A bound service loses machines; the other zone has room that is no use to it, its own has
     * none but can be rented.
     */
    @Test
    void machinesAreRentedInTheZoneWhereTheJobIs() {
        for (boolean takeover : new boolean[] {false, true}) {
            SimulatedCluster w = zones(2, 2, 4);
            w.cloud.capacity = 3;
            w.cloud.bootS = n -> 1.5;
            w.runsFor = id -> 1e6;
            // Three CPUs of each machine in zone b keep it there, with room for a task beside them.
            w.submit(w.leader(), in("b", job("j-0", Shape.SERVICE, 4, 3)));
            w.run(2);
            w.submit(w.leader(), bound(job("j-1", Shape.SERVICE, 8, 1)));
            w.run(3);
            String at = takeover ? "with a takeover" : "without one";
            assertEquals(8, w.onMachines("j-1"), at);
            assertEquals(Set.of("a"), zonesOf(w, "j-1"), at);
            w.workers.get("i-000001").die();
            w.after(30, () -> w.cloud.machines.remove("i-000001"));
            if (takeover) {
                w.leader().kill();
            }
            w.run(90);
            assertEquals(8, w.onMachines("j-1"), at);
            assertEquals(Set.of("a"), zonesOf(w, "j-1"), at);
            assertEquals(List.of(), w.broken, at);
        }
    }

    /** A machine that would hold all tasks of a spread job is not enough for it. */
    @Test
    void machinesAreRentedInAsManyZonesAsASpreadJobNeeds() {
        for (Shape shape : new Shape[] {Shape.GANG, Shape.SERVICE}) {
            for (int tasks = 2; tasks <= 5; tasks++) {
                SimulatedCluster w = zones(2, 0, 0);
                w.cloud.capacity = 4;
                w.cloud.bootS = n -> 1.5;
                w.runsFor = id -> 400;
                w.submit(w.leader(), spread(job("j-1", shape, tasks, 0.5)));
                w.run(60);
                assertEquals(tasks, w.onMachines("j-1"), shape + " of " + tasks);
                assertEquals(Set.of("a", "b"), zonesOf(w, "j-1"));
                assertEquals(List.of(), w.broken);
            }
        }
    }

    // ---- the zone is gone
    // -----------------------------------------------------------------------------

    @Test
    void aJobWhoseZoneIsGoneGoesOnInAnotherOnceThatIsProven() {
        for (Shape shape : Shape.values()) {
            for (double ends = -1; ends < 12; ends += 1.5) {
                SimulatedCluster w = zones(2, 3, 3);
                w.cloud.capacity = 3;
                w.runsFor = id -> id.equals("j-1") && shape == Shape.SERVICE ? 1e6 : 30;
                w.submit(w.leader(), in("b", job("j-0", Shape.ARRAY, 3, 4)));
                w.run(1);
                w.submit(w.leader(), bound(job("j-1", shape, 6, 2)));
                w.run(3);
                String at = shape + " leader ends after " + ends;
                assertEquals(6, w.onMachines("j-1"), at);
                assertEquals(Set.of("a"), zonesOf(w, "j-1"), at);
                w.workers.values().stream()
                        .filter(x -> x.zone.equals("a"))
                        .forEach(SimulatedWorker::die);
                w.after(30, () -> w.cloud.machines.values().removeIf(m -> m.zone().equals("a")));
                if (ends >= 0) {
                    w.run(ends);
                    SimulatedNode n = w.leader();
                    n.kill();
                    w.after(0.3, () -> w.node(n.name));
                }
                w.run(120);
                assertEquals(List.of(), w.broken, at);
                if (shape == Shape.SERVICE) {
                    assertEquals(6, w.onMachines("j-1"), at);
                } else {
                    assertEquals("done", w.status(w.leader(), "j-1"), at);
                }
            }
        }
    }
}
