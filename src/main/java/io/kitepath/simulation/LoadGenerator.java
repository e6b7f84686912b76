package io.kitepath.simulation;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.service.JobSubmissionService.Answer;
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
    private static final double WAIT_S = 2;

    /** And so long for one about a submission or a cancellation. */
    private static final double INSIST_S = 5;

    /** For how long they repeat a request that gets no answer. */
    private static final double REPEAT_S = 60;

    /** Machines that hang at most when jobs are called off. */
    private static final int HANG = 8;

    private final SimulatedCluster cluster;
    private final Set<String> looked = new HashSet<>();
    private int asked;
    private int looks;

    LoadGenerator(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /** Questions, and repeated submissions, within milliseconds of an answer. */
    public int looks() {
        return looks;
    }

    private List<SimulatedNode> up() {
        return cluster.nodes.values().stream().filter(node -> node.alive).toList();
    }

    /** Any node that is up, one after the other; null if none is. */
    private SimulatedNode any() {
        List<SimulatedNode> up = up();
        return up.isEmpty() ? null : up.get(asked++ % up.size());
    }

    /** Asks there, and waits for no answer here. */
    public void ask(SimulatedNode node, String id) {
        double at = cluster.clock.now;
        node.deliver(
                () ->
                        node.controller
                                .jobApi()
                                .status(id, response -> hears(id, response, at, WAIT_S)));
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
                                        cluster.needs.getOrDefault(id, List.of()),
                                        response -> {
                                            if (cluster.clock.now - at <= INSIST_S
                                                    && (response.verdict() == Verdict.CREATED
                                                            || response.verdict() == Verdict.KNOWN)) {
                                                cluster.rules.accepted(id);
                                            }
                                            hears(id, response, at, INSIST_S);
                                        }));
    }

    /** Calls it off there, and elsewhere for as long as users repeat that. */
    public void cancel(SimulatedNode node, String id) {
        cancel(node, id, cluster.clock.now + REPEAT_S);
    }

    private void cancel(SimulatedNode node, String id, double until) {
        cluster.rules.asksToCancel(id);
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
                                                hears(id, response, at, INSIST_S);
                                            }));
        }
        cluster.after(
                1.5,
                () -> {
                    if (!told[0] && cluster.clock.now < until) {
                        cancel(any(), id, until);
                    }
                });
    }

    private void hears(String id, Answer response, double at, double waits) {
        if (cluster.clock.now - at <= waits) {
            cluster.heard(id, response, at);
        }
    }

    // ---- close looks ----------------------------------------------------------------------------

    /**
     * A user was told that: others look at once, everywhere, at the first of each kind of answer
     * about a job.
     */
    void told(String id, Answer response) {
        boolean accepted = response.verdict() == Verdict.CREATED || response.verdict() == Verdict.KNOWN;
        if (!cluster.closeLooks || !accepted || cluster.specs.get(id) == null) {
            return;
        }
        String status = response.jobStatus().status();
        if (!looked.add(id + (status.equals("running") ? "pending" : status))) {
            return;
        }
        int i = 0;
        for (SimulatedNode node : up()) {
            cluster.after(0.001 * i++, () -> look(node, id));
            cluster.after(0.004 + 0.003 * i, () -> look(node, id));
            cluster.after(
                    0.002 * i,
                    () -> {
                        looks++;
                        repeat(node, id);
                    });
        }
    }

    private void look(SimulatedNode node, String id) {
        looks++;
        ask(node, id);
    }

    // ---- cancellations --------------------------------------------------------------------------

    /**
     * That many jobs that run are called off within a fifth of a second; some of their machines
     * hang so long.
     */
    List<String> cancelNow(int count, double hangS, Random random) {
        TreeMap<String, SimulatedWorker> running = new TreeMap<>();
        cluster.workers
                .values()
                .forEach(
                        worker ->
                                worker.tasks.values().stream()
                                        .filter(SimulatedTask::on)
                                        .forEach(
                                                task -> {
                                                    if (!cluster.toldCancelled.containsKey(
                                                            task.jobId)) {
                                                        running.putIfAbsent(task.jobId, worker);
                                                    }
                                                }));
        List<String> jobs = new ArrayList<>(running.keySet());
        Collections.shuffle(jobs, random);
        jobs = jobs.subList(0, Math.min(count, jobs.size()));
        int hung = 0;
        for (String id : jobs) {
            cluster.after(random.nextDouble() / 5, () -> cancel(any(), id));
            if (hangS > 0 && hung++ < HANG) {
                SimulatedWorker worker = running.get(id);
                worker.hangsUntil = cluster.clock.now + hangS;
            }
        }
        return jobs;
    }

    /** A task completed; if it was its job's last, some user calls the job off in that moment. */
    void completed(SimulatedTask task) {
        JobSpec spec = cluster.specs.get(task.jobId);
        if (spec != null
                && cluster.cancelsAtEnd.test(task)
                && (spec.isGang()
                        || cluster.completed.getOrDefault(task.jobId, Set.of()).size()
                                == spec.taskCount())) {
            cancel(any(), task.jobId);
        }
    }
}
