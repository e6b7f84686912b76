package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import io.kitepath.core.shard.Attempt;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.ShardState;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.DoubleStream;

/**
 * A swarm of one-task jobs with gangs and arrays beside it: submits, cancels and queries them, and
 * measures what is in memory and on record, and how long users wait.
 */
final class ManySmallJobsScenario {
    static final double SUBMISSION_INTERVAL_SECONDS = 0.25;

    /** By the protocol: from then on after a job's last task its user expects it to be done. */
    private static final double DONE_WITHIN_SECONDS = 3;

    /** What a trouble may take beyond itself until its backlog is gone. */
    private static final double RECOVERY_SECONDS = 15;

    enum Stage {
        NOT_HEARD_OF,
        WAITING,
        PLACED,
        RUNNING,
        ENDED
    }

    final SimulatedCluster cluster = new SimulatedCluster();
    final Random random;
    final Map<String, Double> handedIn = new HashMap<>();
    final Map<String, Double> answered = new HashMap<>();
    final Map<String, Double> begun = new HashMap<>();
    final Set<String> calledOff = new HashSet<>();

    /** Whose last task has completed. */
    final Set<String> complete = new HashSet<>();

    final Map<Stage, Integer> stages = new EnumMap<>(Stage.class);
    final List<String> late = new ArrayList<>();

    /** From when to when a trouble, or what it left, may be felt. */
    final List<double[]> troubles = new ArrayList<>();

    int next = 1000;
    int looked;
    int unanswered;
    int mostJobs;
    int mostUnwritten;
    int mostKeys;

    ManySmallJobsScenario(long seed, int machines) {
        random = new Random(seed);
        cluster.heartbeatIntervalSeconds = 2;
        cluster.leaseSeconds = 10;
        cluster.reportsChangesImmediately = true;
        cluster.requestsPerSecond = 60;
        cluster.writesPerSecond = 24;
        cluster.store.enforcesRates = true;
        cluster.taskSeconds = id -> id.startsWith("s-") ? 2 + Math.floorMod(id.hashCode(), 4) : 6;
        for (int i = 0; i < 3; i++) {
            cluster.siblings.add("k" + i);
        }
        cluster.siblings.forEach(cluster::node);
        for (int i = 0; i < machines; i++) {
            cluster.worker(String.format("i-%06d", i), i % 2 == 0 ? "a" : "b");
        }
        cluster.clock.onTaskStart = task -> begun.putIfAbsent(task.jobId, cluster.clock.now);
        cluster.clock.onTaskEnd = task -> ended(task.jobId);
        cluster.store.onCommit =
                (client, transaction) ->
                        transaction.writes().stream()
                                .filter(
                                        write ->
                                                write.value() != null
                                                        && write.key()
                                                                .startsWith(StoreKeys.JOB_PARTS))
                                .forEach(
                                        write ->
                                                placed(
                                                        write.key()
                                                                .substring(
                                                                        StoreKeys.JOB_PARTS
                                                                                .length(),
                                                                        write.key()
                                                                                .lastIndexOf(
                                                                                        '/'))));
        cluster.run(12);
    }

    SimulatedNode any() {
        List<SimulatedNode> up =
                cluster.nodes.values().stream().filter(node -> node.alive).toList();
        return up.get(random.nextInt(up.size()));
    }

    /** The node that holds the jobs, or null. */
    SimulatedNode holder() {
        return cluster.nodes.values().stream()
                .filter(node -> node.alive && node.controller.holdsShard())
                .findFirst()
                .orElse(null);
    }

    boolean calm(double from, double until) {
        return troubles.stream().noneMatch(t -> from < t[1] && until > t[0]);
    }

    void trouble(double lastsS) {
        troubles.add(
                new double[] {cluster.clock.now, cluster.clock.now + lastsS + RECOVERY_SECONDS});
    }

    // ---- users ------------------------------------------------------------------------------

    void handIn(JobSpec spec) {
        cluster.specs.put(spec.id(), spec);
        handedIn.putIfAbsent(spec.id(), cluster.clock.now);
        boolean[] heard = new boolean[1];
        any().controller
                .jobApi()
                .submit(
                        spec,
                        List.of(),
                        response -> {
                            if (response.verdict() != Verdict.LATER && !heard[0]) {
                                heard[0] = true;
                                cluster.acceptedAt.putIfAbsent(spec.id(), cluster.clock.now);
                                if (answered.putIfAbsent(spec.id(), cluster.clock.now) == null
                                        && spec.id().startsWith("s-")) {
                                    mayCallOff(spec.id());
                                }
                            }
                        });
        // Again after a second without an answer, or one that says later.
        cluster.after(
                1,
                () -> {
                    if (!answered.containsKey(spec.id())
                            && cluster.clock.now - handedIn.get(spec.id()) < 60) {
                        handIn(spec);
                    }
                });
    }

    /**
     * A quarter, at once or some seconds later; others when they are placed, see {@link #placed},
     * or end.
     */
    private void mayCallOff(String id) {
        switch (random.nextInt(20)) {
            case 0 -> callOff(id);
            case 1 -> cluster.after(0.02 + random.nextDouble() * 0.3, () -> callOff(id));
            case 2, 3 -> cluster.after(random.nextDouble() * 6, () -> callOff(id));
            default -> {}
        }
    }

    private void placed(String id) {
        if (id.startsWith("s-") && !begun.containsKey(id) && random.nextInt(20) == 0) {
            callOff(id);
        }
    }

    private void ended(String id) {
        if (id.startsWith("s-") && random.nextInt(25) == 0) {
            callOff(id);
        }
        double at = cluster.clock.now;
        if (cluster.completedTasks.get(id).size() < cluster.specs.get(id).taskCount()
                || !complete.add(id)) {
            return;
        }
        cluster.after(
                DONE_WITHIN_SECONDS,
                () -> {
                    if (!calledOff.contains(id) && calm(at, cluster.clock.now)) {
                        looked++;
                        boolean[] done = new boolean[1];
                        any().controller
                                .jobApi()
                                .status(
                                        id,
                                        response -> {
                                            done[0] = true;
                                            if (response.verdict() == Verdict.LATER) {
                                                unanswered++;
                                            } else if (!response.jobStatus()
                                                    .status()
                                                    .equals("done")) {
                                                late.add(
                                                        id
                                                                + " is "
                                                                + response.jobStatus().status());
                                            }
                                        });
                        cluster.after(2, () -> unanswered += done[0] ? 0 : 1);
                    }
                });
    }

    private void callOff(String id) {
        if (calledOff.add(id)) {
            stages.merge(stage(id), 1, Integer::sum);
            cluster.loadGenerator.cancel(any(), id);
        }
    }

    private Stage stage(String id) {
        if (cluster.completedTasks.containsKey(id)) {
            return Stage.ENDED;
        } else if (begun.containsKey(id)) {
            return Stage.RUNNING;
        }
        SimulatedNode node = holder();
        Job job = node == null ? null : node.controller.shard.jobs().get(id);
        return job == null
                ? Stage.NOT_HEARD_OF
                : job.liveAttempts().values().stream().anyMatch(Attempt::isDurable)
                                || cluster.store.entries.containsKey(StoreKeys.partKey(id, 0))
                        ? Stage.PLACED
                        : Stage.WAITING;
    }

    // ---- the day ----------------------------------------------------------------------------

    /** So long; with gangs and arrays beside the swarm, and questions about some of it. */
    void play(double seconds) {
        for (double until = cluster.clock.now + seconds; cluster.clock.now < until; ) {
            String id = "s-" + next++;
            handIn(job(id, Shape.ARRAY, 1, 1));
            if (next % 80 == 0) {
                handIn(job("g-" + next, Shape.GANG, 3, 2));
                handIn(job("a-" + next, Shape.ARRAY, 8, 1));
            }
            cluster.loadGenerator.queryStatus(any(), "s-" + (next - 1 - random.nextInt(40)));
            cluster.run(SUBMISSION_INTERVAL_SECONDS);
            if (next % 4 == 0) {
                look();
            }
        }
    }

    private void look() {
        SimulatedNode node = holder();
        if (node == null || !calm(cluster.clock.now, cluster.clock.now)) {
            return;
        }
        ShardState shard = node.controller.shard;
        mostJobs = Math.max(mostJobs, shard.jobs().size());
        mostUnwritten =
                Math.max(
                        mostUnwritten,
                        shard.dirtyParts().withPlacements().size()
                                + shard.dirtyParts().withOtherChanges().size());
        mostKeys =
                Math.max(
                        mostKeys,
                        (int)
                                cluster.store.entries.keySet().stream()
                                        .filter(key -> !key.startsWith(StoreKeys.ENDED_JOBS))
                                        .count());
    }

    void endOfLeader(double backAfterS) {
        SimulatedNode node = holder();
        node.kill();
        cluster.after(backAfterS, () -> cluster.node(node.name));
        trouble(backAfterS);
    }

    void outage(double lastsS) {
        cluster.store.outage(lastsS);
        trouble(lastsS);
    }

    int requests() {
        return cluster.nodes.values().stream().mapToInt(node -> node.requests).sum();
    }

    /** All that was handed in is over, as its users wanted, and nothing of it is left. */
    void over(String at) {
        cluster.invariants.troublesAreOver();
        cluster.run(100);
        assertEquals(List.of(), cluster.violations, at);
        assertEquals(List.of(), late, at);
        for (String id : handedIn.keySet()) {
            assertTrue(answered.containsKey(id), at + ": " + id + " was never accepted");
            var response = cluster.ask(cluster.leader(), id);
            assertEquals(Verdict.KNOWN, response.verdict(), at + ": " + id);
            assertEquals(
                    cluster.reportedCancelledAt.containsKey(id) ? "cancelled" : "done",
                    response.jobStatus().status(),
                    at + ": " + id);
        }
        assertEquals(0, cluster.leader().controller.shard.jobs().size(), at);
        assertEquals(
                0,
                cluster.store.entries.keySet().stream()
                        .filter(
                                key ->
                                        key.startsWith(StoreKeys.JOB_PARTS)
                                                || key.startsWith(StoreKeys.OPEN_JOBS))
                        .count(),
                at);
        // A quarter, give or take.
        assertTrue(
                calledOff.size() > 0.18 * next(),
                at + ": " + calledOff.size() + " called off of " + next());
        assertTrue(looked > 0.1 * next(), at + ": " + looked + " ends looked at");
        assertTrue(unanswered <= 0.01 * looked, at + ": " + unanswered + " unanswered");
    }

    int next() {
        return next - 1000;
    }

    private DoubleStream answers() {
        return handedIn.keySet().stream()
                .filter(id -> answered.containsKey(id) && calm(handedIn.get(id), answered.get(id)))
                .mapToDouble(id -> answered.get(id) - handedIn.get(id));
    }

    double slowestAnswer() {
        return answers().max().orElse(0);
    }

    /** Submissions that had to be repeated, troubles apart. */
    long repeated() {
        return answers().filter(x -> x >= 1).count();
    }

    /** Longest that work beside the swarm waited for its first task. */
    double slowestStart() {
        return handedIn.keySet().stream()
                .filter(id -> !id.startsWith("s-") && begun.containsKey(id))
                .mapToDouble(id -> begun.get(id) - handedIn.get(id))
                .max()
                .orElse(0);
    }

    String summary() {
        return next()
                + " jobs, called off "
                + stages
                + ", most jobs "
                + mostJobs
                + ", unwritten "
                + mostUnwritten
                + ", keys "
                + mostKeys
                + ", slowest answer "
                + slowestAnswer()
                + ", start "
                + slowestStart()
                + ", looked "
                + looked
                + ", late "
                + late.size()
                + ", unanswered "
                + unanswered
                + ", over rate "
                + cluster.store.requestsOverRate;
    }
}
