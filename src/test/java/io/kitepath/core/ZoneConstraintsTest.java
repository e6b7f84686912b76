package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static io.kitepath.simulation.SimulatedClusters.settled;
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
class ZoneConstraintsTest {
    /** So many nodes and machines, the first ones in zone a, the others in zone b. */
    private static SimulatedCluster zones(int nodes, int inA, int inB) {
        SimulatedCluster cluster = settled(nodes, 0);
        for (int i = 0; i < inA + inB; i++) {
            cluster.worker(String.format("i-%06d", i), i < inA ? "a" : "b");
        }
        cluster.run(6);
        return cluster;
    }

    private static JobSpec placed(JobSpec spec, String zone, boolean oneZone, boolean spread) {
        return spec.toBuilder().zone(zone).singleZone(oneZone).spreadAcrossZones(spread).build();
    }

    private static JobSpec in(String zone, JobSpec spec) {
        return placed(spec, zone, false, false);
    }

    static JobSpec bound(JobSpec spec) {
        return placed(spec, null, true, false);
    }

    static JobSpec spread(JobSpec spec) {
        return placed(spec, null, false, true);
    }

    private static Set<String> zonesOf(SimulatedCluster cluster, String jobId) {
        return cluster.workers.values().stream()
                .flatMap(worker -> worker.tasks.values().stream())
                .filter(task -> task.isOnMachine() && task.jobId.equals(jobId))
                .map(task -> task.worker.zone)
                .collect(Collectors.toSet());
    }

    private static void rests(SimulatedCluster cluster, String at) {
        for (String id : cluster.acceptedAt.keySet()) {
            assertEquals("done", cluster.status(cluster.leader(), id), at + ": " + id);
        }
        assertEquals(List.of(), cluster.violations, at);
    }

    // ---- attempts that are not proven over
    // -------------------------------------------------------

    /**
     * A task of the job is on a machine that can't be reached, of which the next leader has neither
     * a report nor a list: it knows the machine's name from the record alone, while machines in the
     * other zone come free.
     */
    private static void knownByNameAlone(JobSpec spec, double leaderEnds, double freeAt) {
        SimulatedCluster cluster = zones(2, 1, 2);
        cluster.taskSeconds = id -> id.equals("j-0") ? 2 + freeAt : 40;
        cluster.submit(cluster.leader(), in("b", job("j-0", Shape.ARRAY, 2, 4)));
        cluster.run(1);
        cluster.submit(cluster.leader(), spec);
        cluster.run(1);
        SimulatedWorker worker = cluster.workers.get("i-000000");
        assertEquals(1, worker.tasks.size());
        SimulatedTask held = worker.tasks.values().iterator().next();
        cluster.cloud.unavailable = true;
        worker.isCutOff = true;
        cluster.run(leaderEnds);
        cluster.leader().kill();
        cluster.run(5 - leaderEnds);
        String at = spec + " leader ends after " + leaderEnds + ", free at " + freeAt;
        // The meeting: the task goes on, and the leader has it on a machine of which nobody has
        // said where it is.
        assertTrue(held.isOnMachine(), at);
        assertNull(cluster.leader().controller.shard.machines().get(worker.id).zone(), at);
        cluster.run(8);
        worker.isCutOff = false;
        cluster.cloud.unavailable = false;
        cluster.run(300);
        rests(cluster, at);
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
    void attemptsNotProvenOverKeepASingleZoneJobInItsZone() {
        int lost = 0;
        for (long seed = 0; seed < 40; seed++) {
            Random random = new Random(seed);
            SimulatedCluster cluster = zones(3, 4, 4);
            cluster.cloud.capacity = 8;
            cluster.taskSeconds = id -> 5 + random.nextInt(25);
            for (int i = 0; i < 4; i++) {
                JobSpec spec =
                        job(
                                "j-" + i,
                                i == 1 ? Shape.GANG : Shape.ARRAY,
                                2 + random.nextInt(5),
                                1 + random.nextInt(3));
                cluster.submit(cluster.leader(), i == 3 ? spread(spec) : bound(spec));
                cluster.run(random.nextDouble() * 2);
            }
            for (int i = 0; i < 3; i++) {
                List<SimulatedWorker> busy =
                        cluster.workers.values().stream()
                                .filter(
                                        worker ->
                                                worker.up
                                                        && !worker.isCutOff
                                                        && !worker.tasks.isEmpty())
                                .toList();
                if (!busy.isEmpty()) {
                    SimulatedWorker worker = busy.get(random.nextInt(busy.size()));
                    lost++;
                    if (random.nextInt(3) == 0) {
                        worker.die();
                        cluster.after(30, () -> cluster.cloud.machines.remove(worker.id));
                    } else {
                        worker.isCutOff = true;
                        cluster.after(2 + random.nextDouble() * 18, () -> worker.isCutOff = false);
                    }
                }
                cluster.run(random.nextDouble() * 5);
                if (random.nextInt(2) == 0) {
                    SimulatedNode n =
                            cluster.nodes.values().stream()
                                    .filter(y -> y.controller.leadership.isLeading())
                                    .findFirst()
                                    .orElse(cluster.nodes.get("k0"));
                    n.kill();
                    cluster.after(0.3, () -> cluster.node(n.name));
                }
                cluster.run(random.nextDouble() * 5);
            }
            cluster.run(200);
            rests(cluster, "seed " + seed);
        }
        assertTrue(lost > 80, "machines lost with work on them: " + lost);
    }

    // ---- the rest of the zone is full
    // -------------------------------------------------------------

    /**
     * What a job can't use because its other tasks are elsewhere is neither kept for it nor emptied
     * for it.
     */
    private static void leavesTheOtherZoneAlone(JobSpec spec, int inA, int inB, boolean takeover) {
        SimulatedCluster cluster = zones(2, inA, inB);
        cluster.taskSeconds = id -> id.equals("j-9") ? 20 : id.equals("j-0") ? 6 : 1e6;
        cluster.submit(cluster.leader(), in("b", job("j-0", Shape.ARRAY, inB, 4)));
        cluster.run(1);
        cluster.submit(cluster.leader(), spec);
        cluster.run(4);
        assertEquals(Set.of("a"), zonesOf(cluster, spec.id()));
        int on = (int) cluster.onMachines(spec.id());
        if (takeover) {
            cluster.leader().kill();
        }
        cluster.run(8);
        cluster.submit(cluster.leader(), job("j-9", Shape.ARRAY, inB, 4));
        cluster.run(12);
        String at = spec + (takeover ? " with a takeover" : "");
        assertEquals(on, cluster.onMachines(spec.id()), at);
        assertEquals(inB, cluster.onMachines("j-9"), at);
        cluster.run(60);
        assertEquals("done", cluster.status(cluster.leader(), "j-9"), at);
        assertEquals(List.of(), cluster.violations, at);
    }

    @Test
    void roomInAZoneThatTheJobCanNotUseIsNotReservedForIt() {
        for (boolean takeover : new boolean[] {false, true}) {
            leavesTheOtherZoneAlone(bound(job("j-1", Shape.ARRAY, 5, 4)), 1, 4, takeover);
            leavesTheOtherZoneAlone(bound(job("j-1", Shape.SERVICE, 5, 4)), 1, 4, takeover);
        }
    }

    @Test
    void noTasksArePreemptedInAZoneThatTheJobCanNotUse() {
        for (boolean takeover : new boolean[] {false, true}) {
            SimulatedCluster cluster = zones(2, 1, 4);
            cluster.taskSeconds = id -> 1e6;
            cluster.submit(cluster.leader(), in("b", job("j-0", Shape.ARRAY, 4, 4)));
            cluster.run(3);
            cluster.submit(
                    cluster.leader(),
                    SimulatedCluster.with(
                            job("j-1", Shape.ARRAY, 5, 4), "red", Priority.HIGH, true));
            cluster.run(3);
            assertEquals(1, cluster.onMachines("j-1"));
            if (takeover) {
                cluster.leader().kill();
            }
            cluster.run(60);
            assertEquals(
                    5, cluster.workers.values().stream().mapToInt(worker -> worker.started).sum());
            assertEquals(Set.of("a"), zonesOf(cluster, "j-1"));
            assertEquals(4, cluster.onMachines("j-0"));
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
            SimulatedCluster cluster = zones(2, 2, 4);
            cluster.cloud.capacity = 3;
            cluster.cloud.bootSeconds = n -> 1.5;
            cluster.taskSeconds = id -> 1e6;
            // Three CPUs of each machine in zone b keep it there, with room for a task beside them.
            cluster.submit(cluster.leader(), in("b", job("j-0", Shape.SERVICE, 4, 3)));
            cluster.run(2);
            cluster.submit(cluster.leader(), bound(job("j-1", Shape.SERVICE, 8, 1)));
            cluster.run(3);
            String at = takeover ? "with a takeover" : "without one";
            assertEquals(8, cluster.onMachines("j-1"), at);
            assertEquals(Set.of("a"), zonesOf(cluster, "j-1"), at);
            cluster.workers.get("i-000001").die();
            cluster.after(30, () -> cluster.cloud.machines.remove("i-000001"));
            if (takeover) {
                cluster.leader().kill();
            }
            cluster.run(90);
            assertEquals(8, cluster.onMachines("j-1"), at);
            assertEquals(Set.of("a"), zonesOf(cluster, "j-1"), at);
            assertEquals(List.of(), cluster.violations, at);
        }
    }

    /** A machine that would hold all tasks of a spread job is not enough for it. */
    @Test
    void machinesAreRentedInAsManyZonesAsASpreadJobNeeds() {
        for (Shape shape : new Shape[] {Shape.GANG, Shape.SERVICE}) {
            for (int tasks = 2; tasks <= 5; tasks++) {
                SimulatedCluster cluster = zones(2, 0, 0);
                cluster.cloud.capacity = 4;
                cluster.cloud.bootSeconds = n -> 1.5;
                cluster.taskSeconds = id -> 400;
                cluster.submit(cluster.leader(), spread(job("j-1", shape, tasks, 0.5)));
                cluster.run(60);
                assertEquals(tasks, cluster.onMachines("j-1"), shape + " of " + tasks);
                assertEquals(Set.of("a", "b"), zonesOf(cluster, "j-1"));
                assertEquals(List.of(), cluster.violations);
            }
        }
    }

    // ---- the zone is gone
    // -----------------------------------------------------------------------------

    @Test
    void aSingleZoneJobMovesToAnotherZoneOnceItsTasksAreProvenOver() {
        for (Shape shape : Shape.values()) {
            for (double ends = -1; ends < 12; ends += 1.5) {
                SimulatedCluster cluster = zones(2, 3, 3);
                cluster.cloud.capacity = 3;
                cluster.taskSeconds = id -> id.equals("j-1") && shape == Shape.SERVICE ? 1e6 : 30;
                cluster.submit(cluster.leader(), in("b", job("j-0", Shape.ARRAY, 3, 4)));
                cluster.run(1);
                cluster.submit(cluster.leader(), bound(job("j-1", shape, 6, 2)));
                cluster.run(3);
                String at = shape + " leader ends after " + ends;
                assertEquals(6, cluster.onMachines("j-1"), at);
                assertEquals(Set.of("a"), zonesOf(cluster, "j-1"), at);
                cluster.workers.values().stream()
                        .filter(worker -> worker.zone.equals("a"))
                        .forEach(SimulatedWorker::die);
                cluster.after(
                        30,
                        () ->
                                cluster.cloud
                                        .machines
                                        .values()
                                        .removeIf(listed -> listed.zone().equals("a")));
                if (ends >= 0) {
                    cluster.run(ends);
                    SimulatedNode node = cluster.leader();
                    node.kill();
                    cluster.after(0.3, () -> cluster.node(node.name));
                }
                cluster.run(120);
                assertEquals(List.of(), cluster.violations, at);
                if (shape == Shape.SERVICE) {
                    assertEquals(6, cluster.onMachines("j-1"), at);
                } else {
                    assertEquals("done", cluster.status(cluster.leader(), "j-1"), at);
                }
            }
        }
    }
}
