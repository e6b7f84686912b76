package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static io.kitepath.simulation.SimulatedClusters.settled;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.service.JobSubmissionService.JobResponse;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.simulation.TransactionKeys;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * A cancellation, a question or a repeated submission meets the end of a job's last task, with no
 * other trouble. The moment is that of the end itself, of its report, and of each step of the write
 * that makes the job done: whoever is first has it, for ever and at every node.
 */
class LastTaskCompletionTest {
    private static final String ID = "j-1";

    /** What needs it. */
    private static final String NEXT = "j-2";

    /** Within which users expect that a job is called done. */
    private static final double DONE_WITHIN_S = 3;

    private SimulatedCluster cluster;
    private JobSpec spec;
    private List<String> needs;
    private double lastEnd;
    private double written;
    private final List<Told> told = new ArrayList<>();

    /** What a user was told: when it had asked, when it heard. */
    private record Told(String node, double asked, double heard, String status) {
        boolean last() {
            return status.equals("done") || status.equals("cancelled");
        }
    }

    private void hear(SimulatedNode node, double asked, JobResponse response) {
        assertTrue(
                response.verdict() == Verdict.KNOWN || response.verdict() == Verdict.LATER,
                node.name + " says " + response);
        if (response.verdict() == Verdict.KNOWN) {
            told.add(new Told(node.name, asked, cluster.clock.now, response.jobStatus().status()));
            if (response.jobStatus().status().equals("cancelled")) {
                cluster.reportedCancelledAt.putIfAbsent(ID, cluster.clock.now);
            }
        }
    }

    private void ask(SimulatedNode node) {
        double asked = cluster.clock.now;
        node.controller.jobApi().status(ID, response -> hear(node, asked, response));
    }

    private void repeat(SimulatedNode node) {
        double asked = cluster.clock.now;
        node.controller.jobApi().submit(spec, needs, response -> hear(node, asked, response));
    }

    /** Whoever is told anything makes everybody ask and submit again, at all nodes, at once. */
    private void cancel(SimulatedNode node) {
        double asked = cluster.clock.now;
        cluster.invariants.cancellationRequested(ID);
        node.controller
                .jobApi()
                .cancel(
                        ID,
                        response -> {
                            hear(node, asked, response);
                            looks();
                        });
    }

    private void looks() {
        cluster.nodes.values().forEach(this::ask);
        cluster.nodes.values().forEach(this::repeat);
    }

    /** A world in which the job begins; it ends by itself after about so long. */
    private void begins(Shape shape, int tasks, double forS, boolean needed) {
        cluster = settled(3, 4);
        told.clear();
        lastEnd = 0;
        written = 0;
        cluster.imageFetchSeconds = shape == Shape.GANG ? id -> 0.3 : null;
        int[] i = {0};
        cluster.workers
                .values()
                .forEach(
                        worker ->
                                worker.taskSeconds =
                                        shape == Shape.GANG ? forS : forS - 1.3 * (i[0]++ % 3));
        cluster.clock.onTaskEnd =
                task -> lastEnd = task.jobId.equals(ID) ? cluster.clock.now : lastEnd;
        cluster.store.onCommit =
                (client, transaction) -> {
                    if (TransactionKeys.writes(transaction, StoreKeys.ENDED_JOBS + ID)) {
                        written = cluster.clock.now;
                    }
                };
        spec = job(ID, shape, tasks, 2);
        needs = List.of();
        cluster.submit(cluster.leader(), spec);
        if (needed) {
            cluster.submit(cluster.leader(), job(NEXT, Shape.ARRAY, 2, 1), ID);
        }
    }

    /** One answer for ever, by every node, and nothing left of it on any machine. */
    private String holds(String at) {
        cluster.run(12);
        String last = cluster.status(cluster.leader(), ID);
        assertTrue(last.equals("done") || last.equals("cancelled"), at + ": " + last);
        double first =
                told.stream()
                        .filter(Told::last)
                        .mapToDouble(Told::heard)
                        .min()
                        .orElse(Double.MAX_VALUE);
        for (Told t : told) {
            assertTrue(!t.last() || t.status.equals(last), at + ": " + t + ", in the end " + last);
            assertTrue(t.asked < first || t.last(), at + ": " + t + " after " + first);
        }
        for (SimulatedNode node : cluster.nodes.values()) {
            assertEquals(last, cluster.status(node, ID), at + " " + node.name);
            assertEquals(last, cluster.cancel(node, ID).jobStatus().status(), at + " " + node.name);
        }
        assertEquals(0, cluster.onMachines(ID), at);
        assertTrue(
                cluster.workers.values().stream()
                        .noneMatch(
                                worker ->
                                        worker.tasks.values().stream()
                                                .anyMatch(task -> task.jobId.equals(ID))),
                at + ": an ended task is still reported");
        assertEquals(List.of(), cluster.violations, at);
        return last;
    }

    /**
     * When the job is written as done if nobody cancels it; the same each time, as all in this
     * world is.
     */
    private double writtenAfter(Shape shape, int tasks, double forS, boolean needed) {
        begins(shape, tasks, forS, needed);
        cluster.run(forS + 10);
        assertTrue(lastEnd > 0 && written >= lastEnd, "ended " + lastEnd + ", written " + written);
        return written;
    }

    /**
     * The cancellation is sent at each millisecond around the write, and sparsely from before the
     * end.
     */
    private static List<Double> moments(double lastEnd, double written) {
        List<Double> out = new ArrayList<>();
        for (double t = written - 0.016; t < written + 0.006; t += 0.001) {
            out.add(t);
        }
        for (double t = lastEnd - 0.3; t < written + 0.4; t += 0.1) {
            out.add(t);
        }
        return out;
    }

    private void sweep(Shape shape, int tasks, boolean needed) {
        double forS = 9.3;
        double at = writtenAfter(shape, tasks, forS, needed);
        for (int which = 0; which < 3; which++) {
            Set<String> answers = new HashSet<>();
            for (double t : moments(lastEnd == 0 ? at : Math.min(lastEnd, at), at)) {
                begins(shape, tasks, forS, needed);
                cluster.run(t - cluster.clock.now - 0.003);
                looks();
                cluster.run(0.003);
                cancel(cluster.nodes.get("k" + which));
                cluster.run(0.002);
                looks();
                String what =
                        shape
                                + " of "
                                + tasks
                                + ", cancelled at k"
                                + which
                                + " "
                                + (t - at)
                                + " s from the write";
                String last = holds(what);
                answers.add(last);
                if (needed) {
                    behind(last, what);
                }
            }
            assertEquals(Set.of("done", "cancelled"), answers, shape + " at k" + which);
        }
    }

    /** What waited for it runs, or is cancelled with it. */
    private void behind(String last, String at) {
        cluster.run(25);
        cluster.nodes
                .values()
                .forEach(node -> assertEquals(last, cluster.status(node, NEXT), at + ": " + NEXT));
        assertEquals(
                last.equals("done") ? 2 : 0,
                cluster.completedTasks.getOrDefault(NEXT, Set.of()).size(),
                at);
        assertEquals(List.of(), cluster.violations, at);
    }

    @Test
    void oneTask() {
        sweep(Shape.ARRAY, 1, false);
    }

    @Test
    void theLastOfSome() {
        sweep(Shape.ARRAY, 3, false);
    }

    @Test
    void aGang() {
        sweep(Shape.GANG, 3, false);
    }

    @Test
    void aJobThatAnotherWaitsFor() {
        sweep(Shape.ARRAY, 2, true);
    }

    /**
     * The one that waits is cancelled as the one before it ends: nothing of it starts that stays.
     */
    @Test
    void whatWaitsIsCancelledAsItsTurnComes() {
        double at = writtenAfter(Shape.ARRAY, 1, 6, true);
        int began = 0;
        for (double t = at - 0.02; t < at + 2.4; t += t < at + 0.03 ? 0.003 : 0.1) {
            for (int which = 0; which < 3; which++) {
                begins(Shape.ARRAY, 1, 6, true);
                cluster.run(t - cluster.clock.now);
                int before = ConcurrentFaultsTest.starts(cluster);
                String what =
                        NEXT + " cancelled at k" + which + " " + (t - at) + " s from the write";
                JobResponse response = cluster.cancel(cluster.nodes.get("k" + which), NEXT);
                assertEquals(Verdict.KNOWN, response.verdict(), what);
                assertEquals("cancelled", response.jobStatus().status(), what);
                cluster.run(5);
                assertEquals(0, cluster.onMachines(NEXT), what);
                began += before > 1 ? 1 : 0;
                cluster.nodes
                        .values()
                        .forEach(
                                node ->
                                        assertEquals(
                                                "cancelled", cluster.status(node, NEXT), what));
                assertEquals("done", cluster.status(cluster.leader(), ID), what);
                assertEquals(List.of(), cluster.violations, what);
            }
        }
        assertTrue(began > 0, "it was never cancelled after its turn had come");
    }

    /** A replica that ends is no end of its service, whatever a user does at that moment. */
    @Test
    void aServiceWhoseReplicaEndsIsCancelledOrGoesOn() {
        int cancelled = 0;
        for (double off = -0.4; off < 1.2; off += 0.1) {
            for (int which = 0; which < 3; which++) {
                begins(Shape.SERVICE, 1, 6, false);
                cluster.run(2);
                double end =
                        cluster.clock.lastStarts.get(ID + "/0").worker.taskSeconds
                                + cluster.acceptedAt.get(ID);
                cluster.run(end + off - cluster.clock.now);
                looks();
                cancel(cluster.nodes.get("k" + which));
                assertEquals("cancelled", holds("service, k" + which + " " + off));
                cancelled += lastEnd > 0 ? 1 : 0;
            }
        }
        assertTrue(cancelled > 20, "replicas that ended before: " + cancelled);
    }

    /** By every node, and whenever in the course of reports and writes the last task ends. */
    @Test
    void calledDoneInTimeByEveryNode() {
        for (Shape shape : List.of(Shape.ARRAY, Shape.GANG)) {
            for (int tasks : new int[] {1, 3, 8}) {
                for (double forS = 4; forS < 8.2; forS += 0.21) {
                    begins(shape, tasks, forS, true);
                    while (cluster.completedTasks.getOrDefault(ID, Set.of()).size() < tasks) {
                        cluster.run(0.05);
                        assertTrue(cluster.clock.now < 300, "never ended");
                    }
                    cluster.run(lastEnd + DONE_WITHIN_S - 0.1 - cluster.clock.now);
                    cluster.nodes.values().forEach(this::ask);
                    cluster.run(0.1);
                    String at = shape + " of " + tasks + " for " + forS;
                    assertEquals(
                            3,
                            told.stream().filter(t -> t.status.equals("done")).count(),
                            at + ": " + told);
                    assertEquals("done", holds(at));
                }
            }
        }
    }

    /**
     * Many at once, of all shapes, each cancelled by somebody within a second of its end; everybody
     * asks meanwhile.
     */
    @Test
    void manyEndAndAreCancelledTogether() {
        int[] both = new int[2];
        for (long seed = 0; seed < 20; seed++) {
            Random random = new Random(seed);
            cluster = settled(3, 8);
            cluster.pollsRightAfterAnswers = true;
            cluster.imageFetchSeconds = id -> 0.2;
            cluster.taskSeconds = id -> 7 + Math.floorMod(id.hashCode(), 5) * 0.4;
            List<String> jobs = new ArrayList<>();
            for (int i = 0; i < 14; i++) {
                String id = "j-" + (100 + i);
                jobs.add(id);
                JobSpec spec =
                        job(
                                id,
                                random.nextInt(3) == 0 ? Shape.GANG : Shape.ARRAY,
                                1 + random.nextInt(3),
                                0.5);
                cluster.submit(
                        cluster.nodes.get("k" + random.nextInt(3)),
                        spec,
                        i > 3 && random.nextInt(4) == 0
                                ? new String[] {"j-10" + random.nextInt(4)}
                                : new String[0]);
            }
            cluster.clock.onTaskEnd =
                    task ->
                            cluster.after(
                                    random.nextDouble() * (random.nextBoolean() ? 0.05 : 0.8),
                                    () ->
                                            cluster.loadGenerator.cancel(
                                                    cluster.nodes.get("k" + random.nextInt(3)),
                                                    task.jobId));
            for (int i = 0; i < 400; i++) {
                cluster.ask(
                        cluster.nodes.get("k" + random.nextInt(3)),
                        jobs.get(random.nextInt(jobs.size())));
            }
            for (String id : jobs) {
                Set<String> said = new HashSet<>();
                cluster.nodes.values().forEach(node -> said.add(cluster.status(node, id)));
                assertEquals(1, said.size(), "seed " + seed + " " + id + " " + said);
                assertTrue(
                        said.contains("done") || said.contains("cancelled"),
                        "seed " + seed + " " + id + " " + said);
                both[said.contains("done") ? 0 : 1]++;
                assertEquals(0, cluster.onMachines(id), "seed " + seed + " " + id);
            }
            assertEquals(List.of(), cluster.violations, "seed " + seed);
        }
        assertTrue(both[0] > 20 && both[1] > 20, "done " + both[0] + ", cancelled " + both[1]);
    }
}
