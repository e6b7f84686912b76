package io.kitepath.simulation;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.service.JobSubmissionService.JobResponse;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * Users who do not wait for each other: they ask at once at many nodes, repeat what they sent, and
 * cancel.
 */
public final class LoadGenerator {
    /** They wait so long for an answer about a job; what comes later is told to nobody. */
    private static final double RESPONSE_TIMEOUT_SECONDS = 2;

    /** And so long for one about a submission or a cancellation. */
    private static final double RETRY_FOR_SECONDS = 5;

    /** For how long they repeat a request that gets no answer. */
    private static final double RETRY_INTERVAL_SECONDS = 60;

    /** Machines that hang at most when jobs are called off. */
    private static final int HANG = 8;

    private final SimulatedCluster cluster;
    private final Set<String> polledStates = new HashSet<>();
    private int requestCount;
    private int polls;

    LoadGenerator(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /** Questions, and repeated submissions, within milliseconds of an answer. */
    public int polls() {
        return polls;
    }

    private List<SimulatedNode> aliveNodes() {
        return cluster.nodes.values().stream().filter(node -> node.alive).toList();
    }

    /** Any node that is up, one after the other; null if none is. */
    private SimulatedNode nextAliveNode() {
        List<SimulatedNode> up = aliveNodes();
        return up.isEmpty() ? null : up.get(requestCount++ % up.size());
    }

    /** Asks there, and waits for no answer here. */
    public void queryStatus(SimulatedNode node, String id) {
        double at = cluster.clock.now;
        node.deliver(
                () ->
                        node.controller
                                .jobApi()
                                .status(
                                        id,
                                        response ->
                                                onAnswer(
                                                        id,
                                                        response,
                                                        at,
                                                        RESPONSE_TIMEOUT_SECONDS)));
    }

    /** Hands it in there once more. */
    public void repeat(SimulatedNode node, String id) {
        repeat(node, cluster.specs.get(id));
    }

    /** The same with that body. */
    public void repeat(SimulatedNode node, JobSpec body) {
        String id = body.id();
        double at = cluster.clock.now;
        node.deliver(
                () ->
                        node.controller
                                .jobApi()
                                .submit(
                                        body,
                                        cluster.dependencies.getOrDefault(id, List.of()),
                                        response -> {
                                            if (cluster.clock.now - at <= RETRY_FOR_SECONDS
                                                    && (response.verdict() == Verdict.CREATED
                                                            || response.verdict()
                                                                    == Verdict.KNOWN)) {
                                                cluster.invariants.accepted(id);
                                            }
                                            onAnswer(id, response, at, RETRY_FOR_SECONDS);
                                        }));
    }

    /** Calls it off there, and elsewhere for as long as users repeat that. */
    public void cancel(SimulatedNode node, String id) {
        cancel(node, id, cluster.clock.now + RETRY_INTERVAL_SECONDS);
    }

    private void cancel(SimulatedNode node, String id, double until) {
        cluster.invariants.cancellationRequested(id);
        double at = cluster.clock.now;
        boolean[] told = new boolean[1];
        if (node != null) {
            node.deliver(
                    () ->
                            node.controller
                                    .jobApi()
                                    .cancel(
                                            id,
                                            response -> {
                                                told[0] |= response.verdict() != Verdict.LATER;
                                                onAnswer(id, response, at, RETRY_FOR_SECONDS);
                                            }));
        }
        cluster.after(
                1.5,
                () -> {
                    if (!told[0] && cluster.clock.now < until) {
                        cancel(nextAliveNode(), id, until);
                    }
                });
    }

    private void onAnswer(String id, JobResponse response, double at, double waits) {
        if (cluster.clock.now - at <= waits) {
            cluster.heard(id, response, at);
        }
    }

    // ---- close looks ----------------------------------------------------------------------------

    /**
     * A user was told that: others look at once, everywhere, at the first of each kind of answer
     * about a job.
     */
    void onFinalAnswer(String id, JobResponse response) {
        boolean accepted =
                response.verdict() == Verdict.CREATED || response.verdict() == Verdict.KNOWN;
        if (!cluster.pollsRightAfterAnswers || !accepted || cluster.specs.get(id) == null) {
            return;
        }
        String status = response.jobStatus().status();
        if (!polledStates.add(id + (status.equals("running") ? "pending" : status))) {
            return;
        }
        int i = 0;
        for (SimulatedNode node : aliveNodes()) {
            cluster.after(0.001 * i++, () -> pollAllNodes(node, id));
            cluster.after(0.004 + 0.003 * i, () -> pollAllNodes(node, id));
            cluster.after(
                    0.002 * i,
                    () -> {
                        polls++;
                        repeat(node, id);
                    });
        }
    }

    private void pollAllNodes(SimulatedNode node, String id) {
        polls++;
        queryStatus(node, id);
    }

    // ---- cancellations --------------------------------------------------------------------------

    /**
     * That many jobs that run are called off within a fifth of a second; some of their machines
     * hang so long.
     */
    List<String> cancelSome(int count, double hangS, Random random) {
        TreeMap<String, SimulatedWorker> running = new TreeMap<>();
        cluster.workers
                .values()
                .forEach(
                        worker ->
                                worker.tasks.values().stream()
                                        .filter(SimulatedTask::isOnMachine)
                                        .forEach(
                                                task -> {
                                                    if (!cluster.reportedCancelledAt.containsKey(
                                                            task.jobId)) {
                                                        running.putIfAbsent(task.jobId, worker);
                                                    }
                                                }));
        List<String> jobs = new ArrayList<>(running.keySet());
        Collections.shuffle(jobs, random);
        jobs = jobs.subList(0, Math.min(count, jobs.size()));
        int hung = 0;
        for (String id : jobs) {
            cluster.after(random.nextDouble() / 5, () -> cancel(nextAliveNode(), id));
            if (hangS > 0 && hung++ < HANG) {
                SimulatedWorker worker = running.get(id);
                worker.hangingUntil = cluster.clock.now + hangS;
            }
        }
        return jobs;
    }

    /** A task completed; if it was its job's last, some user calls the job off in that moment. */
    void onTaskCompleted(SimulatedTask task) {
        JobSpec spec = cluster.specs.get(task.jobId);
        if (spec != null
                && cluster.cancelsOnCompletion.test(task)
                && (spec.isGang()
                        || cluster.completedTasks.getOrDefault(task.jobId, Set.of()).size()
                                == spec.taskCount())) {
            cancel(nextAliveNode(), task.jobId);
        }
    }
}
