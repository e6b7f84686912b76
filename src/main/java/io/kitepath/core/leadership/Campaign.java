package io.kitepath.core.leadership;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.port.Timers;
import io.kitepath.core.state.StoreKeys;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Runs attempts to become leader: requests a lease from the store, reads the last fencing token,
 * and writes the leader record and the shard record with the next token in one transaction, which
 * is committed only if there is no leader and the token has not been raised meanwhile. Runs one
 * attempt at a time.
 */
final class Campaign {
    /**
     * A term of leadership that was won.
     *
     * @param leaseId the lease to which the leader record and the shard record are attached
     * @param fencingToken the term's fencing token
     * @param revision the store revision at which the records were written
     * @param leaseRequestedAtSeconds when the lease was requested, in seconds on the steady clock
     */
    record Term(long leaseId, long fencingToken, long revision, double leaseRequestedAtSeconds) {}

    /** Receives the result of an attempt. */
    interface Listener {
        /** Returns the highest fencing token that is known to this node. */
        long highestFencingToken();

        void onWon(Term term);

        /** Called when another node was faster or the store did not respond. */
        void onFailed();
    }

    private final String node;
    private final Store store;
    private final Timers timers;
    private final Incarnation incarnation;
    private final double leaseSeconds;
    private final Listener listener;
    private boolean isInProgress;

    Campaign(
            ClusterSettings settings,
            Store store,
            Timers timers,
            Incarnation incarnation,
            double leaseSeconds,
            Listener listener) {
        this.node = settings.node();
        this.store = store;
        this.timers = timers;
        this.incarnation = incarnation;
        this.leaseSeconds = leaseSeconds;
        this.listener = listener;
    }

    /** Starts an attempt unless one is in progress. */
    void start() {
        if (isInProgress) {
            return;
        }
        isInProgress = true;
        double requestedAtSeconds = timers.nowSeconds();
        store.grantLease(
                (long) (leaseSeconds * 1000),
                (outcome, leaseId) -> {
                    if (outcome == Outcome.OK) {
                        readFencingToken(leaseId, requestedAtSeconds);
                    } else {
                        endUnsuccessfully();
                    }
                });
    }

    private void readFencingToken(long leaseId, double requestedAtSeconds) {
        store.get(
                StoreKeys.FENCING_TOKEN,
                (outcome, entry) -> {
                    if (outcome == Outcome.OK) {
                        long lastToken = HolderRecord.highestFencingToken(entry);
                        claim(leaseId, lastToken, entry.revision(), requestedAtSeconds);
                    } else if (outcome == Outcome.REJECTED) {
                        claim(leaseId, 0, 0, requestedAtSeconds); // There has never been a leader.
                    } else {
                        endUnsuccessfully();
                    }
                });
    }

    private void claim(
            long leaseId, long lastToken, long tokenRevision, double requestedAtSeconds) {
        long nextToken = Math.max(lastToken, listener.highestFencingToken()) + 1;
        store.commit(
                claimTransaction(leaseId, nextToken, tokenRevision),
                result -> {
                    isInProgress = false;
                    if (result.outcome() == Outcome.OK) {
                        listener.onWon(
                                new Term(
                                        leaseId, nextToken, result.revision(), requestedAtSeconds));
                    } else {
                        // After an unknown outcome, the store may hold a leader record of this node
                        // although it does not lead; revoking the lease removes that record.
                        store.revokeLease(leaseId);
                        listener.onFailed();
                    }
                });
    }

    private Transaction claimTransaction(long leaseId, long nextToken, long tokenRevision) {
        Map<String, Object> leaderRecord =
                HolderRecord.toRecord(node, nextToken, leaseId, incarnation);
        Map<String, Object> shardRecord = new LinkedHashMap<>();
        shardRecord.put("machines", "all");
        shardRecord.put("holder", node);
        shardRecord.put("token", nextToken);
        return new Transaction()
                .requireRevision(StoreKeys.LEADER, 0)
                .requireRevision(StoreKeys.FENCING_TOKEN, tokenRevision)
                .put(StoreKeys.LEADER, leaderRecord, leaseId)
                .put(Leadership.SHARD_KEY, shardRecord, leaseId)
                .put(StoreKeys.FENCING_TOKEN, HolderRecord.toFencingTokenRecord(nextToken));
    }

    private void endUnsuccessfully() {
        isInProgress = false;
        listener.onFailed();
    }
}
