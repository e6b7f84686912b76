package io.kitepath.core;

import io.kitepath.core.leadership.CancellationLog;
import io.kitepath.core.leadership.CancellationWatermark;
import io.kitepath.core.leadership.Leadership;
import io.kitepath.core.leadership.MembershipView;
import io.kitepath.core.model.CancellationDigest;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobProgress;
import io.kitepath.core.model.JobStatus;
import io.kitepath.core.port.PeerNodes;
import io.kitepath.core.port.Timers;
import io.kitepath.core.service.JobStatusQueries;
import io.kitepath.core.shard.ShardState;
import java.util.List;
import java.util.function.Consumer;

/**
 * Exchanges state with the peers and acts on what they announce. Every node announces its own state
 * and the cancellations known to it once a second.
 */
final class Gossip implements JobStatusQueries.ProgressSource {
    private static final double INTERVAL_SECONDS = 1;

    /**
     * The store counts as unreachable if this node has received no response from it for the
     * duration of a leader's lease plus this time.
     */
    private static final double STORE_GRACE_SECONDS = 1;

    /** The other components of the node, as used by gossip. */
    interface Node {
        /** Returns whether this node leads and has loaded the shard's jobs. */
        boolean isServingShard();

        /** Notifies the node that the job's final state is committed. */
        void onJobEnded(JobStatus job);

        /** Requests a scheduling round, as tasks may be placed or stopped. */
        void requestRound();
    }

    private final ClusterSettings settings;
    private final Timers timers;
    private final PeerNodes peerNodes;
    private final Leadership leadership;
    private final MembershipView membership;
    private final ShardState shard;
    private final CancellationWatermark cancellationWatermark;
    private final CancellationLog cancellationLog;
    private final Node node;

    Gossip(
            Timers timers,
            PeerNodes peerNodes,
            Leadership leadership,
            MembershipView membership,
            ShardState shard,
            CancellationWatermark cancellationWatermark,
            Node node) {
        this.settings = shard.settings();
        this.timers = timers;
        this.peerNodes = peerNodes;
        this.leadership = leadership;
        this.membership = membership;
        this.shard = shard;
        this.cancellationWatermark = cancellationWatermark;
        this.cancellationLog = new CancellationLog(settings, timers);
        this.node = node;
    }

    /** Announces this node's state at once and then once a second. */
    void start() {
        broadcast();
        membership.logSilenceChanges(leadership.leader());
        timers.schedule(INTERVAL_SECONDS, this::start);
    }

    /** Returns whether this node receives responses from the store. */
    boolean isServedByStore() {
        return leadership.secondsSinceStoreResponse()
                < leadership.leaseSeconds() + STORE_GRACE_SECONDS;
    }

    /** Announces this node's state and cancellations to all peers. */
    void broadcast() {
        boolean isLeading = leadership.isLeading();
        peerNodes.announceState(
                isLeading ? shard.fencingToken() : leadership.highestFencingToken(),
                isLeading ? settings.node() : null,
                isServedByStore());
        peerNodes.sendCancellationDigest(cancellationLog.digest());
    }

    /** Records that the job is known to be cancelled; users may be notified from now on. */
    void onCancellationConfirmed(String jobId) {
        cancellationLog.recordCancellation(jobId);
        finishCancelledJob(jobId);
    }

    /** Requests a scheduling round only for new cancellations, as digests repeat every second. */
    private void finishCancelledJob(String jobId) {
        cancellationWatermark.addUnverified(jobId);
        if (shard.finishJob(jobId)) {
            node.requestRound();
        }
    }

    /** Handles a peer's digest of the cancellations known to it. */
    void onCancellationDigest(CancellationDigest digest) {
        digest.jobIds().forEach(this::finishCancelledJob);
        cancellationWatermark.advanceByDigest(digest);
    }

    /** Handles a peer's announcement of its own state; see {@link Controller#onPeerState}. */
    void onPeerState(String peer, long fencingToken, boolean isLeading, boolean isServedByStore) {
        membership.onPeerState(peer, isServedByStore);
        leadership.onFencingTokenSeen(fencingToken, isLeading ? peer : null);
    }

    /** Handles a peer's announcement that the job's final state is committed. It never changes. */
    void onJobEndedAtPeer(JobStatus job) {
        node.onJobEnded(job);
        if (shard.finishJob(job.jobId())) {
            node.requestRound();
        }
    }

    /**
     * Returns whether no peer can serve users better than this node. A peer can if it receives
     * responses from the store and this node does not. A node that reaches neither the store nor
     * any peer is unhealthy too, as it is the one that is disconnected.
     */
    boolean isHealthy() {
        return isServedByStore()
                || !membership.isAnyPeerServedByStore() && !membership.isIsolated();
    }

    /** Returns the progress of the jobs as known to this leader; empty on any other node. */
    List<JobProgress> progress(List<String> jobIds) {
        return node.isServingShard()
                ? shard.progress(jobIds, timers.nowSeconds(), timers.wallClockMillis())
                : List.of();
    }

    // ---- for users' status queries --------------------------------------------------------------

    @Override
    public void requestProgress(List<String> jobIds, Consumer<List<JobProgress>> onResponse) {
        String leader = leadership.leader();
        if (leadership.isLeading()) {
            onResponse.accept(progress(jobIds));
        } else if (leader == null
                || leader.equals(settings.node())
                || membership.isSilent(leader)) {
            onResponse.accept(List.of());
        } else {
            peerNodes.requestProgress(leader, jobIds, onResponse);
        }
    }

    @Override
    public String describeUnavailability() {
        String leader = leadership.leader();
        if (leader == null) {
            return "no node leads at the moment";
        }
        if (leadership.isLeading()) {
            return "this node has just begun to lead and reads the jobs";
        }
        double silentSeconds = membership.silentSeconds(leader);
        return "node "
                + leader
                + ", which places tasks, does not answer"
                + (membership.isSilent(leader) && !Double.isNaN(silentSeconds)
                        ? " and was last heard " + Math.round(silentSeconds) + " s ago"
                        : "");
    }
}
