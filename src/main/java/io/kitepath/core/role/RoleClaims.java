package io.kitepath.core.role;

import io.kitepath.core.leadership.HolderRecord;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.CommitResult;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.port.Timers;
import io.kitepath.core.role.LeasedRoles.Role;
import io.kitepath.core.state.StoreKeys;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/**
 * Claims free roles, each after a delay that depends on this node's rank in the role's order of
 * preferred nodes. A claim writes the role's key under the node's lease and increments the role's
 * stored fencing token in one transaction.
 */
final class RoleClaims {
    /** Each rank waits longer than the previous one by the lease time divided by this number. */
    private static final double RANKS_PER_LEASE_TIME = 16;

    /** Spreads claims of the same rank. */
    private static final double CLAIM_JITTER_SECONDS = 0.05;

    /** Receives every successful claim. */
    interface Listener {
        void onRoleClaimed(Role role, long revision, long fencingToken);
    }

    private final RoleContext context;
    private final Store store;
    private final Timers timers;
    private final Random random;
    private final NodeLease lease;
    private final RoleKeyWatcher keyWatcher;
    private final Listener listener;

    RoleClaims(RoleContext context, NodeLease lease, RoleKeyWatcher keyWatcher, Listener listener) {
        this.context = context;
        this.store = context.store();
        this.timers = context.timers();
        this.random = context.random();
        this.lease = lease;
        this.keyWatcher = keyWatcher;
        this.listener = listener;
    }

    /** Schedules a claim, which is made if the role is still free when the delay ends. */
    void schedule(Role role) {
        if (role.isClaiming || keyWatcher.isStopped()) {
            return;
        }
        role.isClaiming = true;
        double abstainSeconds = Math.max(0, role.abstainUntil - timers.nowSeconds());
        timers.schedule(
                role.claimRank * context.leaseSeconds() / RANKS_PER_LEASE_TIME
                        + abstainSeconds
                        + random.nextDouble() * CLAIM_JITTER_SECONDS,
                () -> claimIfFree(role));
    }

    private void claimIfFree(Role role) {
        if (role.holderNode != null || role.isHeldHere || keyWatcher.isStopped()) {
            role.isClaiming = false;
            return;
        }
        lease.runWhenGranted(() -> readFencingToken(role), () -> retryLater(role));
    }

    private void retryLater(Role role) {
        role.isClaiming = false;
        keyWatcher.readLater();
    }

    private void readFencingToken(Role role) {
        store.get(
                fencingTokenKey(role),
                (outcome, entry) -> {
                    boolean isRead = outcome == Outcome.OK || outcome == Outcome.REJECTED;
                    if (!isRead || role.holderNode != null || !lease.isGranted()) {
                        retryLater(role);
                    } else {
                        claim(role, outcome == Outcome.OK ? Optional.of(entry) : Optional.empty());
                    }
                });
    }

    /**
     * {@code highestTokenRecord}: the record of the highest fencing token; empty if none was
     * issued.
     */
    private void claim(Role role, Optional<Entry> highestTokenRecord) {
        long leaseId = lease.id();
        long highestToken = highestTokenRecord.map(HolderRecord::highestFencingToken).orElse(0L);
        long fencingToken = Math.max(role.fencingToken, highestToken) + 1;
        Map<String, Object> record =
                HolderRecord.toRecord(
                        context.settings().node(), fencingToken, leaseId, context.incarnation());
        store.commit(
                new Transaction()
                        .requireRevision(role.key, 0)
                        .requireRevision(
                                fencingTokenKey(role),
                                highestTokenRecord.map(Entry::revision).orElse(0L))
                        .put(role.key, record, leaseId)
                        .put(
                                fencingTokenKey(role),
                                HolderRecord.toFencingTokenRecord(fencingToken)),
                result -> onClaimResponse(role, leaseId, fencingToken, result));
    }

    private void onClaimResponse(Role role, long leaseId, long fencingToken, CommitResult result) {
        role.isClaiming = false;
        if (result.outcome() == Outcome.OK
                && lease.id() == leaseId
                && result.revision() >= role.revision) {
            listener.onRoleClaimed(role, result.revision(), fencingToken);
        } else {
            // The keys name the holder: another node, or this one if the response was lost.
            keyWatcher.readSoon();
        }
    }

    private static String fencingTokenKey(Role role) {
        return StoreKeys.ROLE_FENCING_TOKENS + role.name();
    }
}
