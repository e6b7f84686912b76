package io.kitepath.core.role;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.port.Timers;
import java.util.ArrayDeque;
import java.util.Deque;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The duty to clean up the state: looks through the records now and then, removes what nothing
 * refers to any more, and says what should not be. Each removal depends on the duty, on the
 * record's revision and on what made it rubbish, so that a job which is just being accepted keeps
 * its parts, and a sweep that ends anywhere has done no harm.
 */
public final class GarbageCollector implements LeasedRoles.RoleWorker {
    private static final Logger LOG = LoggerFactory.getLogger(GarbageCollector.class);

    /** Between two looks, in workers' leases. */
    private static final double PAUSE_IN_LEASES = 10;

    /** Of the store's request and change rates. */
    private static final double RATE_SHARE = 0.01;

    /** What waits to be removed; what is found beyond that is found again by the next look. */
    private static final int MAX_QUEUED = 1000;

    private final ClusterSettings settings;
    private final Store store;
    private final Timers timers;
    private final Deque<OrphanScan.Finding> garbage = new ArrayDeque<>();
    private OrphanScan scan;
    private LeasedRoles.RoleLease roleLease;
    private long epoch;
    private boolean isRequestInFlight;
    private double nextStepAt;
    private long completedScans;
    private long removedCount;
    private long inconsistentCount;
    private long inconsistentInScan;

    public GarbageCollector(ClusterSettings settings, Store store, Timers timers) {
        this.settings = settings;
        this.store = store;
        this.timers = timers;
    }

    @Override
    public String name() {
        return "cleanup";
    }

    @Override
    public void onAcquired(LeasedRoles.RoleLease lease) {
        roleLease = lease;
        // Not at once: whoever ends again and again would do nothing but look.
        nextStepAt = timers.nowSeconds() + settings.workers().leaseSeconds();
    }

    @Override
    public void onLost() {
        epoch++;
        isRequestInFlight = false;
        scan = null;
        garbage.clear();
    }

    @Override
    public boolean canPerform(double now) {
        return true; // Whoever holds a lease of the store reaches all that it takes.
    }

    /**
     * Looks that were finished; records removed; findings of the last look that a person has to
     * look at.
     */
    public long completedScans() {
        return completedScans;
    }

    public long removedCount() {
        return removedCount;
    }

    public long inconsistentCount() {
        return inconsistentCount;
    }

    @Override
    public void tick(double now) {
        if (isRequestInFlight || now < nextStepAt || !roleLease.isCertain().getAsBoolean()) {
            return;
        }
        // One request a step, paced so that the sweep is not felt.
        nextStepAt = now + 1 / (settings.store().requestsPerSecond() * RATE_SHARE);
        if (!garbage.isEmpty()) {
            remove(garbage.poll());
            return;
        }
        if (scan == null) {
            inconsistentInScan = 0;
            scan =
                    new OrphanScan(
                            store,
                            4 * settings.store().maxTransactionOperations(),
                            this::onFinding);
        }
        isRequestInFlight = true;
        long e = epoch;
        scan.step(
                () -> {
                    if (e != epoch) {
                        return;
                    }
                    isRequestInFlight = false;
                    if (scan.isComplete()) {
                        inconsistentCount = inconsistentInScan;
                        completedScans++;
                        LOG.debug(
                                "cleanup: looked at {} records, {} are rubbish, {} should not be",
                                scan.recordsSeen(),
                                garbage.size(),
                                inconsistentCount);
                        scan = null;
                        nextStepAt =
                                timers.nowSeconds()
                                        + PAUSE_IN_LEASES * settings.workers().leaseSeconds();
                    }
                });
    }

    private void onFinding(OrphanScan.Finding finding) {
        if (!finding.isRemovable()) {
            inconsistentInScan++;
            LOG.warn("record {} should not be: {}", finding.key(), finding.reason());
        } else if (garbage.size() < MAX_QUEUED) {
            garbage.add(finding);
        }
    }

    private void remove(OrphanScan.Finding finding) {
        isRequestInFlight = true;
        long e = epoch;
        Transaction transaction =
                new Transaction().requireRevision(roleLease.key(), roleLease.revision());
        finding.conditions()
                .forEach(
                        condition ->
                                transaction.requireRevision(condition.key(), condition.revision()));
        store.commit(
                transaction.remove(finding.key()),
                result -> {
                    if (e != epoch) {
                        return;
                    }
                    isRequestInFlight = false;
                    if (result.outcome() == Outcome.OK) {
                        removedCount++;
                        LOG.info("removed {}: {}", finding.key(), finding.reason());
                    } else if (result.outcome() != Outcome.REJECTED) {
                        garbage.addFirst(
                                finding); // The same removal once more: its conditions let only one
                        // of the two through.
                    }
                });
    }
}
