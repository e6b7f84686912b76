package io.kitepath.core.role;

import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Timers;

/**
 * The single lease of this node in the store. It is granted when it is first needed and renewed
 * five times per time to live. When it expires, the store removes all keys that were put under it.
 *
 * <p>Validity is verified by this node's own clock, counted from the moment at which the last
 * successful renewal was sent. This is safe because the store counts from the later moment at which
 * it received the renewal.
 */
final class NodeLease {
    /** Safety margin as a share of the lease; twice the maximum drift between two steady clocks. */
    private static final double MAX_CLOCK_DRIFT = 0.001;

    private static final double GRANT_POLL_SECONDS = 0.05;

    private static final long NO_LEASE_ID = 0;

    private final Store store;
    private final Timers timers;
    private final double leaseSeconds;
    private final Runnable onExpired;
    private long id = NO_LEASE_ID;
    private boolean isGrantInFlight;
    private boolean isStopped;

    /** When the last successful grant or renewal was sent, in steady-clock seconds. */
    private double lastRenewalSentAt = Double.NEGATIVE_INFINITY;

    /** {@code onExpired} runs when the store reports that the lease has expired. */
    NodeLease(RoleContext context, Runnable onExpired) {
        this.store = context.store();
        this.timers = context.timers();
        this.leaseSeconds = context.leaseSeconds();
        this.onExpired = onExpired;
    }

    boolean isGranted() {
        return id != NO_LEASE_ID;
    }

    /** Returns the lease's id in the store; valid only if the lease {@link #isGranted}. */
    long id() {
        return id;
    }

    /** Whether the lease can't have expired yet, by this node's clock. */
    boolean isProvablyValid() {
        return timers.nowSeconds() - lastRenewalSentAt < leaseSeconds * (1 - MAX_CLOCK_DRIFT);
    }

    /**
     * Runs {@code onGranted} once a lease is granted, or {@code onRefused} if the store grants
     * none.
     */
    void runWhenGranted(Runnable onGranted, Runnable onRefused) {
        if (isGranted()) {
            onGranted.run();
            return;
        }
        if (isStopped) {
            onRefused.run();
            return;
        }
        if (isGrantInFlight) {
            timers.schedule(GRANT_POLL_SECONDS, () -> runWhenGranted(onGranted, onRefused));
            return;
        }
        isGrantInFlight = true;
        double sentAt = timers.nowSeconds();
        store.grantLease(
                (long) (leaseSeconds * 1000),
                (outcome, grantedId) -> {
                    isGrantInFlight = false;
                    if (outcome == Outcome.OK && isStopped) {
                        // Guards against a node that is being stopped but continues to renew a
                        // lease.
                        store.revokeLease(grantedId);
                        onRefused.run();
                    } else if (outcome == Outcome.OK) {
                        id = grantedId;
                        lastRenewalSentAt = sentAt;
                        scheduleRenewal(grantedId);
                        onGranted.run();
                    } else {
                        onRefused.run();
                    }
                });
    }

    /** Revokes the lease with its keys, also one that is being granted; no other is requested. */
    void stop() {
        isStopped = true;
        if (isGranted()) {
            store.revokeLease(id);
            id = NO_LEASE_ID;
        }
    }

    private void scheduleRenewal(long leaseId) {
        timers.schedule(
                leaseSeconds / 5,
                () -> {
                    if (id == leaseId) {
                        renew(leaseId);
                    }
                });
    }

    private void renew(long leaseId) {
        double sentAt = timers.nowSeconds();
        store.renewLease(
                leaseId,
                outcome -> {
                    if (id != leaseId) {
                        return;
                    }
                    if (outcome == Outcome.REJECTED) {
                        id = NO_LEASE_ID;
                        onExpired.run();
                        return;
                    }
                    if (outcome == Outcome.OK) {
                        lastRenewalSentAt = sentAt;
                    }
                    scheduleRenewal(leaseId);
                });
    }
}
