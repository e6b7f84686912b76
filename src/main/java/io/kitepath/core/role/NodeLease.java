package io.kitepath.core.role;

import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Timers;

/**
 * This node's one lease in the store: granted when it is first needed, renewed five times in its
 * time to live. The store removes all keys that were put under it when it expires.
 *
 * <p>Whether it is still valid is proven by this node's own clock, from the moment at which the
 * last successful renewal was sent: the store counts from a later moment, when it received it.
 */
final class NodeLease {
    /** Steady clocks of two machines drift apart by up to half of this share. */
    private static final double MAX_CLOCK_DRIFT = 0.001;

    private static final double GRANT_POLL_SECONDS = 0.05;

    private static final long NONE = 0;

    private final Store store;
    private final Timers timers;
    private final double leaseSeconds;
    private final Runnable onExpired;
    private long id = NONE;
    private boolean isGrantInFlight;
    private boolean isStopped;
    private double renewalRequestedAt = Double.NEGATIVE_INFINITY;

    /** {@code onExpired} runs when the store says that the lease has expired. */
    NodeLease(RoleContext context, Runnable onExpired) {
        this.store = context.store();
        this.timers = context.timers();
        this.leaseSeconds = context.leaseSeconds();
        this.onExpired = onExpired;
    }

    boolean isGranted() {
        return id != NONE;
    }

    /** The lease's id in the store; meaningless unless it {@link #isGranted}. */
    long id() {
        return id;
    }

    /** Whether the lease can't have expired yet, by this node's clock. */
    boolean isCertain() {
        return timers.nowSeconds() - renewalRequestedAt < leaseSeconds * (1 - MAX_CLOCK_DRIFT);
    }

    /** Runs {@code granted} once there is a lease, or {@code refused} if the store grants none. */
    void whenGranted(Runnable granted, Runnable refused) {
        if (isGranted()) {
            granted.run();
            return;
        }
        if (isStopped) {
            refused.run();
            return;
        }
        if (isGrantInFlight) {
            timers.schedule(GRANT_POLL_SECONDS, () -> whenGranted(granted, refused));
            return;
        }
        isGrantInFlight = true;
        double requestedAt = timers.nowSeconds();
        store.grantLease(
                (long) (leaseSeconds * 1000),
                (outcome, grantedId) -> {
                    isGrantInFlight = false;
                    if (outcome == Outcome.OK && isStopped) {
                        // Guards against a node that is being stopped and goes on renewing a lease.
                        store.revokeLease(grantedId);
                        refused.run();
                    } else if (outcome == Outcome.OK) {
                        id = grantedId;
                        renewalRequestedAt = requestedAt;
                        scheduleRenewal(grantedId);
                        granted.run();
                    } else {
                        refused.run();
                    }
                });
    }

    /** Gives the lease back, also one that is being granted; its keys go with it. None follows. */
    void stop() {
        isStopped = true;
        if (isGranted()) {
            store.revokeLease(id);
            id = NONE;
        }
    }

    private void scheduleRenewal(long renewedId) {
        timers.schedule(
                leaseSeconds / 5,
                () -> {
                    if (id == renewedId) {
                        renew(renewedId);
                    }
                });
    }

    private void renew(long renewedId) {
        double requestedAt = timers.nowSeconds();
        store.renewLease(
                renewedId,
                outcome -> {
                    if (id != renewedId) {
                        return;
                    }
                    if (outcome == Outcome.REJECTED) {
                        id = NONE;
                        onExpired.run();
                        return;
                    }
                    if (outcome == Outcome.OK) {
                        renewalRequestedAt = requestedAt;
                    }
                    scheduleRenewal(renewedId);
                });
    }
}
