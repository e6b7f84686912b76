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
 * The role {@code cleanup}: periodically scans the records, removes orphaned ones, and reports
 * inconsistent ones. Each removal is conditional on the role, on the record's revision and on the
 * facts that made it garbage. Therefore a job that is being accepted keeps its parts, and a
 * collection can be interrupted at any point without harm.
 */
public final class GarbageCollector implements LeasedRoles.RoleWorker {
    private static final Logger LOG = LoggerFactory.getLogger(GarbageCollector.class);

    /** Pause between two scans, in lease times of the workers. */
    private static final double PAUSE_LEASE_TIMES = 10;

    /** Share of the store's request rate that the collection uses. */
    private static final double REQUEST_RATE_SHARE = 0.01;

    /** Maximum number of queued removals; the next scan finds any further records again. */
    private static final int MAX_QUEUED_REMOVALS = 1000;

    private final ClusterSettings settings;
    private final Store store;
    private final Timers timers;

    /** Findings whose records are to be removed, in this order. */
    private final Deque<OrphanScan.Finding> queuedRemovals = new ArrayDeque<>();

    /** The scan in progress. */
    private Optional<OrphanScan> currentScan = Optional.empty();

    private LeasedRoles.RoleLease roleLease;

    /** Incremented when the role is lost; responses to earlier requests are ignored. */
    private long epoch;

    private boolean isRequestInFlight;

    /** When the next request may be sent, in seconds on the steady clock. */
    private double nextRequestAt;

    private long completedScanCount;
    private long removedCount;
    private long inconsistentCount;
    private long inconsistentInScan;

    /** Creates a collector that is idle until the role is acquired. */
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
        // The delay keeps a node that restarts repeatedly from scanning all the time.
        nextRequestAt = timers.nowSeconds() + settings.workers().leaseSeconds();
    }

    @Override
    public void onLost() {
        epoch++;
        isRequestInFlight = false;
        currentScan = Optional.empty();
        queuedRemovals.clear();
    }

    @Override
    public boolean canPerform(double now) {
        return true; // Requires only the store, which has just granted or renewed the lease.
    }

    /** Returns how many scans this node completed. */
    public long completedScanCount() {
        return completedScanCount;
    }

    /** Returns how many records this node removed. */
    public long removedCount() {
        return removedCount;
    }

    /**
     * Returns how many records the last scan found inconsistent; an operator has to examine them.
     */
    public long inconsistentCount() {
        return inconsistentCount;
    }

    @Override
    public void tick(double now) {
        if (isRequestInFlight
                || now < nextRequestAt
                || !roleLease.isProvablyHeld().getAsBoolean()) {
            return;
        }
        // One request per step, rate-limited so that the collection does not slow other requests.
        nextRequestAt = now + 1 / (settings.store().requestsPerSecond() * REQUEST_RATE_SHARE);
        if (queuedRemovals.isEmpty()) {
            stepScan();
        } else {
            remove(queuedRemovals.poll());
        }
    }

    private void stepScan() {
        OrphanScan active = currentScan.orElseGet(this::startScan);
        isRequestInFlight = true;
        long stepEpoch = epoch;
        active.step(
                () -> {
                    if (stepEpoch != epoch) {
                        return;
                    }
                    isRequestInFlight = false;
                    if (active.isComplete()) {
                        completeScan(active);
                    }
                });
    }

    private OrphanScan startScan() {
        inconsistentInScan = 0;
        OrphanScan started =
                new OrphanScan(
                        store, 4 * settings.store().maxTransactionOperations(), this::onFinding);
        currentScan = Optional.of(started);
        return started;
    }

    private void completeScan(OrphanScan completed) {
        inconsistentCount = inconsistentInScan;
        completedScanCount++;
        LOG.debug(
                "garbage scan completed: records={} removable={} inconsistent={}",
                completed.recordsSeen(),
                queuedRemovals.size(),
                inconsistentCount);
        currentScan = Optional.empty();
        nextRequestAt = timers.nowSeconds() + PAUSE_LEASE_TIMES * settings.workers().leaseSeconds();
    }

    private void onFinding(OrphanScan.Finding finding) {
        if (!finding.isRemovable()) {
            inconsistentInScan++;
            LOG.warn(
                    "inconsistent record found: key={} reason={}", finding.key(), finding.reason());
        } else if (queuedRemovals.size() < MAX_QUEUED_REMOVALS) {
            queuedRemovals.add(finding);
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
                        onRemovalResponse(finding, result.outcome());
                    }
                });
    }

    private void onRemovalResponse(OrphanScan.Finding finding, Outcome outcome) {
        isRequestInFlight = false;
        if (outcome == Outcome.OK) {
            removedCount++;
            LOG.info("orphaned record removed: key={} reason={}", finding.key(), finding.reason());
        } else if (outcome != Outcome.REJECTED) {
            // Retries the same removal; its conditions guarantee that it is executed at most once.
            queuedRemovals.addFirst(finding);
        }
    }
}
