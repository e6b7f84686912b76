package io.kitepath.core;

import io.kitepath.core.leadership.CancellationWatermark;
import io.kitepath.core.leadership.Leadership;
import io.kitepath.core.model.CancellationDigest;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.JobProgress;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobStatus;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.model.Metric;
import io.kitepath.core.port.Cloud;
import io.kitepath.core.port.DirectCommands;
import io.kitepath.core.port.PeerNodes;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Timers;
import io.kitepath.core.role.CloudIntents;
import io.kitepath.core.role.GarbageCollector;
import io.kitepath.core.role.LeasedRoles;
import io.kitepath.core.scheduling.Scheduler;
import io.kitepath.core.service.JobApi;
import io.kitepath.core.shard.HeartbeatProcessor;
import io.kitepath.core.shard.ShardState;
import io.kitepath.core.state.StateWriter;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;

/**
 * One controller node, as users, workers, peers and operators see it. The parts behind it are
 * connected in {@link NodeComponents}; the leader's work is in {@link LeaderLoop} and {@link
 * RoundRunner}. Every method is called on the node's event loop.
 */
public final class Controller {
    private final NodeComponents node;

    /** The whole cluster's settings; the node itself works with its cell's part of them. */
    private final ClusterSettings clusterWideSettings;

    // Parts that tests of this package look into.
    final ClusterSettings settings;
    final ShardState shard;
    final HeartbeatProcessor heartbeatProcessor;
    final Scheduler scheduler;
    final Leadership leadership;
    final StateWriter stateWriter;
    final CancellationWatermark cancellationWatermark;
    final CloudIntents cloudIntents;
    final GarbageCollector garbageCollector;

    /** A node of a cluster with a single cell. */
    public Controller(
            ClusterSettings settings,
            Store store,
            Cloud cloud,
            DirectCommands directCommands,
            Timers timers,
            PeerNodes peerNodes,
            Random random) {
        this(
                settings,
                new NodeEnvironment(store, cloud, directCommands, timers, peerNodes, random),
                Optional.empty());
    }

    /**
     * @param clusterWideSettings the whole cluster's settings
     * @param environment what the node is given from outside
     * @param cellNetwork the cells of the cluster, empty if there is only one
     */
    public Controller(
            ClusterSettings clusterWideSettings,
            NodeEnvironment environment,
            Optional<CellNetwork> cellNetwork) {
        this.clusterWideSettings = clusterWideSettings;
        this.settings =
                cellNetwork
                        .map(network -> network.directory().ownCell())
                        .map(ownCell -> clusterWideSettings.withTeams(ownCell.teams()))
                        .orElse(clusterWideSettings);
        this.node = new NodeComponents(settings, environment, cellNetwork);
        this.shard = node.shard;
        this.heartbeatProcessor = node.heartbeatProcessor;
        this.scheduler = node.scheduler;
        this.leadership = node.leadership;
        this.stateWriter = node.stateWriter;
        this.cancellationWatermark = node.cancellationWatermark;
        this.cloudIntents = node.cloud.intents;
        this.garbageCollector = node.cloud.garbageCollector;
    }

    /**
     * Starts to take part: looks for a leader, campaigns if there is none, tells peers its state.
     */
    public void start() {
        node.start();
    }

    /** Gives up leadership and roles for good: the node is being stopped on purpose. */
    public void stop() {
        node.stop();
    }

    // ---- for users ------------------------------------------------------------------------------

    /** What users may ask: submit, status and cancel. */
    public JobApi jobApi() {
        return node.otherCells.jobApi();
    }

    /** Why the job can never run, here or in any other cell, or null if it can. */
    public String reasonImpossible(JobSpec spec) {
        return spec.infeasibilityReason(
                shard.machineTypes(), clusterWideSettings, node.otherCells.zonesOfOtherCells());
    }

    /** The machine types by name, empty until they are known. */
    public Map<String, MachineType> machineTypes() {
        return shard.machineTypes();
    }

    /** After how many seconds a user who can't be answered now shall retry; counts the refusal. */
    public int retryAfterSeconds() {
        return node.retryAfter.nextRetryAfterSeconds();
    }

    // ---- for workers ----------------------------------------------------------------------------

    /** A worker's heartbeat; {@code answer} is called once, possibly later. */
    public void onHeartbeat(Heartbeat heartbeat, Consumer<HeartbeatResponse> answer) {
        node.heartbeatService.receive(heartbeat, answer);
    }

    // ---- for peers ------------------------------------------------------------------------------

    /** A heartbeat that a peer relays; {@code passOn}: it may be relayed further, to the leader. */
    public void onRelayedHeartbeat(
            Heartbeat heartbeat, boolean passOn, Consumer<HeartbeatResponse> answer) {
        node.heartbeatService.answerForPeer(heartbeat, passOn, answer);
    }

    /**
     * A peer's announcement of its own state.
     *
     * @param peer the peer's name
     * @param fencingToken the highest fencing token that it knows
     * @param isLeading whether it leads, with that token
     * @param isServedByStore whether the store answers it
     */
    public void onPeerState(
            String peer, long fencingToken, boolean isLeading, boolean isServedByStore) {
        node.gossip.onPeerState(peer, fencingToken, isLeading, isServedByStore);
    }

    /** A peer's announcement that the store has the job's final state. */
    public void onJobEndedAtPeer(JobStatus job) {
        node.gossip.onJobEndedAtPeer(job);
    }

    /** A peer's digest of the cancellations it learned of. */
    public void onCancellationDigest(CancellationDigest digest) {
        node.gossip.onCancellationDigest(digest);
    }

    /** The progress of those of the jobs that this node places; empty if it does not lead. */
    public List<JobProgress> jobProgress(List<String> jobIds) {
        return node.gossip.progress(jobIds);
    }

    /** The other cells, for messages from them. */
    public OtherCells otherCells() {
        return node.otherCells;
    }

    // ---- for operators --------------------------------------------------------------------------

    /** Whether users are served as well here as at a peer, as far as this node knows. */
    public boolean isHealthy() {
        return node.gossip.isHealthy();
    }

    /** The roles, and which node holds each as far as this node knows. */
    public List<LeasedRoles.Role> roles() {
        return node.cloud.leasedRoles.roles();
    }

    /** This node's metrics by name, in a fixed order; their values are read when asked for. */
    public Map<String, Metric> metrics() {
        MetricCollector collector = new MetricCollector();
        new NodeMetrics(node).addTo(collector);
        new RoleMetrics(node).addTo(collector);
        Map<String, Metric> metrics = collector.metrics();
        node.otherCells.addMetrics(metrics);
        return metrics;
    }

    /** The fencing token that it leads with, 0 if it does not lead. */
    public long fencingTokenIfLeading() {
        return leadership.isLeading() ? leadership.fencingToken() : 0;
    }

    /** Whether it leads and has loaded the shard's jobs. */
    public boolean holdsShard() {
        return node.holdsShard();
    }

    // ---- for tests ------------------------------------------------------------------------------

    /** Whether this node may act in that role now, by its own clock. */
    boolean holdsRole(String role) {
        return node.cloud.leasedRoles.holds(role);
    }

    /** Scheduling rounds so far. */
    long schedulingRounds() {
        return node.roundRunner.rounds();
    }
}
