package io.kitepath.cli;

import io.kitepath.simulation.LoopbackEmulator;
import io.kitepath.simulation.LoopbackRelay.Mode;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedWorker;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** Begins and ends the faults of a soak run on its nodes, links and stand-ins. */
final class SoakInjector {
    private static final double SLOW_STORE_SECONDS = 0.2;
    private static final double LATE_SECONDS = 4;

    /** Of what the settings announce. */
    private static final double THROTTLED_SHARE = 0.1;

    /** One transaction in so many is answered or carried out late, or its answer is lost. */
    private static final int ONE_IN = 4;

    private final LocalNodes nodes;
    private final SoakNetwork network;
    private final LoopbackEmulator emulator;
    private final SimulatedCluster cluster;
    private final Random random;

    SoakInjector(LocalNodes nodes, SoakNetwork network, LoopbackEmulator emulator, long seed) {
        this.nodes = nodes;
        this.network = network;
        this.emulator = emulator;
        this.cluster = emulator.cluster;
        this.random = new Random(seed);
    }

    void begin(SoakFault fault) throws InterruptedException {
        String name = LocalNodeSettings.label(fault.node());
        int node = fault.node();
        switch (fault.kind()) {
            case KILL -> nodes.kill(name);
            case FREEZE -> nodes.freeze(name);
            case STORE_LINK_SILENT -> network.setStoreLink(node, Mode.SILENT);
            case STORE_RESPONSES_HELD -> network.setStoreLink(node, Mode.RESPONSES_HELD);
            case STORE_LINK_RESET -> network.setStoreLink(node, Mode.RESET);
            case STORE_LINK_DELAYED -> network.setStoreLink(node, Mode.DELAYED);
            case PEER_LINKS_SILENT -> network.setPeerLinks(node, Mode.SILENT);
            case PEER_LINKS_RESET -> network.setPeerLinks(node, Mode.RESET);
            case WORKER_LINK_SILENT -> network.setWorkerLink(node, Mode.SILENT);
            case WORKER_RESPONSES_HELD -> network.setWorkerLink(node, Mode.RESPONSES_HELD);
            case WORKER_LINK_RESET -> network.setWorkerLink(node, Mode.RESET);
            case USER_LINK_RESET -> network.setUserLink(node, Mode.RESET);
            case USER_LINK_SILENT -> network.setUserLink(node, Mode.SILENT);
            default -> emulator.run(() -> beginInStandIns(fault));
        }
    }

    void end(SoakFault fault) {
        String name = LocalNodeSettings.label(fault.node());
        int node = fault.node();
        switch (fault.kind()) {
            case KILL -> nodes.startIfEnded(name);
            case FREEZE -> nodes.unfreeze(name);
            case STORE_LINK_SILENT, STORE_RESPONSES_HELD, STORE_LINK_RESET, STORE_LINK_DELAYED ->
                    network.setStoreLink(node, Mode.OPEN);
            case PEER_LINKS_SILENT, PEER_LINKS_RESET -> network.setPeerLinks(node, Mode.OPEN);
            case WORKER_LINK_SILENT, WORKER_RESPONSES_HELD, WORKER_LINK_RESET ->
                    network.setWorkerLink(node, Mode.OPEN);
            case USER_LINK_RESET, USER_LINK_SILENT -> network.setUserLink(node, Mode.OPEN);
            default -> emulator.run(() -> endInStandIns(fault.kind()));
        }
    }

    /** Ends all faults, also those whose end another fault of the same kind has taken over. */
    void endAll(int nodeCount) {
        network.heal();
        for (int node = 0; node < nodeCount; node++) {
            nodes.unfreeze(LocalNodeSettings.label(node));
            nodes.startIfEnded(LocalNodeSettings.label(node));
        }
        emulator.run(
                () -> {
                    for (SoakFault.Kind kind : SoakFault.Kind.values()) {
                        endInStandIns(kind);
                    }
                });
    }

    private void beginInStandIns(SoakFault fault) {
        switch (fault.kind()) {
            case STORE_OUTAGE -> cluster.store.unavailable = true;
            case STORE_SLOW -> cluster.store.extraLatencySeconds = SLOW_STORE_SECONDS;
            case STORE_RESPONSES_LOST ->
                    cluster.store.losesResponseOf = transaction -> random.nextInt(ONE_IN) == 0;
            case STORE_WRITES_LATE ->
                    cluster.store.executionDelaySeconds =
                            transaction ->
                                    random.nextInt(ONE_IN) == 0
                                            ? random.nextDouble() * LATE_SECONDS
                                            : 0;
            case STORE_THROTTLED ->
                    cluster.store.throttle(
                            cluster.requestsPerSecond * THROTTLED_SHARE,
                            cluster.writesPerSecond * THROTTLED_SHARE);
            case WORKERS_HANG -> {
                double until = cluster.clock.now + fault.durationSeconds();
                someWorkers().forEach(worker -> worker.hangingUntil = until);
            }
            case WORKERS_DEAF -> someWorkers().forEach(worker -> worker.receivesNothing = true);
            case HEARTBEATS_COPIED ->
                    cluster.duplicateDelaySeconds =
                            () ->
                                    random.nextInt(ONE_IN) == 0
                                            ? random.nextDouble() * LATE_SECONDS
                                            : 0;
            case DIRECT_COMMANDS_REFUSED -> cluster.refusesDirectCommands = true;
            case DIRECT_COMMANDS_LATE ->
                    cluster.directCommandHoldSeconds = () -> random.nextDouble() * LATE_SECONDS;
            default -> throw new IllegalArgumentException("not in the stand-ins: " + fault);
        }
    }

    private void endInStandIns(SoakFault.Kind kind) {
        switch (kind) {
            case STORE_OUTAGE -> cluster.store.unavailable = false;
            case STORE_SLOW -> cluster.store.extraLatencySeconds = 0;
            case STORE_RESPONSES_LOST -> cluster.store.losesResponseOf = transaction -> false;
            case STORE_WRITES_LATE -> cluster.store.executionDelaySeconds = transaction -> 0;
            case STORE_THROTTLED -> cluster.store.enforcesRates = false;
            case WORKERS_DEAF ->
                    cluster.workers.values().forEach(worker -> worker.receivesNothing = false);
            case HEARTBEATS_COPIED -> cluster.duplicateDelaySeconds = () -> 0;
            case DIRECT_COMMANDS_REFUSED -> cluster.refusesDirectCommands = false;
            case DIRECT_COMMANDS_LATE -> cluster.directCommandHoldSeconds = () -> 0;
            default -> {
                // Ends by itself, or is not in the stand-ins.
            }
        }
    }

    private List<SimulatedWorker> someWorkers() {
        List<SimulatedWorker> all = new ArrayList<>(cluster.workers.values());
        Collections.shuffle(all, random);
        return all.subList(0, (all.size() + 1) / 2);
    }
}
