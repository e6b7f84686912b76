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
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** What this node and its siblings tell each other, and what follows from it. */
final class Gossip implements JobStatusQueries.ProgressSource {
    private static final double INTERVAL_SECONDS = 1;

    private final ClusterSettings settings;
    private final Timers timers;
    private final PeerNodes peerNodes;
    private final Leadership leadership;
    private final MembershipView membership;
    private final ShardState shard;
    private final CancellationWatermark cancellationWatermark;
    private final CancellationLog cancellationLog;

    /** Whether this node holds the block and knows the jobs. */
    private final BooleanSupplier holdsShard;

    private final Consumer<JobStatus> onJobEnded;
    private final Runnable requestRound;

    /**
     * @param holds whether this node holds the block and knows the jobs
     * @param ended takes a job's end, which never changes
     * @param changed runs when something may be placed or stopped
     */
    Gossip(
            Timers timers,
            PeerNodes siblings,
            Leadership leadership,
            MembershipView membership,
            ShardState shard,
            CancellationWatermark cancellationWatermark,
            BooleanSupplier holds,
            Consumer<JobStatus> ended,
            Runnable changed) {
        this.settings = shard.settings();
        this.timers = timers;
        this.peerNodes = siblings;
        this.leadership = leadership;
        this.membership = membership;
        this.shard = shard;
        this.cancellationWatermark = cancellationWatermark;
        this.cancellationLog = new CancellationLog(settings, timers);
        this.holdsShard = holds;
        this.onJobEnded = ended;
        this.requestRound = changed;
    }

    void start() {
        broadcast();
        membership.logSilenceChanges(leadership.leader());
        timers.schedule(INTERVAL_SECONDS, this::start);
    }

    /** Whether the store answers this node. */
    boolean isServedByStore() {
        return leadership.secondsSinceStoreAnswered() < leadership.leaseSeconds() + 1;
    }

    void broadcast() {
        peerNodes.announceState(
                leadership.isLeading() ? shard.fencingToken() : leadership.highestFencingToken(),
                leadership.isLeading() ? settings.node() : null,
                isServedByStore());
        peerNodes.sendCancellationDigest(cancellationLog.digest());
    }

    /** This node knows that the job is cancelled, and may tell users so from now on. */
    void onCancellationConfirmed(String jobId) {
        cancellationLog.add(jobId);
        markCancelled(jobId);
    }

    /** Digests repeat themselves each second: only news is worth a round. */
    private void markCancelled(String jobId) {
        cancellationWatermark.addUnproven(jobId);
        if (shard.finishJob(jobId)) {
            requestRound.run();
        }
    }

    /** A sibling's word on cancellations. */
    void onPeerState(CancellationDigest digest) {
        digest.jobIds().forEach(this::markCancelled);
        cancellationWatermark.advanceByDigest(digest);
    }

    /** A sibling's view of itself. */
    void onPeerState(String by, long token, boolean leads, boolean isServed) {
        membership.onPeerState(by, isServed);
        leadership.onFencingTokenSeen(token, leads ? by : null);
    }

    /** A sibling's word that the store has the job's end, which never changes. */
    void onJobEndedAtPeer(JobStatus job) {
        onJobEnded.accept(job);
        if (shard.finishJob(job.jobId())) {
            requestRound.run();
        }
    }

    /**
     * Whether users are better off here: not if the store serves a sibling and not us, nor if
     * neither store nor siblings are to be reached, since then it is this node that is cut off.
     */
    boolean isHealthy() {
        return isServedByStore()
                || !membership.isAnyPeerServedByStore() && !membership.isIsolated();
    }

    /** What this node knows of the jobs as their holder; nothing if it does not hold them. */
    List<JobProgress> progress(List<String> jobs) {
        return holdsShard.getAsBoolean() ? shard.progress(jobs, timers.nowSeconds()) : List.of();
    }

    // ---- for users' questions: who places tasks now
    // ----------------------------------------------

    @Override
    public void progress(List<String> jobs, Consumer<List<JobProgress>> answer) {
        String leader = leadership.leader();
        if (leadership.isLeading()) {
            answer.accept(progress(jobs));
        } else if (leader == null
                || leader.equals(settings.node())
                || membership.isSilent(leader)) {
            answer.accept(List.of());
        } else {
            peerNodes.requestProgress(leader, jobs, answer);
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
        double silentS = membership.silentSeconds(leader);
        return "node "
                + leader
                + ", which places tasks, does not answer"
                + (membership.isSilent(leader) && !Double.isNaN(silentS)
                        ? " and was last heard " + Math.round(silentS) + " s ago"
                        : "");
    }
}
