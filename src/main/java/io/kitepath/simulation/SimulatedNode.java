package io.kitepath.simulation;

import io.kitepath.core.CellNetwork;
import io.kitepath.core.Controller;
import io.kitepath.core.NodeEnvironment;
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
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * A controller node in memory: the real core, with a clock, peers and connections that can fail.
 */
public final class SimulatedNode implements Timers, PeerNodes, EmulatorClient {
    private final SimulatedCluster cluster;
    public final String name;
    public final Controller controller;
    public boolean alive = true;
    public double frozenUntil;

    /** How far its time of day is ahead of the true one, in milliseconds. */
    public double clockOffsetMillis;

    /** Of a version that neither sends digests nor reads them. */
    public boolean isProductionVersion;

    /** What it tells the others of jobs that are over gets lost. */
    public boolean losesPeerMessages;

    /** Cut off from the store, as is what it sent there unless it is delivered late. */
    public boolean cutFromStore;

    /** Siblings that it can't reach, nor they it. */
    public final Set<String> cutFrom = new HashSet<>();

    /** What it asked of the store, watches apart. */
    public int requests;

    /** What it sent to the store and the cloud. */
    private int requestsSent;

    /** The process ends once it has sent that many; what it sent arrives all the same. */
    public int crashesAfterRequests = Integer.MAX_VALUE;

    /** Told when it ends that way. */
    public Runnable onCrash = () -> {};

    /** A node that is not started yet; the first one of that name or a restart of it. */
    public SimulatedNode(SimulatedCluster cluster, String name) {
        this.cluster = cluster;
        this.name = name;
        this.controller =
                new Controller(
                        cluster.settings(name),
                        new NodeEnvironment(
                                new SimulatedStoreClient(cluster, this),
                                new SimulatedCloudClient(cluster, this),
                                this::direct,
                                this,
                                this,
                                new Random(seedOfNextProcess())),
                        Optional.ofNullable(cluster.cellDirectory)
                                .map(directory -> new CellNetwork(directory, this::askCell)));
    }

    /** Each process under a name draws other random numbers. */
    private long seedOfNextProcess() {
        int earlierProcesses = cluster.processStarts.merge(name, 1, Integer::sum) - 1;
        return 7 + name.hashCode() + 31L * earlierProcesses;
    }

    private void direct(
            String address,
            long token,
            long session,
            List<WorkerCommand> orders,
            Consumer<Heartbeat> answer) {
        SimulatedWorker worker = cluster.workers.get(address);
        if (worker == null
                || worker.isCutOff
                || worker.receivesNothing
                || !worker.up
                || cluster.refusesDirectCommands
                || worker.isHanging()
                || !cluster.directCommandReaches.test(this, worker)) {
            if (worker != null
                    && worker.isHanging()
                    && !cluster.refusesDirectCommands
                    && cluster.directCommandReaches.test(this, worker)) {
                worker.onResume(
                        () ->
                                worker.executeDirectCommands(
                                        token, session, orders)); // What is sent to it waits there.
            }
            schedule(0.5, () -> answer.accept(null));
            return;
        }
        double held = cluster.directCommandHoldSeconds.getAsDouble();
        if (held > 0) {
            cluster.after(
                    held,
                    () ->
                            worker.onResume(
                                    () -> worker.executeDirectCommands(token, session, orders)));
            schedule(0.5, () -> answer.accept(null));
            return;
        }
        cluster.after(
                cluster.directCommandDelaySeconds,
                () -> {
                    Heartbeat heartbeat = worker.executeDirectCommands(token, session, orders);
                    schedule(
                            0.002,
                            () ->
                                    answer.accept(
                                            cluster.directCommandReaches.test(this, worker)
                                                    ? heartbeat
                                                    : null));
                });
    }

    private void askCell(
            String cell, String node, CellMessage message, Consumer<CellMessage> answer) {
        cluster.multiCell.ask(cluster, this, cell, node, message, answer);
    }

    /**
     * Ends the process at once: nothing that it sent is undone, and nothing more is delivered to
     * it.
     */
    public void crash() {
        alive = false;
    }

    /** Its process is killed, and what waits for its answers is told so by a reset. */
    public void kill() {
        crash();
        cluster.workers.values().forEach(worker -> worker.resetBy(name));
    }

    /** Ends once it has sent that many more requests to the store or the cloud. */
    public void crashAfterRequests(int more, Runnable then) {
        crashesAfterRequests = requestsSent + more;
        onCrash = then;
    }

    @Override
    public boolean isAlive() {
        return alive;
    }

    @Override
    public boolean isRefused() {
        return cutFromStore;
    }

    @Override
    public void onRequest() {
        requests++;
    }

    @Override
    public void onRequestSent() {
        if (alive && ++requestsSent >= crashesAfterRequests) {
            crash();
            onCrash.run();
        }
    }

    @Override
    public double nowSeconds() {
        return cluster.clock.now;
    }

    @Override
    public double wallClockMillis() {
        return cluster.clock.now * 1000 + clockOffsetMillis;
    }

    @Override
    public void schedule(double seconds, Runnable run) {
        cluster.after(Math.max(0.001, seconds), () -> deliver(run));
    }

    /** What comes while the process stands still waits until it goes on. */
    public void deliver(Runnable run) {
        if (alive && cluster.clock.now < frozenUntil) {
            cluster.after(frozenUntil - cluster.clock.now, () -> deliver(run));
        } else if (alive) {
            run.run();
        }
    }

    @Override
    public void announceState(long token, String leader, boolean served) {
        if (leader != null) {
            cluster.onLeaderAnnounced(token);
        }
        sendToPeers(peer -> peer.controller.onPeerState(name, token, leader != null, served));
    }

    @Override
    public void sendCancellationDigest(CancellationDigest digest) {
        sendToLaterVersions(peer -> peer.controller.onCancellationDigest(digest));
    }

    @Override
    public void announceJobEnd(JobStatus job) {
        if (!losesPeerMessages) {
            sendToPeers(peer -> peer.controller.onJobEndedAtPeer(job));
        }
    }

    @Override
    public void announceImpliedCancellations(List<String> jobIds) {
        if (!losesPeerMessages) {
            sendToLaterVersions(peer -> peer.controller.onImpliedCancellations(jobIds));
        }
    }

    /** Delivers a message to all siblings that it reaches. */
    private void sendToPeers(Consumer<SimulatedNode> deliver) {
        reachablePeers().forEach(node -> node.schedule(0.001, () -> deliver.accept(node)));
    }

    /** Delivers a message that production neither sends nor reads. */
    private void sendToLaterVersions(Consumer<SimulatedNode> deliver) {
        if (!isProductionVersion) {
            reachablePeers()
                    .filter(node -> !node.isProductionVersion)
                    .forEach(node -> node.schedule(0.001, () -> deliver.accept(node)));
        }
    }

    private Stream<SimulatedNode> reachablePeers() {
        return cluster.nodes.values().stream()
                .filter(node -> node != this && node.alive && reaches(node));
    }

    @Override
    public void requestProgress(
            String leader, List<String> jobs, Consumer<List<JobProgress>> answer) {
        SimulatedNode node = cluster.nodes.get(leader);
        boolean[] heard = new boolean[1];
        Consumer<List<JobProgress>> once =
                p -> {
                    if (!heard[0]) {
                        heard[0] = true;
                        answer.accept(p);
                    }
                };
        if (reaches(node)) {
            node.schedule(
                    0.001,
                    () -> {
                        List<JobProgress> p = node.controller.jobProgress(jobs);
                        schedule(0.001, () -> once.accept(p));
                    });
        }
        schedule(0.5, () -> once.accept(List.of()));
    }

    @Override
    public boolean relayHeartbeat(
            String sibling,
            Heartbeat heartbeat,
            boolean passOn,
            Consumer<HeartbeatResponse> answer) {
        SimulatedNode node = cluster.nodes.get(sibling);
        if (node == null || !reaches(node)) {
            return false;
        }
        node.schedule(
                0.001,
                () ->
                        node.controller.onRelayedHeartbeat(
                                heartbeat,
                                passOn,
                                response -> schedule(0.001, () -> answer.accept(response))));
        return true;
    }

    private boolean reaches(SimulatedNode other) {
        return !cutFrom.contains(other.name) && !other.cutFrom.contains(name);
    }
}
