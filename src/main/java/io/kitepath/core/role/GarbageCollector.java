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
    private static final double PAUSE_LEASES = 10;

    /** Of the store's request and change rates. */
    private static final double RATE_SHARE = 0.01;

    /** What waits to be removed; what is found beyond that is found again by the next look. */
    private static final int MOST = 1000;

    private final ClusterSettings settings;
    private final Store store;
    private final Timers timers;
    private final Deque<OrphanScan.Finding> rubbish = new ArrayDeque<>();
    private OrphanScan audit;
    private LeasedRoles.RoleLease held;
    private long epoch;
    private boolean busy;
    private double nextAt;
    private long looks;
    private long removed;
    private long strange;
    private long strangeNow;

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
    public void begin(LeasedRoles.RoleLease duty) {
        held = duty;
        // Not at once: whoever ends again and again would do nothing but look.
        nextAt = timers.nowSeconds() + settings.workers().leaseSeconds();
    }

    @Override
    public void end() {
        epoch++;
        busy = false;
        audit = null;
        rubbish.clear();
    }

    @Override
    public boolean fit(double now) {
        return true; // Whoever holds a lease of the store reaches all that it takes.
    }

    /**
     * Looks that were finished; records removed; findings of the last look that a person has to
     * look at.
     */
    public long looks() {
        return looks;
    }

    public long removed() {
        return removed;
    }

    public long strange() {
        return strange;
    }

    @Override
    public void tick(double now) {
        if (busy || now < nextAt || !held.certain().getAsBoolean()) {
            return;
        }
        // One request a step, paced so that the sweep is not felt.
        nextAt = now + 1 / (settings.store().requestsPerSecond() * RATE_SHARE);
        if (!rubbish.isEmpty()) {
            remove(rubbish.poll());
            return;
        }
        if (audit == null) {
            strangeNow = 0;
            audit = new OrphanScan(store, 4 * settings.store().maxTransactionOperations(), this::found);
        }
        busy = true;
        long e = epoch;
        audit.step(
                () -> {
                    if (e != epoch) {
                        return;
                    }
                    busy = false;
                    if (audit.done()) {
                        strange = strangeNow;
                        looks++;
                        LOG.debug(
                                "cleanup: looked at {} records, {} are rubbish, {} should not be",
                                audit.seen(),
                                rubbish.size(),
                                strange);
                        audit = null;
                        nextAt = timers.nowSeconds() + PAUSE_LEASES * settings.workers().leaseSeconds();
                    }
                });
    }

    private void found(OrphanScan.Finding f) {
        if (!f.rubbish()) {
            strangeNow++;
            LOG.warn("record {} should not be: {}", f.key(), f.why());
        } else if (rubbish.size() < MOST) {
            rubbish.add(f);
        }
    }

    private void remove(OrphanScan.Finding f) {
        busy = true;
        long e = epoch;
        Transaction transaction = new Transaction().requireRevision(held.key(), held.revision());
        f.conditions()
                .forEach(condition -> transaction.requireRevision(condition.key(), condition.revision()));
        store.commit(
                transaction.remove(f.key()),
                result -> {
                    if (e != epoch) {
                        return;
                    }
                    busy = false;
                    if (result.outcome() == Outcome.OK) {
                        removed++;
                        LOG.info("removed {}: {}", f.key(), f.why());
                    } else if (result.outcome() != Outcome.REJECTED) {
                        rubbish.addFirst(
                                f); // The same removal once more: its conditions let only one of
                        // the two through.
                    }
                });
    }
}
