package io.kitepath.simulation;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.HeartbeatResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * The network from workers to the nodes of one {@link SimulatedCluster}. It can deliver a heartbeat
 * twice, and keep copies of heartbeats until another node has become leader; the cluster's fields
 * say when.
 */
final class InMemoryWorkerNetwork implements SimulatedCluster.WorkerNetwork {
    private static final double ONE_WAY_SECONDS = 0.002;

    /** Spreads duplicates over the nodes, by how late they come. */
    private static final double NODES_SKIPPED_PER_SECOND = 7;

    private static final Consumer<HeartbeatResponse> NOBODY_LISTENS = response -> {};

    private final SimulatedCluster cluster;
    private final List<Heartbeat> copiedHeartbeats = new ArrayList<>();
    private long newestAnnouncedToken;
    private long newestAnsweringToken;

    InMemoryWorkerNetwork(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    @Override
    public List<String> aliveNodes() {
        return cluster.nodes.values().stream()
                .filter(node -> node.alive)
                .map(node -> node.name)
                .toList();
    }

    @Override
    public void heartbeat(String to, Heartbeat heartbeat, Consumer<HeartbeatResponse> answer) {
        // The process that has that name now, also if another has taken its place on arrival.
        SimulatedNode node = cluster.nodes.get(to);
        if (cluster.copiesHeartbeat.test(heartbeat)) {
            copiedHeartbeats.add(heartbeat);
        }
        double duplicateDelay = cluster.duplicateDelaySeconds.getAsDouble();
        if (duplicateDelay > 0) {
            cluster.after(duplicateDelay, () -> deliverDuplicate(heartbeat, duplicateDelay));
        }
        cluster.after(
                ONE_WAY_SECONDS,
                () -> deliver(node, heartbeat, response -> sendBack(response, answer)));
    }

    private void sendBack(HeartbeatResponse response, Consumer<HeartbeatResponse> answer) {
        cluster.after(ONE_WAY_SECONDS, () -> answer.accept(response));
    }

    private void deliverDuplicate(Heartbeat heartbeat, double delaySeconds) {
        long skipped = (long) (delaySeconds * NODES_SKIPPED_PER_SECOND) % cluster.nodes.size();
        cluster.nodes.values().stream()
                .filter(node -> node.alive)
                .skip(skipped)
                .findFirst()
                .ifPresent(node -> deliver(node, heartbeat, NOBODY_LISTENS));
    }

    private static void deliver(
            SimulatedNode node, Heartbeat heartbeat, Consumer<HeartbeatResponse> answer) {
        node.deliver(() -> node.controller.onHeartbeat(heartbeat, answer));
    }

    // ---- copies that are kept until another node leads ------------------------------------------

    /** A node has announced that it leads with that fencing token. */
    void onLeaderAnnounced(long fencingToken) {
        if (fencingToken > newestAnnouncedToken) {
            newestAnnouncedToken = fencingToken;
            if (cluster.deliversCopiesToAllNodes) {
                deliverCopies(List.copyOf(cluster.nodes.values()));
            }
        }
    }

    /** A worker has accepted a node's heartbeat response with that fencing token. */
    void onHeartbeatAnswered(String name, long fencingToken) {
        if (fencingToken > newestAnsweringToken) {
            newestAnsweringToken = fencingToken;
            SimulatedNode node = cluster.nodes.get(name);
            if (!cluster.deliversCopiesToAllNodes && node != null) {
                deliverCopies(List.of(node));
            }
        }
    }

    private void deliverCopies(List<SimulatedNode> to) {
        List<Heartbeat> copies = List.copyOf(copiedHeartbeats);
        copiedHeartbeats.clear();
        cluster.after(
                cluster.copyDeliveryDelaySeconds,
                () -> copies.forEach(heartbeat -> deliverCopy(heartbeat, to)));
    }

    private void deliverCopy(Heartbeat heartbeat, List<SimulatedNode> to) {
        for (SimulatedNode node : to) {
            if (node.alive) {
                cluster.copiesDelivered++;
                deliver(node, heartbeat, NOBODY_LISTENS);
            }
        }
    }
}
