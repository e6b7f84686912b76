package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static io.kitepath.simulation.SimulatedClusters.settled;
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
import io.kitepath.simulation.WorkerNetworkWrapper;
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
class ZonePartitionTest {
    private static final String ZONE = "a";
    private SimulatedCluster cluster;
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
    private static final class Cut extends WorkerNetworkWrapper {
        private final SimulatedCluster cluster;
        final Set<String> inside = new HashSet<>();
        boolean refusing;
        boolean lasts;

        /**
         * Reports from inside that a controller there answered with its token, and when it last
         * did.
         */
        int kept;

        double lastKept;

        Cut(SimulatedCluster cluster) {
            super(cluster.workerNetwork);
            this.cluster = cluster;
            cluster.workerNetwork = this;
            cluster.directCommandReaches = (node, worker) -> !crosses(node.name, worker.zone);
            cluster.cloud.holdsBackRequestsOf =
                    client ->
                            lasts
                                    && client instanceof SimulatedNode node
                                    && inside.contains(node.name);
        }

        private boolean crosses(String node, String zone) {
            return lasts && inside.contains(node) != zone.equals(ZONE);
        }

        void begin() {
            lasts = true;
            lastKept = cluster.clock.now;
            cluster.nodes.values().stream()
                    .filter(node -> inside.contains(node.name))
                    .forEach(
                            node -> {
                                node.cutFromStore = true;
                                cluster.siblings.stream()
                                        .filter(s -> !inside.contains(s))
                                        .forEach(node.cutFrom::add);
                            });
        }

        void end() {
            lasts = false;
            cluster.nodes.values().forEach(node -> node.cutFromStore = false);
            cluster.nodes.values().forEach(node -> node.cutFrom.clear());
        }

        @Override
        public void heartbeat(
                String node, Heartbeat heartbeat, Consumer<HeartbeatResponse> answer) {
            if (crosses(node, heartbeat.zone())) {
                if (refusing) {
                    cluster.after(0.002, () -> answer.accept(HeartbeatResponse.redirectTo(null)));
                }
                return;
            }
            delegate.heartbeat(
                    node,
                    heartbeat,
                    response -> {
                        if (!crosses(node, heartbeat.zone())) {
                            boolean keeps =
                                    lasts
                                            && heartbeat.zone().equals(ZONE)
                                            && response.fencingToken() > 0;
                            kept += keeps ? 1 : 0;
                            lastKept = keeps ? cluster.clock.now : lastKept;
                            answer.accept(response);
                        }
                    });
        }
    }

    private static JobSpec in(String zone, boolean oneZone, JobSpec spec) {
        return spec.toBuilder().zone(zone).singleZone(oneZone).build();
    }

    /**
     * Eight machines, so many of them in the zone. All are full, and tasks of the job that is bound
     * to the zone wait without room there. {@code endsS} after the cut begins some end inside, and
     * all outside.
     */
    private void begins(
            int machines, double cancelS, int controllers, boolean leads, double endsS) {
        cluster = settled(0, 0);
        cluster.cancelSeconds = cancelS;
        cluster.pollsRightAfterAnswers = true;
        List.of("k0", "k1", "k2").forEach(cluster.siblings::add);
        cluster.siblings.forEach(cluster::node);
        for (int i = 0; i < 8; i++) {
            cluster.worker(String.format("i-%06d", i), i < machines ? ZONE : "b");
        }
        cluster.run(12);
        cluster.taskSeconds = id -> id.equals("j-ends") || id.equals("j-outside") ? 5 + endsS : 45;
        cut = new Cut(cluster);
        SimulatedNode leader = cluster.leader();
        cluster.siblings.stream()
                .filter(key -> key.equals(leader.name) == leads)
                .limit(controllers)
                .forEach(cut.inside::add);
        int more = controllers - cut.inside.size();
        cluster.siblings.stream()
                .filter(key -> !key.equals(leader.name))
                .limit(more)
                .forEach(cut.inside::add);
        cluster.submit(
                leader, in("b", false, job("j-outside", Shape.ARRAY, 4 * (8 - machines), 1)));
        cluster.submit(leader, in(ZONE, false, job("j-off", Shape.ARRAY, 4, 1)));
        cluster.submit(leader, in(ZONE, false, job("j-ends", Shape.ARRAY, 4, 1)));
        cluster.submit(leader, in(null, true, job("j-gang", Shape.GANG, 4, 1)));
        cluster.submit(leader, in(null, true, job("j-bound", Shape.ARRAY, 4 * machines - 8, 1)));
        cluster.run(4.5);
        held = on(ZONE);
        assertEquals(4 * machines, held.size());
        assertEquals(
                4 * machines - 12,
                held.stream().filter(task -> task.jobId.equals("j-bound")).count());
    }

    private List<SimulatedTask> on(String zone) {
        return cluster.workers.values().stream()
                .filter(worker -> worker.zone.equals(zone))
                .flatMap(worker -> worker.tasks.values().stream())
                .filter(SimulatedTask::isOnMachine)
                .toList();
    }

    private SimulatedNode outside() {
        return cluster.nodes.values().stream()
                .filter(node -> !cut.inside.contains(node.name))
                .findFirst()
                .orElseThrow();
    }

    /**
     * Cancelled outside; whoever asks or cancels inside is told the same, as it holds for ever, or
     * nothing.
     */
    private void cancelled(String id, String at) {
        var told = cluster.cancel(outside(), id);
        assertEquals(Verdict.KNOWN, told.verdict(), at);
        for (String key : cut.inside) {
            cluster.acceptedAt.keySet().forEach(j -> cluster.ask(cluster.nodes.get(key), j));
            var response = cluster.cancel(cluster.nodes.get(key), id);
            assertTrue(
                    response == null
                            || response.verdict() == Verdict.LATER
                            || response.jobStatus().status().equals(told.jobStatus().status()),
                    at);
        }
    }

    /** What was lost by now is counted, and the zone is back. */
    private void ends(String at) {
        List<SimulatedTask> gone =
                held.stream()
                        .filter(
                                task ->
                                        task.state != Heartbeat.TaskState.ENDED
                                                && !task.isOnMachine())
                        .toList();
        withMachine = (int) gone.stream().filter(task -> !task.worker.up).count();
        withLease = gone.size() - withMachine;
        boundOutside = (int) on("b").stream().filter(task -> task.jobId.equals("j-bound")).count();
        cut.end();
        cluster.cloud.unavailable = false;
        cluster.cloud.capacity = 16;
        cluster.invariants.troublesAreOver();
        cluster.run(35); // What was cancelled has had to go by then.
        for (int i = 0;
                i < 30
                        && cluster.reportedCancelledAt.size() + cluster.reportedDone.size()
                                < cluster.acceptedAt.size();
                i++) {
            cluster.run(10);
        }
        assertEquals(List.of(), cluster.violations, at);
        for (String id : cluster.acceptedAt.keySet()) {
            assertEquals(
                    cluster.reportedCancelledAt.containsKey(id) ? "cancelled" : "done",
                    cluster.status(cluster.leader(), id),
                    at + ": " + id);
            assertEquals(0, cluster.onMachines(id), at + ": " + id);
        }
    }

    private void partition(
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
        long token = cluster.store.leaderFencingToken();
        double began = cluster.clock.now;
        cut.refusing = controllers == 2;
        cluster.cloud.unavailable = cloudOut;
        cut.begin();
        cluster.run(lengthS * cancelAfter);
        cancelled("j-off", at);
        cluster.run(began + lengthS - cluster.clock.now);
        // The meeting: another leads outside, and a leader inside kept work for as long as it
        // might, and no longer.
        double margin =
                Math.min(
                        cluster.leaseSeconds,
                        cancelS - cluster.leaseSeconds - 2 * cluster.heartbeatIntervalSeconds - 1);
        assertEquals(leads, cluster.store.leaderFencingToken() > token, at);
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
                partition(
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
            cluster.cloud.capacity = random.nextInt(9);
            for (int i = 0; i < 3; i++) {
                cut.refusing = random.nextBoolean();
                cut.begin();
                cluster.cloud.unavailable = random.nextInt(3) == 0;
                cluster.run(random.nextDouble() * 20);
                cancelled(List.of("j-off", "j-gang", "j-bound").get(i), "seed " + seed);
                cluster.run(random.nextDouble() * 20);
                cut.end();
                cluster.run(i < 2 ? random.nextDouble() * 12 : 0);
                cut.inside.clear();
                random.ints(2, 0, 3).forEach(k -> cut.inside.add(cluster.siblings.get(k)));
            }
            ends("seed " + seed);
            kept += cut.kept;
            lost += withLease + withMachine;
        }
        assertTrue(
                kept > 0 && lost > 0, kept + " reports answered inside, " + lost + " tasks lost");
    }
}
