package io.kitepath.simulation;

import io.kitepath.core.Controller;
import io.kitepath.core.model.CancellationDigest;
import io.kitepath.core.model.CellMessage;
import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.JobProgress;
import io.kitepath.core.model.JobStatus;
import io.kitepath.core.model.WorkerCommand;
import io.kitepath.core.port.PeerNodes;
import io.kitepath.core.port.Timers;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

public final class SimulatedNode implements Timers, PeerNodes, EmulatorClient {
    private final SimulatedCluster w;
    public final String name;
    public final Controller controller;
    public boolean alive = true;
    public double frozenUntil;

    /** How far its time of day is ahead of the true one, in milliseconds. */
    public double clockOffMs;

    /** Of a version that neither sends digests nor reads them. */
    public boolean old;

    /** What it tells the others of jobs that are over gets lost. */
    public boolean losesWord;

    /** Cut off from the store, as is what it sent there unless it is delivered late. */
    public boolean cutFromStore;

    /** Siblings that it can't reach, nor they it. */
    public final Set<String> cutFrom = new HashSet<>();

    /** What it asked of the store, watches apart. */
    public int requests;

    /** What it sent to the store and the cloud. */
    private int sent;

    /** The process ends once it has sent that many; what it sent arrives all the same. */
    public int endsAfter = Integer.MAX_VALUE;

    /** Told when it ends that way. */
    public Runnable ended = () -> {};

    public SimulatedNode(SimulatedCluster w, String name) {
        this.w = w;
        this.name = name;
        this.controller =
                new Controller(
                        w.facts(name),
                        new StoreLink(w, this),
                        new CloudLink(w, this),
                        this::direct,
                        this,
                        this,
                        new Random(
                                7
                                        + name.hashCode()
                                        + 31L * (w.started.merge(name, 1, Integer::sum) - 1)),
                        w.directory,
                        w.around == null ? null : this::askCell);
    }

    private void direct(
            String address,
            long token,
            long session,
            List<WorkerCommand> orders,
            Consumer<Heartbeat> answer) {
        SimulatedWorker x = w.workers.get(address);
        if (x == null
                || x.cut
                || x.deaf
                || !x.up
                || w.refuseDirect
                || x.hangs()
                || !w.commands.test(this, x)) {
            if (x != null && x.hangs() && !w.refuseDirect && w.commands.test(this, x)) {
                x.goesOn(
                        () ->
                                x.directly(
                                        token, session, orders)); // What is sent to it waits there.
            }
            after(0.5, () -> answer.accept(null));
            return;
        }
        double held = w.directHeldS.getAsDouble();
        if (held > 0) {
            w.after(held, () -> x.goesOn(() -> x.directly(token, session, orders)));
            after(0.5, () -> answer.accept(null));
            return;
        }
        w.after(
                w.directDelayS,
                () -> {
                    Heartbeat r = x.directly(token, session, orders);
                    after(0.002, () -> answer.accept(w.commands.test(this, x) ? r : null));
                });
    }

    private void askCell(String cell, String node, CellMessage m, Consumer<CellMessage> answer) {
        w.around.ask(w, this, cell, node, m, answer);
    }

    public void crash() {
        alive = false;
    }

    /** Its process is killed, and what waits for its answers is told so by a reset. */
    public void kill() {
        crash();
        w.workers.values().forEach(x -> x.resetBy(name));
    }

    /** Ends once it has sent that many more requests to the store or the cloud. */
    public void endAfter(int more, Runnable then) {
        endsAfter = sent + more;
        ended = then;
    }

    @Override
    public boolean there() {
        return alive;
    }

    @Override
    public boolean refused() {
        return cutFromStore;
    }

    @Override
    public void asks() {
        requests++;
    }

    @Override
    public void sends() {
        if (alive && ++sent >= endsAfter) {
            crash();
            ended.run();
        }
    }

    @Override
    public double now() {
        return w.clock.now;
    }

    @Override
    public double wallMs() {
        return w.clock.now * 1000 + clockOffMs;
    }

    @Override
    public void after(double seconds, Runnable run) {
        w.after(Math.max(0.001, seconds), () -> deliver(run));
    }

    /** What comes while the process stands still waits until it goes on. */
    public void deliver(Runnable run) {
        if (alive && w.clock.now < frozenUntil) {
            w.after(frozenUntil - w.clock.now, () -> deliver(run));
        } else if (alive) {
            run.run();
        }
    }

    @Override
    public void tell(long token, String leader, boolean served) {
        if (leader != null) {
            w.leads(token);
        }
        w.nodes.values().stream()
                .filter(n -> n != this && n.alive && reaches(n))
                .forEach(
                        n ->
                                n.after(
                                        0.001,
                                        () ->
                                                n.controller.told(
                                                        name, token, leader != null, served)));
    }

    @Override
    public void digest(CancellationDigest digest) {
        if (!old) {
            w.nodes.values().stream()
                    .filter(n -> n != this && n.alive && !n.old && reaches(n))
                    .forEach(n -> n.after(0.001, () -> n.controller.told(digest)));
        }
    }

    @Override
    public void over(JobStatus job) {
        if (losesWord) {
            return;
        }
        w.nodes.values().stream()
                .filter(n -> n != this && n.alive && reaches(n))
                .forEach(n -> n.after(0.001, () -> n.controller.toldOver(job)));
    }

    @Override
    public void progress(String leader, List<String> jobs, Consumer<List<JobProgress>> answer) {
        SimulatedNode n = w.nodes.get(leader);
        boolean[] heard = new boolean[1];
        Consumer<List<JobProgress>> once =
                p -> {
                    if (!heard[0]) {
                        heard[0] = true;
                        answer.accept(p);
                    }
                };
        if (reaches(n)) {
            n.after(
                    0.001,
                    () -> {
                        List<JobProgress> p = n.controller.progress(jobs);
                        after(0.001, () -> once.accept(p));
                    });
        }
        after(0.5, () -> once.accept(List.of()));
    }

    @Override
    public boolean relay(
            String sibling, Heartbeat report, boolean passOn, Consumer<HeartbeatResponse> answer) {
        SimulatedNode n = w.nodes.get(sibling);
        if (n == null || !reaches(n)) {
            return false;
        }
        n.after(
                0.001,
                () ->
                        n.controller.answerFor(
                                report, passOn, c -> after(0.001, () -> answer.accept(c))));
        return true;
    }

    private boolean reaches(SimulatedNode other) {
        return !cutFrom.contains(other.name) && !other.cutFrom.contains(name);
    }
}
