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
 * What this node and its peers tell each other, and what follows from it: each second every node
 * announces its own state and the cancellations it learned of.
 */
final class Gossip implements JobStatusQueries.ProgressSource {
    private static final double INTERVAL_SECONDS = 1;

    /** The store counts as gone once it has not answered for a leader's lease and that long. */
    private static final double STORE_GRACE_SECONDS = 1;

    /** What gossip asks of, and tells, the rest of the node. */
    interface Node {
        /** Whether this node leads and has loaded the shard's jobs. */
        boolean holdsShard();

        /** The store has the job's final state. */
        void onJobEnded(JobStatus job);

        /** Something may be placed or stopped. */
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

    /** Announces this node's state now and then once a second. */
    void start() {
        broadcast();
        membership.logSilenceChanges(leadership.leader());
        timers.schedule(INTERVAL_SECONDS, this::start);
    }

    /** Whether the store answers this node. */
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

    /** This node knows that the job is cancelled, and may tell users so from now on. */
    void onCancellationConfirmed(String jobId) {
        cancellationLog.recordCancellation(jobId);
        markCancelled(jobId);
    }

    /** Digests repeat themselves each second: only news is worth a round. */
    private void markCancelled(String jobId) {
        cancellationWatermark.addUnverified(jobId);
        if (shard.finishJob(jobId)) {
            node.requestRound();
        }
    }

    /** A peer's digest of the cancellations it learned of. */
    void onCancellationDigest(CancellationDigest digest) {
        digest.jobIds().forEach(this::markCancelled);
        cancellationWatermark.advanceByDigest(digest);
    }

    /** A peer's announcement of its own state; see {@link Controller#onPeerState}. */
    void onPeerState(String peer, long fencingToken, boolean isLeading, boolean isServedByStore) {
        membership.onPeerState(peer, isServedByStore);
        leadership.onFencingTokenSeen(fencingToken, isLeading ? peer : null);
    }

    /** A peer's announcement that the store has the job's final state, which never changes. */
    void onJobEndedAtPeer(JobStatus job) {
        node.onJobEnded(job);
        if (shard.finishJob(job.jobId())) {
            node.requestRound();
        }
    }

    /**
     * Whether users are served as well here as at a peer. They are not if the store answers a peer
     * and not this node, nor if neither store nor peers can be reached, since then it is this node
     * that is cut off.
     */
    boolean isHealthy() {
        return isServedByStore()
                || !membership.isAnyPeerServedByStore() && !membership.isIsolated();
    }

    /** The progress of the jobs as their leader knows it; empty if this node is not the leader. */
    List<JobProgress> progress(List<String> jobIds) {
        return node.holdsShard() ? shard.progress(jobIds, timers.nowSeconds()) : List.of();
    }

    // ---- for users' status queries: the leader's view -------------------------------------------

    @Override
    public void progress(List<String> jobIds, Consumer<List<JobProgress>> answer) {
        String leader = leadership.leader();
        if (leadership.isLeading()) {
            answer.accept(progress(jobIds));
        } else if (leader == null
                || leader.equals(settings.node())
                || membership.isSilent(leader)) {
            answer.accept(List.of());
        } else {
            peerNodes.requestProgress(leader, jobIds, answer);
        }
    }

    @Override
    public String whyUnavailable() {
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
