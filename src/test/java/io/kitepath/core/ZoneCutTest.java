package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static io.kitepath.simulation.Worlds.settled;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.simulation.SimulatedTask;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * A zone with workers and a controller is cut off, for up to four leases: what is inside reaches
 * only what is inside, and neither store nor cloud. Jobs of it end, are cancelled outside and asked
 * about inside meanwhile.
 */
class ZoneCutTest {
    private static final String ZONE = "a";
    private SimulatedCluster w;
    private Cut cut;

    /**
     * On machines inside as the cut began; and of those not cancelled, what went with its lease, or
     * with its machine.
     */
    private List<SimulatedTask> held;

    private int withLease;
    private int withMachine;

    /**
     * Tasks of the job bound to the zone that run in the other one when the cut ends, as all of it
     * inside is gone.
     */
    private int boundOutside;

    /**
     * What crosses the zone's border gets lost, or is refused, while the cut lasts; also answers on
     * their way.
     */
    private static final class Cut implements SimulatedCluster.Reach {
        private final SimulatedCluster w;
        private final SimulatedCluster.Reach usual;
        final Set<String> inside = new HashSet<>();
        boolean refusing;
        boolean lasts;

        /**
         * Reports from inside that a controller there answered with its token, and when it last
         * did.
         */
        int kept;

        double lastKept;

        Cut(SimulatedCluster w) {
            this.w = w;
            this.usual = w.reach;
            w.reach = this;
            w.commands = (n, x) -> !crosses(n.name, x.zone);
            w.cloud.withheld =
                    c -> lasts && c instanceof SimulatedNode n && inside.contains(n.name);
        }

        private boolean crosses(String node, String zone) {
            return lasts && inside.contains(node) != zone.equals(ZONE);
        }

        void begin() {
            lasts = true;
            lastKept = w.clock.now;
            w.nodes.values().stream()
                    .filter(n -> inside.contains(n.name))
                    .forEach(
                            n -> {
                                n.cutFromStore = true;
                                w.siblings.stream()
                                        .filter(s -> !inside.contains(s))
                                        .forEach(n.cutFrom::add);
                            });
        }

        void end() {
            lasts = false;
            w.nodes.values().forEach(n -> n.cutFromStore = false);
            w.nodes.values().forEach(n -> n.cutFrom.clear());
        }

        @Override
        public List<String> up() {
            return usual.up();
        }

        @Override
        public void heartbeat(String node, Heartbeat r, Consumer<HeartbeatResponse> answer) {
            if (crosses(node, r.zone())) {
                if (refusing) {
                    w.after(0.002, () -> answer.accept(HeartbeatResponse.elsewhere(null)));
                }
                return;
            }
            usual.heartbeat(
                    node,
                    r,
                    c -> {
                        if (!crosses(node, r.zone())) {
                            boolean keeps = lasts && r.zone().equals(ZONE) && c.token() > 0;
                            kept += keeps ? 1 : 0;
                            lastKept = keeps ? w.clock.now : lastKept;
                            answer.accept(c);
                        }
                    });
        }
    }

    private static JobSpec in(String zone, boolean oneZone, JobSpec s) {
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
                s.spread(),
                s.spot(),
                s.image(),
                s.imageGb(),
                s.estimateS(),
                s.checkpointS(),
                s.saveS(),
                s.deadlineS());
    }

    /**
     * Eight machines, so many of them in the zone. All are full, and tasks of the job that is bound
     * to the zone wait without room there. {@code endsS} after the cut begins some end inside, and
     * all outside.
     */
    private void begins(
            int machines, double cancelS, int controllers, boolean leads, double endsS) {
        w = settled(0, 0);
        w.cancelS = cancelS;
        w.closeLooks = true;
        List.of("k0", "k1", "k2").forEach(w.siblings::add);
        w.siblings.forEach(w::node);
        for (int i = 0; i < 8; i++) {
            w.worker(String.format("i-%06d", i), i < machines ? ZONE : "b");
        }
        w.run(12);
        w.runsFor = id -> id.equals("j-ends") || id.equals("j-outside") ? 5 + endsS : 45;
        cut = new Cut(w);
        SimulatedNode leader = w.leader();
        w.siblings.stream()
                .filter(k -> k.equals(leader.name) == leads)
                .limit(controllers)
                .forEach(cut.inside::add);
        int more = controllers - cut.inside.size();
        w.siblings.stream()
                .filter(k -> !k.equals(leader.name))
                .limit(more)
                .forEach(cut.inside::add);
        w.submit(leader, in("b", false, job("j-outside", Shape.ARRAY, 4 * (8 - machines), 1)));
        w.submit(leader, in(ZONE, false, job("j-off", Shape.ARRAY, 4, 1)));
        w.submit(leader, in(ZONE, false, job("j-ends", Shape.ARRAY, 4, 1)));
        w.submit(leader, in(null, true, job("j-gang", Shape.GANG, 4, 1)));
        w.submit(leader, in(null, true, job("j-bound", Shape.ARRAY, 4 * machines - 8, 1)));
        w.run(4.5);
        held = on(ZONE);
        assertEquals(4 * machines, held.size());
        assertEquals(4 * machines - 12, held.stream().filter(t -> t.job.equals("j-bound")).count());
    }

    private List<SimulatedTask> on(String zone) {
        return w.workers.values().stream()
                .filter(x -> x.zone.equals(zone))
                .flatMap(x -> x.tasks.values().stream())
                .filter(SimulatedTask::on)
                .toList();
    }

    private SimulatedNode outside() {
        return w.nodes.values().stream()
                .filter(n -> !cut.inside.contains(n.name))
                .findFirst()
                .orElseThrow();
    }

    /**
     * Cancelled outside; whoever asks or cancels inside is told the same, as it holds for ever, or
     * nothing.
     */
    private void cancelled(String id, String at) {
        var told = w.cancel(outside(), id);
        assertEquals(Verdict.KNOWN, told.verdict(), at);
        for (String k : cut.inside) {
            w.accepted.keySet().forEach(j -> w.ask(w.nodes.get(k), j));
            var a = w.cancel(w.nodes.get(k), id);
            assertTrue(
                    a == null
                            || a.verdict() == Verdict.LATER
                            || a.state().status().equals(told.state().status()),
                    at);
        }
    }

    /** What was lost by now is counted, and the zone is back. */
    private void ends(String at) {
        List<SimulatedTask> gone =
                held.stream().filter(t -> t.state != Heartbeat.TaskState.ENDED && !t.on()).toList();
        withMachine = (int) gone.stream().filter(t -> !t.worker.up).count();
        withLease = gone.size() - withMachine;
        boundOutside = (int) on("b").stream().filter(t -> t.job.equals("j-bound")).count();
        cut.end();
        w.cloud.out = false;
        w.cloud.capacity = 16;
        w.rules.calm();
        w.run(35); // What was cancelled has had to go by then.
        for (int i = 0;
                i < 30 && w.toldCancelled.size() + w.toldDone.size() < w.accepted.size();
                i++) {
            w.run(10);
        }
        assertEquals(List.of(), w.broken, at);
        for (String id : w.accepted.keySet()) {
            assertEquals(
                    w.toldCancelled.containsKey(id) ? "cancelled" : "done",
                    w.status(w.leader(), id),
                    at + ": " + id);
            assertEquals(0, w.onMachines(id), at + ": " + id);
        }
    }

    private void story(
            double lengthS,
            int machines,
            int controllers,
            boolean leads,
            boolean cloudOut,
            double cancelAfter,
            double cancelS) {
        String at =
                "cut "
                        + lengthS
                        + " s, "
                        + machines
                        + " machines and "
                        + controllers
                        + " controllers inside, leads "
                        + leads
                        + ", no cloud "
                        + cloudOut
                        + ", cancelled after "
                        + cancelAfter
                        + ", gone within "
                        + cancelS;
        begins(machines, cancelS, controllers, leads, 4);
        long token = w.store.token();
        double began = w.clock.now;
        cut.refusing = controllers == 2;
        w.cloud.out = cloudOut;
        cut.begin();
        w.run(lengthS * cancelAfter);
        cancelled("j-off", at);
        w.run(began + lengthS - w.clock.now);
        // The meeting: another leads outside, and a leader inside kept work for as long as it
        // might, and no longer.
        double margin = Math.min(w.leaseS, cancelS - w.leaseS - 2 * w.reportS - 1);
        assertEquals(leads, w.store.token() > token, at);
        assertEquals(leads, cut.kept > 0, at);
        assertTrue(cut.lastKept - began <= margin, at + ": kept until " + (cut.lastKept - began));
        ends(at);
        assertTrue(!leads || lengthS > 1.5 * margin || withLease + withMachine == 0, at);
    }

    /**
     * Each half lease up to four; with half of the machines inside, most of them, and such that
     * can't be given back.
     */
    @Test
    void aZoneThatIsCutOffKeepsWhatItMayAndRunsNothingTwice() {
        int[] sums = new int[3];
        double[] moments = {0.01, 0.3, 0.6, 0.9};
        for (int half = 1; half <= 8; half++) {
            for (int i = 0; i < (half < 7 ? 2 : 6); i++) {
                boolean leads = i % 2 == 0;
                int kind = (half + i / 2) % 3;
                // What is cancelled early in a long cut has to be gone while it lasts.
                double after = moments[half < 7 ? (half + i) % 4 : 0];
                story(
                        5 * half,
                        kind == 1 ? 6 : 4,
                        1 + half % 2,
                        leads,
                        kind == 2,
                        after,
                        kind == 2 ? 20 : 30);
                sums[0] += withLease;
                sums[1] += withMachine;
                sums[2] += boundOutside;
            }
        }
        assertTrue(
                Arrays.stream(sums).allMatch(x -> x > 0),
                "with leases, machines; moved: " + Arrays.toString(sums));
    }

    /** Cut again and again, around other nodes, by a seed; cancelled at any moment. */
    @Test
    void cutAgainAndAgain() {
        int kept = 0;
        int lost = 0;
        for (long seed = 0; seed < 12; seed++) {
            Random random = new Random(seed);
            begins(
                    4 + random.nextInt(3),
                    random.nextBoolean() ? 30 : 20,
                    1 + random.nextInt(2),
                    random.nextBoolean(),
                    random.nextDouble() * 20);
            w.cloud.capacity = random.nextInt(9);
            for (int i = 0; i < 3; i++) {
                cut.refusing = random.nextBoolean();
                cut.begin();
                w.cloud.out = random.nextInt(3) == 0;
                w.run(random.nextDouble() * 20);
                cancelled(List.of("j-off", "j-gang", "j-bound").get(i), "seed " + seed);
                w.run(random.nextDouble() * 20);
                cut.end();
                w.run(i < 2 ? random.nextDouble() * 12 : 0);
                cut.inside.clear();
                random.ints(2, 0, 3).forEach(k -> cut.inside.add(w.siblings.get(k)));
            }
            ends("seed " + seed);
            kept += cut.kept;
            lost += withLease + withMachine;
        }
        assertTrue(
                kept > 0 && lost > 0, kept + " reports answered inside, " + lost + " tasks lost");
    }
}
