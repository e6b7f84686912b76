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
 * The role {@code cloud}: sends the intents that the leader has recorded ({@link CloudIntents}) to
 * the cloud and records their outcomes. It makes no decisions: each intent is retried under its
 * recorded name until the cloud has accepted or rejected it.
 */
public final class CloudIntentExecutor implements LeasedRoles.RoleWorker {
    private static final Logger LOG = LoggerFactory.getLogger(CloudIntentExecutor.class);

    /** Share of the cloud's call rate; the rest is for listings, machine types and other nodes. */
    private static final double CALL_RATE_SHARE = 0.6;

    private static final int MAX_PAGE_ATTEMPTS = 3;

    /** Delay after a failure before the records are read, or watched, again. */
    private static final double STORE_RETRY_SECONDS = 0.3;

    /** Minimum delay before an outcome is written again; jitter adds up to the same delay. */
    private static final double WRITE_RETRY_SECONDS = 0.1;

    private static final double FIRST_CALL_RETRY_SECONDS = 0.1;
    private static final double MAX_CALL_RETRY_SECONDS = 2;
    private static final int MAX_CALL_RETRY_DOUBLINGS = 5;

    /** Lease times without a response from the cloud after which the role is handed back. */
    private static final double MAX_FAILING_LEASE_TIMES = 2;

    /** An intent that is not settled. */
    private static final class PendingIntent {
        private final CloudIntent intent;

        /** Whether a call or the write of its outcome awaits a response. */
        private boolean isInFlight;

        private int failureCount;

        /** In seconds on the steady clock. */
        private double retryNotBefore;

        PendingIntent(CloudIntent intent) {
            this.intent = intent;
        }
    }

    private final Store store;
    private final Cloud cloud;
    private final Timers timers;
    private final Random random;
    private final TokenBucket callBudget;
    private final double leaseSeconds;

    /** Unsettled intents by record key. */
    private final Map<String, PendingIntent> pendingIntents = new LinkedHashMap<>();

    /** Incremented with each read of the records; responses to earlier requests are ignored. */
    private long epoch;

    private LeasedRoles.RoleLease roleLease;

    /** When calls began to fail, in seconds on the steady clock; NaN if the last one succeeded. */
    private double failingSince = Double.NaN;

    private long callCount;
    private long failedCallCount;

    /**
     * Creates an executor that is idle until the role is acquired.
     *
     * @param leaseSeconds time to live of the role's lease
     */
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
        this.callBudget = new TokenBucket(settings.cloud().requestsPerSecond() * CALL_RATE_SHARE);
    }

    @Override
    public String name() {
        return "cloud";
    }

    @Override
    public void onAcquired(LeasedRoles.RoleLease lease) {
        roleLease = lease;
        failingSince = Double.NaN;
        readRecords(++epoch);
    }

    @Override
    public void onLost() {
        epoch++;
        pendingIntents.clear();
    }

    /** Returns how many rental and release calls this node sent to the cloud. */
    public long callCount() {
        return callCount;
    }

    /** Returns how many of these calls were not executed or got no response. */
    public long failedCallCount() {
        return failedCallCount;
    }

    // ---- recorded intents -----------------------------------------------------------------------

    private void readRecords(long readEpoch) {
        PagedScan.read(
                store,
                timers,
                StoreKeys.CLOUD_INTENTS,
                MAX_PAGE_ATTEMPTS,
                listing -> {
                    if (readEpoch == epoch) {
                        onRecordsListed(listing);
                    }
                });
    }

    private void onRecordsListed(ListResult listing) {
        long readEpoch = epoch;
        if (listing.outcome() != Outcome.OK) {
            timers.schedule(STORE_RETRY_SECONDS, () -> readRecords(readEpoch));
            return;
        }
        pendingIntents.clear();
        listing.entries().forEach(this::onRecordRead);
        watchRecords(readEpoch, listing.revision());
    }

    private void watchRecords(long readEpoch, long afterRevision) {
        if (readEpoch != epoch) {
            return;
        }
        store.watch(
                StoreKeys.CLOUD_INTENTS,
                afterRevision,
                (long) (leaseSeconds * 2000),
                changes -> {
                    if (readEpoch == epoch) {
                        onRecordsChanged(afterRevision, changes);
                    }
                });
    }

    private void onRecordsChanged(long afterRevision, WatchResult changes) {
        long readEpoch = epoch;
        switch (changes.outcome()) {
            case OK -> {
                changes.events().forEach(this::onRecordRead);
                tick(timers.nowSeconds());
                watchRecords(readEpoch, Math.max(afterRevision, changes.revision()));
            }
            case REJECTED -> readRecords(readEpoch);
            default ->
                    timers.schedule(
                            STORE_RETRY_SECONDS, () -> watchRecords(readEpoch, afterRevision));
        }
    }

    private void onRecordRead(Entry entry) {
        if (entry.value() == null) {
            pendingIntents.remove(entry.key());
            return;
        }
        try {
            CloudIntent intent = CloudIntent.read(entry);
            PendingIntent pendingIntent = pendingIntents.get(entry.key());
            if (intent.isSettled()) {
                pendingIntents.remove(entry.key());
            } else if (pendingIntent == null
                    || pendingIntent.intent.revision() < entry.revision()) {
                pendingIntents.put(entry.key(), new PendingIntent(intent));
            }
        } catch (InvalidInputException | ClassCastException unreadable) {
            LOG.error("record unreadable: key={} reason={}", entry.key(), unreadable.getMessage());
        }
    }

    // ---- calls to the cloud ---------------------------------------------------------------------

    @Override
    public void tick(double now) {
        for (PendingIntent pendingIntent : new ArrayList<>(pendingIntents.values())) {
            // Whether the role is still held is checked last, immediately before the call.
            if (!pendingIntent.isInFlight
                    && now >= pendingIntent.retryNotBefore
                    && callBudget.available(now) >= 1
                    && roleLease.isProvablyHeld().getAsBoolean()) {
                callBudget.tryTake(1, now);
                send(pendingIntent);
            }
        }
    }

    @Override
    public boolean canPerform(double now) {
        return Double.isNaN(failingSince)
                || now - failingSince < MAX_FAILING_LEASE_TIMES * leaseSeconds
                || pendingIntents.isEmpty();
    }

    private void send(PendingIntent pendingIntent) {
        pendingIntent.isInFlight = true;
        callCount++;
        long callEpoch = epoch;
        pendingIntent.intent.sendTo(
                cloud,
                (outcome, storeOutcome) ->
                        onCloudResponse(callEpoch, pendingIntent, outcome, storeOutcome));
    }

    private void onCloudResponse(
            long callEpoch, PendingIntent pendingIntent, Outcome outcome, Runnable storeOutcome) {
        pendingIntent.isInFlight = false;
        if (callEpoch != epoch || pendingIntents.get(pendingIntent.intent.key) != pendingIntent) {
            return; // The current role holder sends it again, under the same name.
        }
        if (outcome != Outcome.OK && outcome != Outcome.REJECTED) {
            onCallFailed(pendingIntent);
            return;
        }
        failingSince = Double.NaN;
        storeOutcome.run();
        pendingIntent.isInFlight = true; // Until the outcome is recorded.
        recordOutcome(callEpoch, pendingIntent);
    }

    private void onCallFailed(PendingIntent pendingIntent) {
        double now = timers.nowSeconds();
        failedCallCount++;
        failingSince = Double.isNaN(failingSince) ? now : failingSince;
        int doublings = Math.min(MAX_CALL_RETRY_DOUBLINGS, pendingIntent.failureCount++);
        double backOffSeconds =
                Math.min(MAX_CALL_RETRY_SECONDS, FIRST_CALL_RETRY_SECONDS * (1 << doublings));
        pendingIntent.retryNotBefore = now + backOffSeconds * (0.5 + random.nextDouble());
    }

    private void recordOutcome(long callEpoch, PendingIntent pendingIntent) {
        if (callEpoch != epoch) {
            return;
        }
        CloudIntent intent = pendingIntent.intent;
        Transaction transaction =
                new Transaction()
                        .requireRevision(roleLease.key(), roleLease.revision())
                        .requireRevision(intent.key, intent.revision());
        if (intent.isSettledWithoutEffect()) {
            // The leader is notified of the removal and need not remove the record.
            transaction.remove(intent.key);
        } else {
            transaction.put(intent.key, intent.toMap());
        }
        store.commit(
                transaction,
                result -> {
                    if (callEpoch == epoch) {
                        onOutcomeWriteResponse(pendingIntent, result.outcome());
                    }
                });
    }

    private void onOutcomeWriteResponse(PendingIntent pendingIntent, Outcome outcome) {
        long callEpoch = epoch;
        switch (outcome) {
            // The record was already removed or settled, possibly by an earlier write of this node
            // whose response was lost. Reading the records shows which.
            case REJECTED -> readRecords(++epoch);
            case OK -> pendingIntents.remove(pendingIntent.intent.key, pendingIntent);
            default ->
                    timers.schedule(
                            WRITE_RETRY_SECONDS + WRITE_RETRY_SECONDS * random.nextDouble(),
                            () -> recordOutcome(callEpoch, pendingIntent));
        }
    }
}
