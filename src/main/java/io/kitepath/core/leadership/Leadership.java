package io.kitepath.core.leadership;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.port.Timers;
import io.kitepath.core.state.StoreKeys;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Who leads, and with which token. The leader's key and its block hang on a lease; taking them
 * raises the stored token in the same transaction, so two nodes never hold the same one. What a
 * former leader may still send to the store fails, because its writes depend on the revision of a
 * key that is gone.
 *
 * <p>A process that ended while it led and is back before its lease ran out knows that nobody
 * renews it any more, and ends it; see {@link Incarnation}.
 */
public final class Leadership {
    private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);

    /** Steady clocks of two machines drift apart by up to half of that. */
    private static final double MAX_CLOCK_DRIFT = 0.001;

    public interface Listener {
        void onLeadershipWon(long token, long lease, long blockRevision);

        void onLeadershipLost(String why);

        /** Another node leads, for all we know. */
        void onLeaderChanged(String leader);
    }

    private final ClusterSettings settings;
    private final Store store;
    private final Timers timers;
    private final Random random;
    private final Listener listener;
    private final double leaseSeconds;
    private boolean isLeading;
    private long fencingToken;
    private long leaseId;
    private long leaderRevision;
    private double renewalRequestedAt;

    /** The last renewal was refused or got no answer. */
    private boolean isRenewalInDoubt;

    /** Who leads by the last that we heard, or null. */
    private String leader;

    private long highestFencingToken;
    private boolean isCampaigning;
    private final Incarnation incarnation;

    /** When the store last answered us. */
    private double storeAnsweredAt;

    /** A process that was started later leads under our name. */
    private boolean hasLaterProcess;

    private boolean isStopped;

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
        this.leaseSeconds = Math.max(2, settings.workers().heartbeatIntervalSeconds());
        this.storeAnsweredAt = timers.nowSeconds();
        this.incarnation = incarnation;
    }

    public void start() {
        readLeaderRecord();
    }

    /**
     * Leads no more, and never again: the node is being stopped. Its successor need not wait for a
     * lease to run out.
     */
    public void stop() {
        isStopped = true;
        stepDown("the node is being stopped");
    }

    public boolean isLeading() {
        return isLeading;
    }

    public String leader() {
        return leader;
    }

    public double leaseSeconds() {
        return leaseSeconds;
    }

    public long highestFencingToken() {
        return highestFencingToken;
    }

    /** Seconds since the store last answered us. */
    public double secondsSinceStoreAnswered() {
        return timers.nowSeconds() - storeAnsweredAt;
    }

    /**
     * Whether our lease holds for certain, by our own clock and by the moment at which we asked for
     * its last renewal. A leader for whom it may be over starts nothing and asks for nothing.
     */
    public boolean isLeaseValid() {
        return timers.nowSeconds() - renewalRequestedAt < leaseSeconds * (1 - MAX_CLOCK_DRIFT);
    }

    /**
     * Whether launches may go: our lease holds, and the store served its last renewal. Guards
     * against launches of what others have just confirmed as cancelled, by a leader that the store
     * refuses alone and that may not hear the others either: it knows so a fifth of its lease
     * after, not at the end of it. What waits is launched by the answer to a later report.
     */
    public boolean mayLaunch() {
        return isLeaseValid() && !isRenewalInDoubt;
    }

    /** A worker or sibling has seen a higher token than ours: somebody else leads. */
    public void onFencingTokenSeen(long seen, String by) {
        if (seen > highestFencingToken) {
            highestFencingToken = seen;
            if (by != null && !isLeading) {
                setLeader(by, true);
            }
        }
        if (isLeading && seen > fencingToken) {
            stepDown("a higher token " + seen + " was seen");
        }
    }

    public long fencingToken() {
        return fencingToken;
    }

    public void stepDown(String why) {
        if (!isLeading) {
            return;
        }
        isLeading = false;
        leader = null;
        store.revokeLease(leaseId); // Nobody need wait for it to run out.
        LOG.info("no longer leader with token {}: {}", fencingToken, why);
        listener.onLeadershipLost(why);
    }

    // ---- following the leader's key -------------------------------------------------------------

    private void readLeaderRecord() {
        store.get(
                StoreKeys.LEADER,
                (outcome, entry) -> {
                    if (outcome == Outcome.OK) {
                        onStoreAnswered();
                        onLeaderRecord(entry.value());
                        watchLeaderRecord(entry.revision());
                    } else if (outcome == Outcome.REJECTED) {
                        onStoreAnswered();
                        onLeaderRecordAbsent();
                    } else {
                        timers.schedule(retryDelaySeconds(), this::readLeaderRecord);
                    }
                });
    }

    private void watchLeaderRecord(long from) {
        long holdMs = (long) (leaseSeconds * 500);
        store.watch(
                StoreKeys.LEADER,
                from,
                holdMs,
                changes -> {
                    // An empty answer proves nothing: a node that the store refuses waits on its
                    // watches all the same. A plain read tells whether we are served.
                    if (changes.outcome() == Outcome.OK) {
                        readLeaderRecord();
                    } else {
                        timers.schedule(retryDelaySeconds(), this::readLeaderRecord);
                    }
                });
    }

    private void onLeaderRecord(Object value) {
        DocumentReader document = DocumentReader.of(value);
        long held = document.count("token");
        String node = document.text("node");
        boolean higher = held > highestFencingToken;
        highestFencingToken = Math.max(highestFencingToken, held);
        if (isLeading && held == fencingToken) {
            leader = settings.node();
            return;
        }
        if (isLeading) {
            if (held > fencingToken) {
                stepDown(node + " leads with token " + held);
            }
        }
        switch (incarnation.ownerOf(
                node, document.numberOr("since", 0, 0), document.textOr("life", ""))) {
            case OTHER_NODE -> setLeader(node, higher);
            case ABANDONED -> {
                // Guards against a node that names itself as leader while it leads nothing:
                // siblings send workers to it, and nobody places anything until a lease that no
                // process holds has run out.
                leader = null;
                if (document.has("lease")) {
                    LOG.info(
                            "an earlier process of this node led with token {}: its lease is ended",
                            held);
                    store.revokeLease(document.count("lease"));
                }
            }
            case LATER_PROCESS -> {
                leader = null;
                if (!hasLaterProcess) {
                    LOG.error(
                            "another process that was started later leads as {}: this one stands back",
                            node);
                }
                hasLaterProcess = true;
            }
        }
    }

    /**
     * {@code anew}: its token is higher than all that we knew, so it may have ended and be back
     * since.
     */
    private void setLeader(String node, boolean anew) {
        boolean news = anew || !node.equals(leader);
        leader = node;
        if (news) {
            LOG.debug("{} leads with token {}", node, highestFencingToken);
            listener.onLeaderChanged(node);
        }
    }

    private void onLeaderRecordAbsent() {
        if (isLeading) {
            stepDown("our key is gone");
        }
        leader = null;
        // One that has a twin leaves the others the time to come first, each time: the two never
        // end each other's lease in turns, since only the later one ever ends one, and this one
        // does not race with it.
        double patience = hasLaterProcess ? leaseSeconds : 0;
        timers.schedule(patience + random.nextDouble() * 0.1, this::campaign);
    }

    private double retryDelaySeconds() {
        return 0.2 + random.nextDouble() * 0.3;
    }

    private void onStoreAnswered() {
        storeAnsweredAt = timers.nowSeconds();
    }

    // ---- taking and keeping the lease -----------------------------------------------------------

    private void campaign() {
        if (isLeading || isCampaigning || isStopped) {
            return;
        }
        isCampaigning = true;
        double asked = timers.nowSeconds();
        store.grantLease(
                (long) (leaseSeconds * 1000),
                (outcome, id) -> {
                    if (outcome != Outcome.OK) {
                        isCampaigning = false;
                        timers.schedule(retryDelaySeconds(), this::readLeaderRecord);
                        return;
                    }
                    store.get(
                            StoreKeys.FENCING_TOKEN,
                            (got, entry) -> {
                                if (got != Outcome.OK && got != Outcome.REJECTED) {
                                    isCampaigning = false;
                                    timers.schedule(retryDelaySeconds(), this::readLeaderRecord);
                                    return;
                                }
                                long last =
                                        got == Outcome.OK
                                                ? DocumentReader.of(entry.value()).count("token")
                                                : 0;
                                claim(
                                        id,
                                        Math.max(last, highestFencingToken) + 1,
                                        got == Outcome.OK ? entry.revision() : 0,
                                        asked);
                            });
                });
    }

    private void claim(long id, long next, long tokenRevision, double asked) {
        Map<String, Object> key = new LinkedHashMap<>();
        key.put("node", settings.node());
        key.put("token", next);
        key.put("lease", id);
        key.put("since", incarnation.startedAtMillis());
        key.put("life", incarnation.processId());
        Map<String, Object> block = new LinkedHashMap<>();
        block.put("machines", "all");
        block.put("holder", settings.node());
        block.put("token", next);
        store.commit(
                new Transaction()
                        .requireRevision(StoreKeys.LEADER, 0)
                        .requireRevision(StoreKeys.FENCING_TOKEN, tokenRevision)
                        .put(StoreKeys.LEADER, key, id)
                        .put(StoreKeys.SHARDS + "all", block, id)
                        .put(StoreKeys.FENCING_TOKEN, Map.of("token", next)),
                result -> {
                    isCampaigning = false;
                    if (result.outcome() == Outcome.OK && isStopped) {
                        // Guards against a node that is being stopped and begins to lead, as its
                        // claim was under way.
                        store.revokeLease(id);
                    } else if (result.outcome() == Outcome.OK) {
                        onStoreAnswered();
                        isLeading = true;
                        leaseId = id;
                        fencingToken = next;
                        highestFencingToken = Math.max(highestFencingToken, next);
                        leaderRevision = result.revision();
                        renewalRequestedAt = asked;
                        isRenewalInDoubt = false;
                        leader = settings.node();
                        LOG.info("leader with token {} on lease {}", next, id);
                        listener.onLeadershipWon(next, id, leaderRevision);
                        scheduleRenewal(id);
                        watchLeaderRecord(leaderRevision);
                    } else {
                        // After an unknown outcome the key may be ours with nobody behind it;
                        // ending the lease removes it.
                        store.revokeLease(id);
                        timers.schedule(retryDelaySeconds(), this::readLeaderRecord);
                    }
                });
    }

    private void scheduleRenewal(long id) {
        timers.schedule(
                leaseSeconds / 5,
                () -> {
                    if (!isLeading || leaseId != id) {
                        return;
                    }
                    double asked = timers.nowSeconds();
                    store.renewLease(
                            id,
                            outcome -> {
                                if (!isLeading || leaseId != id) {
                                    return;
                                }
                                isRenewalInDoubt = outcome != Outcome.OK;
                                if (outcome == Outcome.OK) {
                                    onStoreAnswered();
                                    renewalRequestedAt = asked;
                                } else if (outcome == Outcome.REJECTED) {
                                    stepDown("our lease ended");
                                    return;
                                }
                                scheduleRenewal(id);
                            });
                });
    }
}
