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
    final Map<String, Double> submittedAt = new HashMap<>();
    final Map<String, Double> answeredAt = new HashMap<>();
    final Map<String, Double> startedAt = new HashMap<>();
    final Set<String> cancelledIds = new HashSet<>();

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
        cluster.clock.onTaskStart = task -> startedAt.putIfAbsent(task.jobId, cluster.clock.now);
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

    SimulatedNode anyAliveNode() {
        List<SimulatedNode> up =
                cluster.nodes.values().stream().filter(node -> node.alive).toList();
        return up.get(random.nextInt(up.size()));
    }

    /** The node that holds the jobs, or null. */
    SimulatedNode shardHolder() {
        return cluster.nodes.values().stream()
                .filter(node -> node.alive && node.controller.isServingShard())
                .findFirst()
                .orElse(null);
    }

    boolean isUndisturbed(double from, double until) {
        return troubles.stream().noneMatch(trouble -> from < trouble[1] && until > trouble[0]);
    }

    void trouble(double lastsSeconds) {
        troubles.add(
                new double[] {
                    cluster.clock.now, cluster.clock.now + lastsSeconds + RECOVERY_SECONDS
                });
    }

    // ---- users ------------------------------------------------------------------------------

    void submit(JobSpec spec) {
        cluster.specs.put(spec.id(), spec);
        submittedAt.putIfAbsent(spec.id(), cluster.clock.now);
        boolean[] heard = new boolean[1];
        anyAliveNode()
                .controller
                .jobApi()
                .submit(
                        spec,
                        List.of(),
                        response -> {
                            if (response.verdict() != Verdict.LATER && !heard[0]) {
                                heard[0] = true;
                                cluster.acceptedAt.putIfAbsent(spec.id(), cluster.clock.now);
                                if (answeredAt.putIfAbsent(spec.id(), cluster.clock.now) == null
                                        && spec.id().startsWith("s-")) {
                                    mayCancel(spec.id());
                                }
                            }
                        });
        // Again after a second without an answer, or one that says later.
        cluster.after(
                1,
                () -> {
                    if (!answeredAt.containsKey(spec.id())
                            && cluster.clock.now - submittedAt.get(spec.id()) < 60) {
                        submit(spec);
                    }
                });
    }

    /**
     * A quarter, at once or some seconds later; others when they are placed, see {@link #placed},
     * or end.
     */
    private void mayCancel(String id) {
        switch (random.nextInt(20)) {
            case 0 -> cancel(id);
            case 1 -> cluster.after(0.02 + random.nextDouble() * 0.3, () -> cancel(id));
            case 2, 3 -> cluster.after(random.nextDouble() * 6, () -> cancel(id));
            default -> {}
        }
    }

    private void placed(String id) {
        if (id.startsWith("s-") && !startedAt.containsKey(id) && random.nextInt(20) == 0) {
            cancel(id);
        }
    }

    private void ended(String id) {
        if (id.startsWith("s-") && random.nextInt(25) == 0) {
            cancel(id);
        }
        double at = cluster.clock.now;
        if (cluster.completedTasks.get(id).size() < cluster.specs.get(id).taskCount()
                || !complete.add(id)) {
            return;
        }
        cluster.after(
                DONE_WITHIN_SECONDS,
                () -> {
                    if (!cancelledIds.contains(id) && isUndisturbed(at, cluster.clock.now)) {
                        looked++;
                        boolean[] done = new boolean[1];
                        anyAliveNode()
                                .controller
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

    private void cancel(String id) {
        if (cancelledIds.add(id)) {
            stages.merge(stage(id), 1, Integer::sum);
            cluster.loadGenerator.cancel(anyAliveNode(), id);
        }
    }

    private Stage stage(String id) {
        if (cluster.completedTasks.containsKey(id)) {
            return Stage.ENDED;
        } else if (startedAt.containsKey(id)) {
            return Stage.RUNNING;
        }
        SimulatedNode node = shardHolder();
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
    void submitFor(double seconds) {
        for (double until = cluster.clock.now + seconds; cluster.clock.now < until; ) {
            String id = "s-" + next++;
            submit(job(id, Shape.ARRAY, 1, 1));
            if (next % 80 == 0) {
                submit(job("g-" + next, Shape.GANG, 3, 2));
                submit(job("a-" + next, Shape.ARRAY, 8, 1));
            }
            cluster.loadGenerator.queryStatus(
                    anyAliveNode(), "s-" + (next - 1 - random.nextInt(40)));
            cluster.run(SUBMISSION_INTERVAL_SECONDS);
            if (next % 4 == 0) {
                recordMaxima();
            }
        }
    }

    private void recordMaxima() {
        SimulatedNode node = shardHolder();
        if (node == null || !isUndisturbed(cluster.clock.now, cluster.clock.now)) {
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

    void crashLeader(double backAfterSeconds) {
        SimulatedNode node = shardHolder();
        node.kill();
        cluster.after(backAfterSeconds, () -> cluster.node(node.name));
        trouble(backAfterSeconds);
    }

    void outage(double lastsSeconds) {
        cluster.store.outage(lastsSeconds);
        trouble(lastsSeconds);
    }

    int requests() {
        return cluster.nodes.values().stream().mapToInt(node -> node.requests).sum();
    }

    /** All that was handed in is over, as its users wanted, and nothing of it is left. */
    void checkAllOver(String at) {
        cluster.invariants.troublesAreOver();
        cluster.run(100);
        assertEquals(List.of(), cluster.violations, at);
        assertEquals(List.of(), late, at);
        for (String id : submittedAt.keySet()) {
            assertTrue(answeredAt.containsKey(id), at + ": " + id + " was never accepted");
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
                cancelledIds.size() > 0.18 * submittedCount(),
                at + ": " + cancelledIds.size() + " called off of " + submittedCount());
        assertTrue(looked > 0.1 * submittedCount(), at + ": " + looked + " ends looked at");
        assertTrue(unanswered <= 0.01 * looked, at + ": " + unanswered + " unanswered");
    }

    int submittedCount() {
        return next - 1000;
    }

    private DoubleStream answers() {
        return submittedAt.keySet().stream()
                .filter(
                        id ->
                                answeredAt.containsKey(id)
                                        && isUndisturbed(submittedAt.get(id), answeredAt.get(id)))
                .mapToDouble(id -> answeredAt.get(id) - submittedAt.get(id));
    }

    double slowestAnswer() {
        return answers().max().orElse(0);
    }

    /** Submissions that had to be repeated, troubles apart. */
    long repeated() {
        return answers().filter(seconds -> seconds >= 1).count();
    }

    /** Longest that work beside the swarm waited for its first task. */
    double slowestStart() {
        return submittedAt.keySet().stream()
                .filter(id -> !id.startsWith("s-") && startedAt.containsKey(id))
                .mapToDouble(id -> startedAt.get(id) - submittedAt.get(id))
                .max()
                .orElse(0);
    }

    String summary() {
        return submittedCount()
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
