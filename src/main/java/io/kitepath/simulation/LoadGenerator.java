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

    private final SimulatedCluster w;
    private final Set<String> looked = new HashSet<>();
    private int asked;
    private int looks;

    LoadGenerator(SimulatedCluster w) {
        this.w = w;
    }

    /** Questions, and repeated submissions, within milliseconds of an answer. */
    public int looks() {
        return looks;
    }

    private List<SimulatedNode> up() {
        return w.nodes.values().stream().filter(n -> n.alive).toList();
    }

    /** Any node that is up, one after the other; null if none is. */
    private SimulatedNode any() {
        List<SimulatedNode> up = up();
        return up.isEmpty() ? null : up.get(asked++ % up.size());
    }

    /** Asks there, and waits for no answer here. */
    public void ask(SimulatedNode n, String id) {
        double at = w.clock.now;
        n.deliver(() -> n.controller.registry().status(id, a -> hears(id, a, at, WAIT_S)));
    }

    /** Hands it in there once more. */
    public void repeat(SimulatedNode n, String id) {
        repeat(n, w.specs.get(id));
    }

    /** The same with that body. */
    public void repeat(SimulatedNode n, JobSpec body) {
        String id = body.id();
        double at = w.clock.now;
        n.deliver(
                () ->
                        n.controller
                                .registry()
                                .submit(
                                        body,
                                        w.needs.getOrDefault(id, List.of()),
                                        a -> {
                                            if (w.clock.now - at <= INSIST_S
                                                    && (a.verdict() == Verdict.CREATED
                                                            || a.verdict() == Verdict.KNOWN)) {
                                                w.rules.accepted(id);
                                            }
                                            hears(id, a, at, INSIST_S);
                                        }));
    }

    /** Calls it off there, and elsewhere for as long as users repeat that. */
    public void cancel(SimulatedNode n, String id) {
        cancel(n, id, w.clock.now + REPEAT_S);
    }

    private void cancel(SimulatedNode n, String id, double until) {
        w.rules.asksToCancel(id);
        double at = w.clock.now;
        boolean[] told = new boolean[1];
        if (n != null) {
            n.deliver(
                    () ->
                            n.controller
                                    .registry()
                                    .cancel(
                                            id,
                                            a -> {
                                                told[0] |= a.verdict() != Verdict.LATER;
                                                hears(id, a, at, INSIST_S);
                                            }));
        }
        w.after(
                1.5,
                () -> {
                    if (!told[0] && w.clock.now < until) {
                        cancel(any(), id, until);
                    }
                });
    }

    private void hears(String id, Answer a, double at, double waits) {
        if (w.clock.now - at <= waits) {
            w.heard(id, a, at);
        }
    }

    // ---- close looks ----------------------------------------------------------------------------

    /**
     * A user was told that: others look at once, everywhere, at the first of each kind of answer
     * about a job.
     */
    void told(String id, Answer a) {
        boolean accepted = a.verdict() == Verdict.CREATED || a.verdict() == Verdict.KNOWN;
        if (!w.closeLooks || !accepted || w.specs.get(id) == null) {
            return;
        }
        String status = a.state().status();
        if (!looked.add(id + (status.equals("running") ? "pending" : status))) {
            return;
        }
        int i = 0;
        for (SimulatedNode n : up()) {
            w.after(0.001 * i++, () -> look(n, id));
            w.after(0.004 + 0.003 * i, () -> look(n, id));
            w.after(
                    0.002 * i,
                    () -> {
                        looks++;
                        repeat(n, id);
                    });
        }
    }

    private void look(SimulatedNode n, String id) {
        looks++;
        ask(n, id);
    }

    // ---- cancellations --------------------------------------------------------------------------

    /**
     * That many jobs that run are called off within a fifth of a second; some of their machines
     * hang so long.
     */
    List<String> cancelNow(int count, double hangS, Random random) {
        TreeMap<String, SimulatedWorker> running = new TreeMap<>();
        w.workers
                .values()
                .forEach(
                        x ->
                                x.tasks.values().stream()
                                        .filter(SimulatedTask::on)
                                        .forEach(
                                                t -> {
                                                    if (!w.toldCancelled.containsKey(t.job)) {
                                                        running.putIfAbsent(t.job, x);
                                                    }
                                                }));
        List<String> jobs = new ArrayList<>(running.keySet());
        Collections.shuffle(jobs, random);
        jobs = jobs.subList(0, Math.min(count, jobs.size()));
        int hung = 0;
        for (String id : jobs) {
            w.after(random.nextDouble() / 5, () -> cancel(any(), id));
            if (hangS > 0 && hung++ < HANG) {
                SimulatedWorker x = running.get(id);
                x.hangsUntil = w.clock.now + hangS;
            }
        }
        return jobs;
    }

    /** A task completed; if it was its job's last, some user calls the job off in that moment. */
    void completed(SimulatedTask t) {
        JobSpec s = w.specs.get(t.job);
        if (s != null
                && w.cancelsAtEnd.test(t)
                && (s.gang() || w.completed.getOrDefault(t.job, Set.of()).size() == s.tasks())) {
            cancel(any(), t.job);
        }
    }
}
