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
 * Elects a leader by a lease in the store. The leader record and the shard record are attached to
 * the lease; the transaction that creates them raises the stored fencing token, so two nodes never
 * hold the same token. Late writes of a former leader fail, because they require the revision of a
 * record that no longer exists.
 *
 * <p>A node that restarts as leader before its lease has expired knows that the lease is no longer
 * renewed, and revokes it; see {@link Incarnation}.
 *
 * <p>Not thread-safe: used on the event loop only, on which listeners are called too.
 */
public final class Leadership {
    private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);

    /** Key of the record of the only shard, which contains all machines. */
    public static final String SHARD_KEY = StoreKeys.SHARDS + "all";

    /**
     * Relative drift that is allowed for; the steady clocks of two machines drift apart by up to
     * half of it.
     */
    private static final double MAX_CLOCK_DRIFT = 0.001;

    private static final double MIN_LEASE_SECONDS = 2;
    private static final int RENEWALS_PER_LEASE = 5;
    private static final double MIN_RETRY_SECONDS = 0.2;
    private static final double RETRY_JITTER_SECONDS = 0.3;
    private static final double CAMPAIGN_JITTER_SECONDS = 0.1;

    /** Receives changes of leadership. */
    public interface Listener {
        /**
         * Called when this node becomes leader.
         *
         * @param fencingToken higher than any earlier one
         * @param leaseId the lease to which its records are attached
         * @param shardRevision the store revision at which it wrote the shard record
         */
        void onLeadershipWon(long fencingToken, long leaseId, long shardRevision);

        /** Called when this node has lost leadership; {@code reason} is for the log. */
        void onLeadershipLost(String reason);

        /**
         * Called when, as far as known, another node has become leader, or the same one has begun a
         * new term.
         */
        void onLeaderChanged(String leader);
    }

    private final ClusterSettings settings;
    private final Store store;
    private final Timers timers;
    private final Random random;
    private final Incarnation incarnation;
    private final Listener listener;
    private final double leaseSeconds;

    /** Last known leader, or null. */
    private String leader;

    private long highestFencingToken;

    /** When the store last responded to this node, in seconds on the steady clock. */
    private double storeRespondedAtSeconds;

    /** Whether a process that was started later leads, or has led, under this node's name. */
    private boolean hasLaterProcess;

    private final Campaign campaign;
    private boolean isStopped;

    // This node's current or last term.
    private boolean isLeading;
    private long fencingToken;
    private long leaseId;

    /**
     * When the lease, or its last successful renewal, was requested, in seconds on the steady
     * clock.
     */
    private double renewalRequestedAtSeconds;

    /** Whether the last renewal was refused or got no response. */
    private boolean isRenewalInDoubt;

    /** Creates an election that does nothing until {@link #start}. */
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
        // Short compared with the workers' lease, so that there is a new leader well before the
        // workers' tasks are given up.
        this.leaseSeconds =
                Math.max(MIN_LEASE_SECONDS, settings.workers().heartbeatIntervalSeconds());
        this.storeRespondedAtSeconds = timers.nowSeconds();
        this.incarnation = incarnation;
        this.campaign =
                new Campaign(
                        settings, store, timers, incarnation, leaseSeconds, new CampaignResult());
    }

    /** Starts to follow the leader record, and campaigns whenever there is no leader. */
    public void start() {
        readLeaderRecord();
    }

    /**
     * Gives up leadership permanently because the node is being stopped. Revokes the lease, so that
     * its successor need not wait until it expires.
     */
    public void stop() {
        isStopped = true;
        stepDown("the node is being stopped");
    }

    /** Whether this node is the leader. Its lease may have expired; see {@link #isLeaseValid}. */
    public boolean isLeading() {
        return isLeading;
    }

    /** Returns the last known leader, which may be this node; null if none is known. */
    public String leader() {
        return leader;
    }

    /** Returns how long a leader's lease lasts without renewal. */
    public double leaseSeconds() {
        return leaseSeconds;
    }

    /** Returns the fencing token of this node's last term. */
    public long fencingToken() {
        return fencingToken;
    }

    /** Returns the highest fencing token of any leader that is known to this node. */
    public long highestFencingToken() {
        return highestFencingToken;
    }

    /** Returns the seconds since the store last responded to this node. */
    public double secondsSinceStoreResponse() {
        return timers.nowSeconds() - storeRespondedAtSeconds;
    }

    /**
     * Whether the lease has certainly not expired, by this node's own clock and counted from the
     * request of its last renewal. A leader whose lease may have expired launches no tasks and
     * sends no requests.
     */
    public boolean isLeaseValid() {
        return timers.nowSeconds() - renewalRequestedAtSeconds
                < leaseSeconds * (1 - MAX_CLOCK_DRIFT);
    }

    /**
     * Whether tasks may be launched: the lease is valid, and the store granted its last renewal.
     * Guards against launches of tasks whose cancellation peers have just confirmed, by a leader
     * that is the only node refused by the store and that may not receive its peers' messages
     * either: it detects this after a fifth of its lease, not at the end of it. Waiting tasks are
     * launched with the response to a later heartbeat.
     */
    public boolean mayLaunch() {
        return isLeaseValid() && !isRenewalInDoubt;
    }

    /**
     * Handles a fencing token that a worker or peer has seen. A token higher than this node's means
     * that another node is the leader.
     *
     * @param seenToken the token
     * @param seenLeader the leader with that token, null if it is not known
     */
    public void onFencingTokenSeen(long seenToken, String seenLeader) {
        if (seenToken > highestFencingToken) {
            highestFencingToken = seenToken;
            if (seenLeader != null && !isLeading) {
                setLeader(seenLeader, true);
            }
        }
        if (isLeading && seenToken > fencingToken) {
            stepDown("a higher fencing token " + seenToken + " was seen");
        }
    }

    /** Gives up leadership if this node is the leader; {@code reason} is for the log. */
    public void stepDown(String reason) {
        if (!isLeading) {
            return;
        }
        isLeading = false;
        leader = null;
        store.revokeLease(leaseId); // Other nodes need not wait until it expires.
        LOG.info("leadership lost: fencingToken={} reason=\"{}\"", fencingToken, reason);
        listener.onLeadershipLost(reason);
    }

    // ---- Following the leader record ----

    private void readLeaderRecord() {
        store.get(
                StoreKeys.LEADER,
                (outcome, entry) -> {
                    if (outcome == Outcome.OK) {
                        onStoreResponse();
                        onLeaderRecordRead(entry);
                    } else if (outcome == Outcome.REJECTED) {
                        onStoreResponse();
                        onLeaderRecordAbsent();
                    } else {
                        readLeaderRecordLater();
                    }
                });
    }

    /**
     * Handles the leader record. Guards against a node that no longer follows the leader because
     * the record was unreadable once: it is read again until it is readable or gone.
     */
    private void onLeaderRecordRead(Store.Entry entry) {
        try {
            applyLeaderRecord(HolderRecord.fromRecord(entry.value()));
        } catch (InvalidInputException invalid) {
            LOG.error("record unreadable: key={} reason={}", entry.key(), invalid.getMessage());
            readLeaderRecordLater();
            return;
        }
        watchLeaderRecord(entry.revision());
    }

    private void readLeaderRecordLater() {
        double delaySeconds = MIN_RETRY_SECONDS + random.nextDouble() * RETRY_JITTER_SECONDS;
        timers.schedule(delaySeconds, this::readLeaderRecord);
    }

    private void watchLeaderRecord(long fromRevision) {
        long watchTimeoutMillis = (long) (leaseSeconds * 500); // Half of the lease.
        store.watch(
                StoreKeys.LEADER,
                fromRevision,
                watchTimeoutMillis,
                changes -> {
                    // An empty response proves nothing: the watches of a node that the store
                    // refuses time out in the same way. A plain read shows whether the store
                    // responds to this node.
                    if (changes.outcome() == Outcome.OK) {
                        readLeaderRecord();
                    } else {
                        readLeaderRecordLater();
                    }
                });
    }

    private void applyLeaderRecord(HolderRecord leaderRecord) {
        long recordToken = leaderRecord.fencingToken();
        String recordNode = leaderRecord.node();
        boolean isHigherToken = recordToken > highestFencingToken;
        highestFencingToken = Math.max(highestFencingToken, recordToken);
        if (isLeading && recordToken == fencingToken) {
            leader = settings.node();
            return;
        }
        if (isLeading && recordToken > fencingToken) {
            stepDown(recordNode + " leads with fencing token " + recordToken);
        }
        switch (leaderRecord.owner(incarnation)) {
            case OTHER_NODE -> setLeader(recordNode, isHigherToken);
            case ABANDONED -> endAbandonedLease(leaderRecord, recordToken);
            case LATER_PROCESS -> deferToLaterProcess(recordNode);
        }
    }

    /**
     * Revokes the lease of a record that an earlier process of this node left, or that a failed
     * claim left. Guards against a node that is listed as leader without leading: peers would send
     * workers to it, and no tasks would be placed until a lease that no process holds has expired.
     */
    private void endAbandonedLease(HolderRecord leaderRecord, long recordToken) {
        leader = null;
        if (leaderRecord.hasLeaseId()) {
            LOG.info("revoking abandoned leader lease of this node: fencingToken={}", recordToken);
            store.revokeLease(leaderRecord.leaseId());
        }
    }

    private void deferToLaterProcess(String node) {
        leader = null;
        if (!hasLaterProcess) {
            LOG.error(
                    "a later process is leader under this node's name, this process steps down:"
                            + " node={}",
                    node);
        }
        hasLaterProcess = true;
    }

    /**
     * Sets the known leader and notifies the listener of a change.
     *
     * @param isNewTerm whether its fencing token is higher than all known ones, so that it may have
     *     lost leadership and won it again
     */
    private void setLeader(String node, boolean isNewTerm) {
        boolean isChanged = isNewTerm || !node.equals(leader);
        leader = node;
        if (isChanged) {
            LOG.info("leader changed: leader={} fencingToken={}", node, highestFencingToken);
            listener.onLeaderChanged(node);
        }
    }

    private void onLeaderRecordAbsent() {
        if (isLeading) {
            stepDown("the leader record is gone");
        }
        leader = null;
        // While a later process runs under this node's name, this process delays each campaign by a
        // lease so that all other processes can win first. It does not compete with the later
        // process, which alone revokes the other's leases, so that they never revoke each other's
        // leases in turns.
        double campaignDelaySeconds = hasLaterProcess ? leaseSeconds : 0;
        timers.schedule(
                campaignDelaySeconds + random.nextDouble() * CAMPAIGN_JITTER_SECONDS,
                this::startCampaign);
    }

    private void onStoreResponse() {
        storeRespondedAtSeconds = timers.nowSeconds();
    }

    // ---- Acquiring and renewing the lease ----

    private void startCampaign() {
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
                // Guards against a node that becomes leader while it is being stopped, because its
                // claim was in progress.
                store.revokeLease(term.leaseId());
            } else {
                startTerm(term);
            }
        }

        @Override
        public void onFailed() {
            readLeaderRecordLater();
        }
    }

    private void startTerm(Campaign.Term term) {
        onStoreResponse();
        isLeading = true;
        leaseId = term.leaseId();
        fencingToken = term.fencingToken();
        highestFencingToken = Math.max(highestFencingToken, fencingToken);
        renewalRequestedAtSeconds = term.leaseRequestedAtSeconds();
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
        double requestedAtSeconds = timers.nowSeconds();
        store.renewLease(
                renewedLeaseId, outcome -> onRenewed(renewedLeaseId, outcome, requestedAtSeconds));
    }

    private void onRenewed(long renewedLeaseId, Outcome outcome, double requestedAtSeconds) {
        if (!isLeading || leaseId != renewedLeaseId) {
            return;
        }
        isRenewalInDoubt = outcome != Outcome.OK;
        if (outcome == Outcome.OK) {
            onStoreResponse();
            renewalRequestedAtSeconds = requestedAtSeconds;
        } else if (outcome == Outcome.REJECTED) {
            stepDown("the lease expired");
            return;
        }
        renewLater(renewedLeaseId);
    }
}
