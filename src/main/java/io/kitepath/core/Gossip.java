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
final class Gossip implements JobStatusQueries.Holder {
    private static final double EVERY_S = 1;

    private final ClusterSettings settings;
    private final Timers timers;
    private final PeerNodes siblings;
    private final Leadership leadership;
    private final MembershipView membership;
    private final ShardState shard;
    private final CancellationWatermark cancellationWatermark;
    private final CancellationLog cancellations;

    /** Whether this node holds the block and knows the jobs. */
    private final BooleanSupplier holds;

    private final Consumer<JobStatus> ended;
    private final Runnable changed;

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
        this.siblings = siblings;
        this.leadership = leadership;
        this.membership = membership;
        this.shard = shard;
        this.cancellationWatermark = cancellationWatermark;
        this.cancellations = new CancellationLog(settings, timers);
        this.holds = holds;
        this.ended = ended;
        this.changed = changed;
    }

    void start() {
        tell();
        membership.watch(leadership.leader());
        timers.schedule(EVERY_S, this::start);
    }

    /** Whether the store answers this node. */
    boolean served() {
        return leadership.unservedS() < leadership.lifeS() + 1;
    }

    void tell() {
        siblings.announceState(
                leadership.leading() ? shard.fencingToken() : leadership.highest(),
                leadership.leading() ? settings.node() : null,
                served());
        siblings.sendCancellationDigest(cancellations.digest());
    }

    /** This node knows that the job is cancelled, and may tell users so from now on. */
    void learned(String jobId) {
        cancellations.learned(jobId);
        cancelled(jobId);
    }

    /** Digests repeat themselves each second: only news is worth a round. */
    private void cancelled(String jobId) {
        cancellationWatermark.told(jobId);
        if (shard.finishJob(jobId)) {
            changed.run();
        }
    }

    /** A sibling's word on cancellations. */
    void told(CancellationDigest digest) {
        digest.jobIds().forEach(this::cancelled);
        cancellationWatermark.word(digest);
    }

    /** A sibling's view of itself. */
    void told(String by, long token, boolean leads, boolean isServed) {
        membership.told(by, isServed);
        leadership.outbid(token, leads ? by : null);
    }

    /** A sibling's word that the store has the job's end, which never changes. */
    void toldOver(JobStatus job) {
        ended.accept(job);
        if (shard.finishJob(job.jobId())) {
            changed.run();
        }
    }

    /**
     * Whether users are better off here: not if the store serves a sibling and not us, nor if
     * neither store nor siblings are to be reached, since then it is this node that is cut off.
     */
    boolean healthy() {
        return served() || !membership.someServed() && !membership.alone();
    }

    /** What this node knows of the jobs as their holder; nothing if it does not hold them. */
    List<JobProgress> progress(List<String> jobs) {
        return holds.getAsBoolean() ? shard.progress(jobs, timers.nowSeconds()) : List.of();
    }

    // ---- for users' questions: who places tasks now
    // ----------------------------------------------

    @Override
    public void progress(List<String> jobs, Consumer<List<JobProgress>> answer) {
        String leader = leadership.leader();
        if (leadership.leading()) {
            answer.accept(progress(jobs));
        } else if (leader == null || leader.equals(settings.node()) || membership.silent(leader)) {
            answer.accept(List.of());
        } else {
            siblings.requestProgress(leader, jobs, answer);
        }
    }

    @Override
    public String silence() {
        String leader = leadership.leader();
        if (leader == null) {
            return "no node leads at the moment";
        }
        if (leadership.leading()) {
            return "this node has just begun to lead and reads the jobs";
        }
        double silentS = membership.silentS(leader);
        return "node "
                + leader
                + ", which places tasks, does not answer"
                + (membership.silent(leader) && !Double.isNaN(silentS)
                        ? " and was last heard " + Math.round(silentS) + " s ago"
                        : "");
    }
}
