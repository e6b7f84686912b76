package io.kitepath.core.role;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.TokenBucket;
import io.kitepath.core.port.Cloud;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.port.Store.ListResult;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.port.Store.WatchResult;
import io.kitepath.core.port.Timers;
import io.kitepath.core.state.PagedScan;
import io.kitepath.core.state.StoreKeys;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The role {@code cloud}: sends to the cloud what the leader has put on record ({@link
 * CloudIntents}), and records what came of it. It decides nothing: each intent is sent again and
 * again, under the name that is on record, until the cloud has accepted or rejected it.
 */
public final class CloudIntentExecutor implements LeasedRoles.RoleWorker {
    private static final Logger LOG = LoggerFactory.getLogger(CloudIntentExecutor.class);

    /** Of the cloud's call rate; lists, types and the other nodes take the rest. */
    private static final double RATE_SHARE = 0.6;

    private static final int MAX_PAGE_ATTEMPTS = 3;

    /** Before the records are read, or watched, again after a failure. */
    private static final double STORE_RETRY_SECONDS = 0.3;

    /** Before an outcome is written again: this and up to as much again. */
    private static final double WRITE_RETRY_SECONDS = 0.1;

    private static final double FIRST_CALL_RETRY_SECONDS = 0.1;
    private static final double MAX_CALL_RETRY_SECONDS = 2;
    private static final int MAX_CALL_RETRY_DOUBLINGS = 5;

    /** Lease times without an answer of the cloud after which the role is handed back. */
    private static final double MAX_FAILING_LEASES = 2;

    /** An intent that is not settled. */
    private static final class PendingAction {
        private final CloudIntent intent;

        /** It has been sent and not been answered, or its outcome is being recorded. */
        private boolean isInFlight;

        private int failures;
        private double retryNotBefore;

        PendingAction(CloudIntent intent) {
            this.intent = intent;
        }
    }

    private final Store store;
    private final Cloud cloud;
    private final Timers timers;
    private final Random random;
    private final TokenBucket callBudget;
    private final double leaseSeconds;

    /** By key. */
    private final Map<String, PendingAction> pending = new LinkedHashMap<>();

    /** Rises with each reading of the records: answers to what was asked before are ignored. */
    private long epoch;

    private LeasedRoles.RoleLease roleLease;

    /** Since when no call succeeded, in seconds on the steady clock; NaN if the last one did. */
    private double failingSince = Double.NaN;

    private long callCount;
    private long failedCallCount;

    /** {@code leaseSeconds}: of the role's lease. */
    public CloudIntentExecutor(
            ClusterSettings settings,
            Store store,
            Cloud cloud,
            Timers timers,
            Random random,
            double leaseSeconds) {
        this.store = store;
        this.cloud = cloud;
        this.timers = timers;
        this.random = random;
        this.leaseSeconds = leaseSeconds;
        this.callBudget = new TokenBucket(settings.cloud().requestsPerSecond() * RATE_SHARE);
    }

    @Override
    public String name() {
        return "cloud";
    }

    @Override
    public void onAcquired(LeasedRoles.RoleLease lease) {
        roleLease = lease;
        failingSince = Double.NaN;
        read(++epoch);
    }

    @Override
    public void onLost() {
        epoch++;
        pending.clear();
    }

    /** Rentals and releases that this node sent to the cloud. */
    public long callCount() {
        return callCount;
    }

    /** Those of them that were not executed, or not answered. */
    public long failedCallCount() {
        return failedCallCount;
    }

    // ---- what is on record ----------------------------------------------------------------------

    private void read(long readEpoch) {
        PagedScan.read(
                store,
                timers,
                StoreKeys.CLOUD_INTENTS,
                MAX_PAGE_ATTEMPTS,
                listing -> {
                    if (readEpoch == epoch) {
                        onListed(listing);
                    }
                });
    }

    private void onListed(ListResult listing) {
        long readEpoch = epoch;
        if (listing.outcome() != Outcome.OK) {
            timers.schedule(STORE_RETRY_SECONDS, () -> read(readEpoch));
            return;
        }
        pending.clear();
        listing.entries().forEach(this::onIntentRead);
        watch(readEpoch, listing.revision());
    }

    private void watch(long readEpoch, long afterRevision) {
        if (readEpoch != epoch) {
            return;
        }
        store.watch(
                StoreKeys.CLOUD_INTENTS,
                afterRevision,
                (long) (leaseSeconds * 2000),
                changes -> {
                    if (readEpoch == epoch) {
                        onChanged(afterRevision, changes);
                    }
                });
    }

    private void onChanged(long afterRevision, WatchResult changes) {
        long readEpoch = epoch;
        switch (changes.outcome()) {
            case OK -> {
                changes.events().forEach(this::onIntentRead);
                tick(timers.nowSeconds());
                watch(readEpoch, Math.max(afterRevision, changes.revision()));
            }
            case REJECTED -> read(readEpoch);
            default -> timers.schedule(STORE_RETRY_SECONDS, () -> watch(readEpoch, afterRevision));
        }
    }

    private void onIntentRead(Entry entry) {
        if (entry.value() == null) {
            pending.remove(entry.key());
            return;
        }
        try {
            CloudIntent intent = CloudIntent.read(entry);
            PendingAction action = pending.get(entry.key());
            if (intent.isSettled()) {
                pending.remove(entry.key());
            } else if (action == null || action.intent.revision() < entry.revision()) {
                pending.put(entry.key(), new PendingAction(intent));
            }
        } catch (InvalidInputException | ClassCastException bad) {
            LOG.error("record {} is unreadable: {}", entry.key(), bad.getMessage());
        }
    }

    // ---- calls to the cloud ---------------------------------------------------------------------

    @Override
    public void tick(double now) {
        for (PendingAction action : new ArrayList<>(pending.values())) {
            // Whether the role is still held is asked last, right before the call.
            if (!action.isInFlight
                    && now >= action.retryNotBefore
                    && callBudget.available(now) >= 1
                    && roleLease.isCertain().getAsBoolean()) {
                callBudget.tryTake(1, now);
                execute(action);
            }
        }
    }

    @Override
    public boolean canPerform(double now) {
        return Double.isNaN(failingSince)
                || now - failingSince < MAX_FAILING_LEASES * leaseSeconds
                || pending.isEmpty();
    }

    private void execute(PendingAction action) {
        action.isInFlight = true;
        callCount++;
        long callEpoch = epoch;
        action.intent.sendTo(
                cloud, (outcome, settle) -> onCloudAnswer(callEpoch, action, outcome, settle));
    }

    private void onCloudAnswer(
            long callEpoch, PendingAction action, Outcome outcome, Runnable settle) {
        action.isInFlight = false;
        if (callEpoch != epoch || pending.get(action.intent.key) != action) {
            return; // Whoever holds the role now sends it again, under the same name.
        }
        if (outcome != Outcome.OK && outcome != Outcome.REJECTED) {
            onCallFailed(action);
            return;
        }
        failingSince = Double.NaN;
        settle.run();
        action.isInFlight = true; // Until what came of it is on record.
        recordOutcome(callEpoch, action);
    }

    private void onCallFailed(PendingAction action) {
        double now = timers.nowSeconds();
        failedCallCount++;
        failingSince = Double.isNaN(failingSince) ? now : failingSince;
        int doublings = Math.min(MAX_CALL_RETRY_DOUBLINGS, action.failures++);
        double pauseSeconds =
                Math.min(MAX_CALL_RETRY_SECONDS, FIRST_CALL_RETRY_SECONDS * (1 << doublings));
        action.retryNotBefore = now + pauseSeconds * (0.5 + random.nextDouble());
    }

    private void recordOutcome(long callEpoch, PendingAction action) {
        if (callEpoch != epoch) {
            return;
        }
        CloudIntent intent = action.intent;
        Transaction transaction =
                new Transaction()
                        .requireRevision(roleLease.key(), roleLease.revision())
                        .requireRevision(intent.key, intent.revision());
        if (intent.isWithoutResult()) {
            // The leader sees the record gone, and need not remove it.
            transaction.remove(intent.key);
        } else {
            transaction.put(intent.key, intent.toMap());
        }
        store.commit(
                transaction,
                result -> {
                    if (callEpoch == epoch) {
                        onOutcomeWritten(action, result.outcome());
                    }
                });
    }

    private void onOutcomeWritten(PendingAction action, Outcome outcome) {
        long callEpoch = epoch;
        switch (outcome) {
            // Removed or settled already, also by a write of ours whose answer was lost: the
            // records tell.
            case REJECTED -> read(++epoch);
            case OK -> pending.remove(action.intent.key, action);
            default ->
                    timers.schedule(
                            WRITE_RETRY_SECONDS + WRITE_RETRY_SECONDS * random.nextDouble(),
                            () -> recordOutcome(callEpoch, action));
        }
    }
}
