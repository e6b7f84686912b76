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
 * The interface of one controller node for users, workers, peers and operators. {@link
 * NodeComponents} creates and connects the components of the node; {@link LeaderLoop} and {@link
 * RoundRunner} do the leader's work. All methods must be called on the node's event loop.
 */
public final class Controller {
    private final NodeComponents node;

    /** The settings of the whole cluster; {@link #settings} is the part for this node's cell. */
    private final ClusterSettings clusterWideSettings;

    // Components that are visible to the tests of this package.
    final ClusterSettings settings;
    final ShardState shard;
    final HeartbeatProcessor heartbeatProcessor;
    final Scheduler scheduler;
    final Leadership leadership;
    final StateWriter stateWriter;
    final CancellationWatermark cancellationWatermark;
    final CloudIntents cloudIntents;
    final GarbageCollector garbageCollector;

    /** Creates a node of a cluster with a single cell. */
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
     * Creates a node.
     *
     * @param clusterWideSettings the settings of the whole cluster
     * @param environment the external services, clocks and random source of the node
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
     * Joins the cluster: looks for a leader, campaigns if there is none, and announces the state of
     * this node to its peers.
     */
    public void start() {
        node.start();
    }

    /** Gives up leadership and roles permanently, for an intended stop of the node. */
    public void stop() {
        node.stop();
    }

    // ---- for users ------------------------------------------------------------------------------

    /** Returns the API for users: submission, status queries and cancellation. */
    public JobApi jobApi() {
        return node.otherCells.jobApi();
    }

    /** Returns why the job can never run in this or any remote cell, or null if it can. */
    public String reasonImpossible(JobSpec spec) {
        return spec.infeasibilityReason(
                shard.machineTypes(), clusterWideSettings, node.otherCells.zonesOfOtherCells());
    }

    /** Returns the machine types by name, empty until they are known. */
    public Map<String, MachineType> machineTypes() {
        return shard.machineTypes();
    }

    /**
     * Counts a refused request and returns the number of seconds after which its user should retry.
     */
    public int retryAfterSeconds() {
        return node.retryAfter.nextRetryAfterSeconds();
    }

    // ---- for workers ----------------------------------------------------------------------------

    /** Handles a worker's heartbeat; {@code onResponse} is called once, possibly later. */
    public void onHeartbeat(Heartbeat heartbeat, Consumer<HeartbeatResponse> onResponse) {
        node.heartbeatService.receive(heartbeat, onResponse);
    }

    // ---- for peers ------------------------------------------------------------------------------

    /**
     * Handles a heartbeat that was relayed by a peer.
     *
     * @param mayRelay whether this node may relay the heartbeat further, to the leader
     * @param onResponse called once with the response, possibly later
     */
    public void onRelayedHeartbeat(
            Heartbeat heartbeat, boolean mayRelay, Consumer<HeartbeatResponse> onResponse) {
        node.heartbeatService.respondToPeer(heartbeat, mayRelay, onResponse);
    }

    /**
     * Handles a peer's announcement of its own state.
     *
     * @param peer the peer's name
     * @param fencingToken the highest fencing token known to the peer
     * @param isLeading whether the peer is the leader, with that fencing token
     * @param isServedByStore whether the peer receives responses from the store
     */
    public void onPeerState(
            String peer, long fencingToken, boolean isLeading, boolean isServedByStore) {
        node.gossip.onPeerState(peer, fencingToken, isLeading, isServedByStore);
    }

    /** Handles a peer's announcement that the job's final state is committed. */
    public void onJobEndedAtPeer(JobStatus job) {
        node.gossip.onJobEndedAtPeer(job);
    }

    /** Handles a peer's digest of the cancellations known to it. */
    public void onCancellationDigest(CancellationDigest digest) {
        node.gossip.onCancellationDigest(digest);
    }

    /**
     * Handles the leader's announcement that these jobs will be cancelled for certain, and that
     * users may be told.
     */
    public void onImpliedCancellations(List<String> jobIds) {
        node.submissions.onImpliedCancellations(jobIds);
    }

    /** Returns the progress of the given jobs in this shard; empty if this node does not lead. */
    public List<JobProgress> jobProgress(List<String> jobIds) {
        return node.gossip.progress(jobIds);
    }

    /** Returns the connection to the remote cells, which handles their messages. */
    public OtherCells otherCells() {
        return node.otherCells;
    }

    // ---- for operators --------------------------------------------------------------------------

    /** Returns whether, as far as this node knows, no peer can serve users better. */
    public boolean isHealthy() {
        return node.gossip.isHealthy();
    }

    /** Returns the leased roles, each with its role holder as far as this node knows. */
    public List<LeasedRoles.Role> roles() {
        return node.cloud.leasedRoles.roles();
    }

    /** Returns this node's metrics by name, in a fixed order; values are evaluated on access. */
    public Map<String, Metric> metrics() {
        MetricCollector collector = new MetricCollector();
        new NodeMetrics(node).addTo(collector);
        new RoleMetrics(node).addTo(collector);
        Map<String, Metric> metrics = collector.metrics();
        node.otherCells.addMetrics(metrics);
        return metrics;
    }

    /** Returns the fencing token of this node's leadership, 0 if it does not lead. */
    public long fencingTokenIfLeading() {
        return leadership.isLeading() ? leadership.fencingToken() : 0;
    }

    /** Returns whether this node leads and has loaded the shard's jobs. */
    public boolean isServingShard() {
        return node.isServingShard();
    }

    // ---- for tests ------------------------------------------------------------------------------

    /** Returns whether this node may act in the role now, according to its own clock. */
    boolean holdsRole(String role) {
        return node.cloud.leasedRoles.holds(role);
    }

    /** Returns the number of scheduling rounds since the process started. */
    long schedulingRounds() {
        return node.roundRunner.roundCount();
    }
}
