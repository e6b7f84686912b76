package io.kitepath.core.leadership;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Timers;
import io.kitepath.core.state.StoreKeys;
import java.util.Random;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Leader election by a lease in the store. The leader's record and its shard's record hang on the
 * lease; the transaction that creates them raises the stored fencing token, so two nodes never hold
 * the same one. What a former leader may still send to the store fails, because its writes depend
 * on the revision of a record that is gone.
 *
 * <p>A process that ended while it led and is back before its lease expired knows that nobody
 * renews that lease any more, and ends it; see {@link Incarnation}.
 *
 * <p>Event loop only; listeners are called on it too.
 */
public final class Leadership {
    private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);

    /** The record of the only shard, which holds all machines. */
    public static final String SHARD_KEY = StoreKeys.SHARDS + "all";

    /** The steady clocks of two machines drift apart by up to half of that share. */
    private static final double MAX_CLOCK_DRIFT = 0.001;

    private static final double MIN_LEASE_SECONDS = 2;
    private static final int RENEWALS_PER_LEASE = 5;
    private static final double MIN_RETRY_SECONDS = 0.2;
    private static final double RETRY_JITTER_SECONDS = 0.3;
    private static final double CAMPAIGN_JITTER_SECONDS = 0.1;

    /** Is told of changes of leadership. */
    public interface Listener {
        /**
         * This node leads from now on.
         *
         * @param fencingToken higher than any before
         * @param leaseId the lease that its records hang on
         * @param shardRevision at which it wrote the shard's record
         */
        void onLeadershipWon(long fencingToken, long leaseId, long shardRevision);

        /** This node has stopped leading; {@code why} is for the log. */
        void onLeadershipLost(String why);

        /** Another node leads, for all this node knows, or the same one anew. */
        void onLeaderChanged(String leader);
    }

    private final ClusterSettings settings;
    private final Store store;
    private final Timers timers;
    private final Random random;
    private final Incarnation incarnation;
    private final Listener listener;
    private final double leaseSeconds;

    /** Who leads by the last that we heard, or null. */
    private String leader;

    private long highestFencingToken;

    /** When the store last answered us. */
    private double storeAnsweredAt;

    /** A process that was started later leads under our name. */
    private boolean hasLaterProcess;

    private final Campaign campaign;
    private boolean isStopped;

    // While this node leads: its term.
    private boolean isLeading;
    private long fencingToken;
    private long leaseId;

    /** When we asked for the lease, or its last renewal that went through. */
    private double renewalRequestedAt;

    /** The last renewal was refused or got no answer. */
    private boolean isRenewalInDoubt;

    /** Does nothing until {@link #start}. */
    public Leadership(
            ClusterSettings settings,
            Store store,
            Timers timers,
            Random random,
            Incarnation incarnation,
            Listener listener) {
        this.settings = settings;
        this.store = store;
        this.timers = timers;
        this.random = random;
        this.listener = listener;
        // Short against the workers' lease, so that a new leader is there well before their work is
        // given up.
        this.leaseSeconds =
                Math.max(MIN_LEASE_SECONDS, settings.workers().heartbeatIntervalSeconds());
        this.storeAnsweredAt = timers.nowSeconds();
        this.incarnation = incarnation;
        this.campaign =
                new Campaign(
                        settings, store, timers, incarnation, leaseSeconds, new CampaignResult());
    }

    /** Looks for a leader, and campaigns whenever there is none. */
    public void start() {
        readLeaderRecord();
    }

    /**
     * Leads no more, and never again: the node is being stopped. Its successor need not wait for a
     * lease to expire.
     */
    public void stop() {
        isStopped = true;
        stepDown("the node is being stopped");
    }

    /** Whether this node leads. Its lease may have expired; see {@link #isLeaseValid}. */
    public boolean isLeading() {
        return isLeading;
    }

    /** The node that leads as far as known, this one included; null if none is known. */
    public String leader() {
        return leader;
    }

    /** How long a leader's lease lasts without renewal. */
    public double leaseSeconds() {
        return leaseSeconds;
    }

    /** The fencing token of this node's last term. */
    public long fencingToken() {
        return fencingToken;
    }

    /** The highest fencing token of any leader that this node has heard of. */
    public long highestFencingToken() {
        return highestFencingToken;
    }

    /** Seconds since the store last answered this node. */
    public double secondsSinceStoreAnswered() {
        return timers.nowSeconds() - storeAnsweredAt;
    }

    /**
     * Whether our lease is certain not to have expired, by our own clock and counted from when we
     * asked for its last renewal. A leader whose lease may have expired starts nothing and asks for
     * nothing.
     */
    public boolean isLeaseValid() {
        return timers.nowSeconds() - renewalRequestedAt < leaseSeconds * (1 - MAX_CLOCK_DRIFT);
    }

    /**
     * Whether tasks may be launched: our lease is valid, and the store granted its last renewal.
     * Guards against launches of what others have just confirmed as cancelled, by a leader that the
     * store refuses alone and that may not hear its peers either: it knows so a fifth of its lease
     * after, not at the end of it. What waits is launched by the answer to a later heartbeat.
     */
    public boolean mayLaunch() {
        return isLeaseValid() && !isRenewalInDoubt;
    }

    /**
     * A worker or peer has seen that fencing token. One higher than ours means that another node
     * leads.
     *
     * @param seen the token
     * @param seenLeader the node that leads with it, null if that is not known
     */
    public void onFencingTokenSeen(long seen, String seenLeader) {
        if (seen > highestFencingToken) {
            highestFencingToken = seen;
            if (seenLeader != null && !isLeading) {
                setLeader(seenLeader, true);
            }
        }
        if (isLeading && seen > fencingToken) {
            stepDown("a higher fencing token " + seen + " was seen");
        }
    }

    /** Gives up leadership if this node has it; {@code why} is for the log. */
    public void stepDown(String why) {
        if (!isLeading) {
            return;
        }
        isLeading = false;
        leader = null;
        store.revokeLease(leaseId); // Nobody need wait for it to expire.
        LOG.info("leadership lost: fencingToken={} reason=\"{}\"", fencingToken, why);
        listener.onLeadershipLost(why);
    }

    // ---- following the leader's record ----------------------------------------------------------

    private void readLeaderRecord() {
        store.get(
                StoreKeys.LEADER,
                (outcome, entry) -> {
                    if (outcome == Outcome.OK) {
                        onStoreAnswered();
                        onLeaderRecordRead(entry);
                    } else if (outcome == Outcome.REJECTED) {
                        onStoreAnswered();
                        onLeaderRecordAbsent();
                    } else {
                        readLeaderRecordLater();
                    }
                });
    }

    /**
     * Guards against a node that does not hear of any leader any more since the record could not be
     * read once: it is read again until it can be, or is gone.
     */
    private void onLeaderRecordRead(Store.Entry entry) {
        try {
            onLeaderRecord(HolderRecord.fromRecord(entry.value()));
        } catch (InvalidInputException invalid) {
            LOG.error("record {} is unreadable: {}", entry.key(), invalid.getMessage());
            readLeaderRecordLater();
            return;
        }
        watchLeaderRecord(entry.revision());
    }

    private void readLeaderRecordLater() {
        double delay = MIN_RETRY_SECONDS + random.nextDouble() * RETRY_JITTER_SECONDS;
        timers.schedule(delay, this::readLeaderRecord);
    }

    private void watchLeaderRecord(long fromRevision) {
        long holdMillis = (long) (leaseSeconds * 500); // Half of the lease.
        store.watch(
                StoreKeys.LEADER,
                fromRevision,
                holdMillis,
                changes -> {
                    // An empty answer proves nothing: a node that the store refuses waits on its
                    // watches all the same. A plain read tells whether the store answers us.
                    if (changes.outcome() == Outcome.OK) {
                        readLeaderRecord();
                    } else {
                        readLeaderRecordLater();
                    }
                });
    }

    private void onLeaderRecord(HolderRecord leaderRecord) {
        long recordToken = leaderRecord.fencingToken();
        String recordNode = leaderRecord.node();
        boolean isHigher = recordToken > highestFencingToken;
        highestFencingToken = Math.max(highestFencingToken, recordToken);
        if (isLeading && recordToken == fencingToken) {
            leader = settings.node();
            return;
        }
        if (isLeading && recordToken > fencingToken) {
            stepDown(recordNode + " leads with fencing token " + recordToken);
        }
        switch (leaderRecord.owner(incarnation)) {
            case OTHER_NODE -> setLeader(recordNode, isHigher);
            case ABANDONED -> endAbandonedLease(leaderRecord, recordToken);
            case LATER_PROCESS -> standBack(recordNode);
        }
    }

    /**
     * Guards against a node that names itself as leader while it leads nothing: peers send workers
     * to it, and nobody places anything until a lease that no process holds has expired.
     */
    private void endAbandonedLease(HolderRecord leaderRecord, long recordToken) {
        leader = null;
        if (leaderRecord.hasLeaseId()) {
            LOG.info(
                    "ending the leader lease of an earlier process of this node: fencingToken={}",
                    recordToken);
            store.revokeLease(leaderRecord.leaseId());
        }
    }

    private void standBack(String node) {
        leader = null;
        if (!hasLaterProcess) {
            LOG.error(
                    "another process that was started later leads under this node's name, this"
                            + " process steps down: node={}",
                    node);
        }
        hasLaterProcess = true;
    }

    /**
     * {@code isNewTerm}: its fencing token is higher than all that we knew, so it may have ended
     * and be back since.
     */
    private void setLeader(String node, boolean isNewTerm) {
        boolean isChanged = isNewTerm || !node.equals(leader);
        leader = node;
        if (isChanged) {
            LOG.debug("leader changed: leader={} fencingToken={}", node, highestFencingToken);
            listener.onLeaderChanged(node);
        }
    }

    private void onLeaderRecordAbsent() {
        if (isLeading) {
            stepDown("the leader record is gone");
        }
        leader = null;
        // While a later process runs under our name, this one gives all others the time to come
        // first, each time: it does not race with the later one, which alone ends leases of the
        // other, so that they never end each other's in turns.
        double headStart = hasLaterProcess ? leaseSeconds : 0;
        timers.schedule(headStart + random.nextDouble() * CAMPAIGN_JITTER_SECONDS, this::campaign);
    }

    private void onStoreAnswered() {
        storeAnsweredAt = timers.nowSeconds();
    }

    // ---- taking and keeping the lease -----------------------------------------------------------

    private void campaign() {
        if (!isLeading && !isStopped) {
            campaign.start();
        }
    }

    private final class CampaignResult implements Campaign.Listener {
        @Override
        public long highestFencingToken() {
            return highestFencingToken;
        }

        @Override
        public void onWon(Campaign.Term term) {
            if (isStopped) {
                // Guards against a node that is being stopped and begins to lead, as its claim was
                // under way.
                store.revokeLease(term.leaseId());
            } else {
                lead(term);
            }
        }

        @Override
        public void onFailed() {
            readLeaderRecordLater();
        }
    }

    private void lead(Campaign.Term term) {
        onStoreAnswered();
        isLeading = true;
        leaseId = term.leaseId();
        fencingToken = term.fencingToken();
        highestFencingToken = Math.max(highestFencingToken, fencingToken);
        renewalRequestedAt = term.leaseRequestedAt();
        isRenewalInDoubt = false;
        leader = settings.node();
        LOG.info("leadership won: fencingToken={} leaseId={}", fencingToken, leaseId);
        listener.onLeadershipWon(term.fencingToken(), term.leaseId(), term.revision());
        renewLater(term.leaseId());
        watchLeaderRecord(term.revision());
    }

    private void renewLater(long renewedLeaseId) {
        timers.schedule(leaseSeconds / RENEWALS_PER_LEASE, () -> renew(renewedLeaseId));
    }

    private void renew(long renewedLeaseId) {
        if (!isLeading || leaseId != renewedLeaseId) {
            return;
        }
        double askedAt = timers.nowSeconds();
        store.renewLease(renewedLeaseId, outcome -> onRenewed(renewedLeaseId, outcome, askedAt));
    }

    private void onRenewed(long renewedLeaseId, Outcome outcome, double askedAt) {
        if (!isLeading || leaseId != renewedLeaseId) {
            return;
        }
        isRenewalInDoubt = outcome != Outcome.OK;
        if (outcome == Outcome.OK) {
            onStoreAnswered();
            renewalRequestedAt = askedAt;
        } else if (outcome == Outcome.REJECTED) {
            stepDown("the lease expired");
            return;
        }
        renewLater(renewedLeaseId);
    }
}
