package io.kitepath.core.role;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Condition;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.port.Timers;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The role {@code cleanup}: looks through the records now and then, removes those that nothing
 * refers to any more, and reports those that contradict each other. Each removal depends on the
 * role, on the record's revision and on what made it garbage, so that a job which is just being
 * accepted keeps its parts, and a collection that ends anywhere has done no harm.
 */
public final class GarbageCollector implements LeasedRoles.RoleWorker {
    private static final Logger LOG = LoggerFactory.getLogger(GarbageCollector.class);

    /** Between two scans, in workers' leases. */
    private static final double PAUSE_IN_LEASES = 10;

    /** Of the store's request rate. */
    private static final double RATE_SHARE = 0.01;

    /** Records that wait to be removed; what is found beyond that is found by the next scan. */
    private static final int MAX_QUEUED = 1000;

    private final ClusterSettings settings;
    private final Store store;
    private final Timers timers;

    /** Findings that wait to be removed, the first of them next. */
    private final Deque<OrphanScan.Finding> garbage = new ArrayDeque<>();

    /** The scan that is under way. */
    private Optional<OrphanScan> scan = Optional.empty();

    private LeasedRoles.RoleLease roleLease;

    /** Rises when the role is lost: answers to what was asked before are ignored. */
    private long epoch;

    private boolean isRequestInFlight;

    /** In seconds on the steady clock. */
    private double nextStepAt;

    private long completedScans;
    private long removedCount;
    private long inconsistentCount;
    private long inconsistentInScan;

    /** Starts nothing before the role is acquired. */
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
        // Not at once: a node that is restarted again and again would do nothing but scan.
        nextStepAt = timers.nowSeconds() + settings.workers().leaseSeconds();
    }

    @Override
    public void onLost() {
        epoch++;
        isRequestInFlight = false;
        scan = Optional.empty();
        garbage.clear();
    }

    @Override
    public boolean canPerform(double now) {
        return true; // It takes the store only, which has just granted or renewed the lease.
    }

    /** Scans that were completed by this node. */
    public long completedScans() {
        return completedScans;
    }

    /** Records that this node removed. */
    public long removedCount() {
        return removedCount;
    }

    /** Records that the last scan found inconsistent, which a person has to look at. */
    public long inconsistentCount() {
        return inconsistentCount;
    }

    @Override
    public void tick(double now) {
        if (isRequestInFlight || now < nextStepAt || !roleLease.isCertain().getAsBoolean()) {
            return;
        }
        // One request a step, paced so that the collection is not felt.
        nextStepAt = now + 1 / (settings.store().requestsPerSecond() * RATE_SHARE);
        if (garbage.isEmpty()) {
            stepScan();
        } else {
            remove(garbage.poll());
        }
    }

    private void stepScan() {
        OrphanScan current = scan.orElseGet(this::startScan);
        isRequestInFlight = true;
        long stepEpoch = epoch;
        current.step(
                () -> {
                    if (stepEpoch != epoch) {
                        return;
                    }
                    isRequestInFlight = false;
                    if (current.isComplete()) {
                        completeScan(current);
                    }
                });
    }

    private OrphanScan startScan() {
        inconsistentInScan = 0;
        OrphanScan started =
                new OrphanScan(
                        store, 4 * settings.store().maxTransactionOperations(), this::onFinding);
        scan = Optional.of(started);
        return started;
    }

    private void completeScan(OrphanScan completed) {
        inconsistentCount = inconsistentInScan;
        completedScans++;
        LOG.debug(
                "cleanup: records={} removable={} inconsistent={}",
                completed.recordsSeen(),
                garbage.size(),
                inconsistentCount);
        scan = Optional.empty();
        nextStepAt = timers.nowSeconds() + PAUSE_IN_LEASES * settings.workers().leaseSeconds();
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
        long removalEpoch = epoch;
        Transaction transaction =
                new Transaction().requireRevision(roleLease.key(), roleLease.revision());
        for (Condition condition : finding.conditions()) {
            transaction.requireRevision(condition.key(), condition.revision());
        }
        store.commit(
                transaction.remove(finding.key()),
                result -> {
                    if (removalEpoch == epoch) {
                        onRemovalAnswered(finding, result.outcome());
                    }
                });
    }

    private void onRemovalAnswered(OrphanScan.Finding finding, Outcome outcome) {
        isRequestInFlight = false;
        if (outcome == Outcome.OK) {
            removedCount++;
            LOG.info("removed {}: {}", finding.key(), finding.reason());
        } else if (outcome != Outcome.REJECTED) {
            // The same removal once more: its conditions let only one of the two through.
            garbage.addFirst(finding);
        }
    }
}
