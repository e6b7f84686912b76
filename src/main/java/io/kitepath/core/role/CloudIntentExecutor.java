package io.kitepath.core.role;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.TokenBucket;
import io.kitepath.core.port.Cloud;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.port.Timers;
import io.kitepath.core.state.PagedScan;
import io.kitepath.core.state.StoreKeys;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries out at the cloud what the block's holder has put down, and puts down what came of it. It
 * decides nothing: what is on record is asked for, again and again until the cloud has said yes or
 * no, under the name that is on record.
 */
public final class CloudIntentExecutor implements LeasedRoles.RoleWorker {
    private static final Logger LOG = LoggerFactory.getLogger(CloudIntentExecutor.class);

    /** Of the cloud's call rate; lists, types and the other nodes take the rest. */
    private static final double RATE_SHARE = 0.6;

    private final Store store;
    private final Cloud cloud;
    private final Timers timers;
    private final Random random;
    private final TokenBucket callBudget;
    private final double leaseSeconds;
    private final Map<String, PendingAction> pending = new LinkedHashMap<>();
    private long epoch;
    private LeasedRoles.RoleLease roleLease;
    private double failingSince = Double.NaN;
    private long callCount;
    private long failedCallCount;

    /** One record that is not settled. */
    private static final class PendingAction {
        private final CloudIntent intent;
        private boolean isInFlight;
        private int failures;
        private double retryNotBefore;

        PendingAction(CloudIntent intent) {
            this.intent = intent;
        }
    }

    /** {@code lifeS}: of the duty's lease. */
    public CloudIntentExecutor(
            ClusterSettings settings,
            Store store,
            Cloud cloud,
            Timers timers,
            Random random,
            double lifeS) {
        this.store = store;
        this.cloud = cloud;
        this.timers = timers;
        this.random = random;
        this.leaseSeconds = lifeS;
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

    /** Calls made, and those that were refused or not answered. */
    public long callCount() {
        return callCount;
    }

    public long failedCallCount() {
        return failedCallCount;
    }

    // ---- what is on record ----------------------------------------------------------------------

    private void read(long e) {
        PagedScan.read(
                store,
                timers,
                StoreKeys.CLOUD_INTENTS,
                3,
                listing -> {
                    if (e != epoch) {
                        return;
                    }
                    if (listing.outcome() != Outcome.OK) {
                        timers.schedule(0.3, () -> read(e));
                        return;
                    }
                    pending.clear();
                    listing.entries().forEach(this::onIntentRead);
                    follow(e, listing.revision());
                });
    }

    private void follow(long e, long from) {
        if (e != epoch) {
            return;
        }
        store.watch(
                StoreKeys.CLOUD_INTENTS,
                from,
                (long) (leaseSeconds * 2000),
                changes -> {
                    if (e != epoch) {
                        return;
                    }
                    if (changes.outcome() == Outcome.OK) {
                        changes.events().forEach(this::onIntentRead);
                        tick(timers.nowSeconds());
                        follow(e, Math.max(from, changes.revision()));
                    } else if (changes.outcome() == Outcome.REJECTED) {
                        read(e);
                    } else {
                        timers.schedule(0.3, () -> follow(e, from));
                    }
                });
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

    // ---- asking ---------------------------------------------------------------------------------

    @Override
    public void tick(double now) {
        for (PendingAction action : new ArrayList<>(pending.values())) {
            // Last of all, right before the call: whether the duty is still ours.
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
                || now - failingSince < 2 * leaseSeconds
                || pending.isEmpty();
    }

    private void execute(PendingAction action) {
        action.isInFlight = true;
        callCount++;
        long e = epoch;
        if (action.intent instanceof RentalIntent rental) {
            cloud.rent(
                    rental.name,
                    rental.kind,
                    rental.count,
                    (outcome, machines) ->
                            onCloudAnswer(
                                    e,
                                    action,
                                    outcome,
                                    intent ->
                                            ((RentalIntent) intent)
                                                    .settle(
                                                            outcome == Outcome.OK
                                                                    ? machines
                                                                    : List.of())));
        } else {
            ReleaseIntent release = (ReleaseIntent) action.intent;
            // Nothing but the cloud's yes proves that they are gone.
            cloud.release(
                    release.machines,
                    outcome ->
                            onCloudAnswer(
                                    e,
                                    action,
                                    outcome == Outcome.OK ? outcome : Outcome.NOT_EXECUTED,
                                    intent -> ((ReleaseIntent) intent).settle()));
        }
    }

    private void onCloudAnswer(
            long e, PendingAction action, Outcome outcome, Consumer<CloudIntent> settle) {
        action.isInFlight = false;
        if (e != epoch || pending.get(action.intent.key) != action) {
            return; // Whoever has the duty now asks again, under the same name.
        }
        double now = timers.nowSeconds();
        if (outcome != Outcome.OK && outcome != Outcome.REJECTED) {
            failedCallCount++;
            failingSince = Double.isNaN(failingSince) ? now : failingSince;
            action.retryNotBefore =
                    now
                            + Math.min(2, 0.1 * (1 << Math.min(5, action.failures++)))
                                    * (0.5 + random.nextDouble());
            return;
        }
        failingSince = Double.NaN;
        settle.accept(action.intent);
        action.isInFlight = true; // Until what came of it is on record.
        recordOutcome(e, action);
    }

    private void recordOutcome(long e, PendingAction action) {
        if (e != epoch) {
            return;
        }
        Transaction transaction =
                new Transaction()
                        .requireRevision(roleLease.key(), roleLease.revision())
                        .requireRevision(action.intent.key, action.intent.revision());
        if (action.intent instanceof RentalIntent rental && rental.machines().isEmpty()) {
            transaction.remove(
                    rental.key); // Nothing came of it: the holder sees it gone, and need not write
            // any more.
        } else {
            transaction.put(action.intent.key, action.intent.toMap());
        }
        store.commit(
                transaction,
                result -> {
                    if (e != epoch) {
                        return;
                    }
                    switch (result.outcome()) {
                        // Struck off or settled already, also by a try of ours whose answer was
                        // lost: the records tell.
                        case REJECTED -> read(++epoch);
                        case OK -> pending.remove(action.intent.key, action);
                        default ->
                                timers.schedule(
                                        0.1 + 0.1 * random.nextDouble(),
                                        () -> recordOutcome(e, action));
                    }
                });
    }
}
