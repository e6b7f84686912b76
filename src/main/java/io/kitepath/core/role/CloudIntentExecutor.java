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
    private final TokenBucket calls;
    private final double lifeS;
    private final Map<String, PendingAction> acts = new LinkedHashMap<>();
    private long epoch;
    private LeasedRoles.RoleLease held;
    private double failingSince = Double.NaN;
    private long called;
    private long failed;

    /** One record that is not settled. */
    private static final class PendingAction {
        private final CloudIntent intent;
        private boolean asking;
        private int failures;
        private double notBefore;

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
        this.lifeS = lifeS;
        this.calls = new TokenBucket(settings.cloud().requestsPerSecond() * RATE_SHARE);
    }

    @Override
    public String name() {
        return "cloud";
    }

    @Override
    public void begin(LeasedRoles.RoleLease duty) {
        held = duty;
        failingSince = Double.NaN;
        read(++epoch);
    }

    @Override
    public void end() {
        epoch++;
        acts.clear();
    }

    /** Calls made, and those that were refused or not answered. */
    public long called() {
        return called;
    }

    public long failed() {
        return failed;
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
                    acts.clear();
                    listing.entries().forEach(this::found);
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
                (long) (lifeS * 2000),
                changes -> {
                    if (e != epoch) {
                        return;
                    }
                    if (changes.outcome() == Outcome.OK) {
                        changes.events().forEach(this::found);
                        tick(timers.nowSeconds());
                        follow(e, Math.max(from, changes.revision()));
                    } else if (changes.outcome() == Outcome.REJECTED) {
                        read(e);
                    } else {
                        timers.schedule(0.3, () -> follow(e, from));
                    }
                });
    }

    private void found(Entry entry) {
        if (entry.value() == null) {
            acts.remove(entry.key());
            return;
        }
        try {
            CloudIntent intent = CloudIntent.read(entry);
            PendingAction action = acts.get(entry.key());
            if (intent.settled()) {
                acts.remove(entry.key());
            } else if (action == null || action.intent.revision() < entry.revision()) {
                acts.put(entry.key(), new PendingAction(intent));
            }
        } catch (InvalidInputException | ClassCastException bad) {
            LOG.error("record {} is unreadable: {}", entry.key(), bad.getMessage());
        }
    }

    // ---- asking ---------------------------------------------------------------------------------

    @Override
    public void tick(double now) {
        for (PendingAction action : new ArrayList<>(acts.values())) {
            // Last of all, right before the call: whether the duty is still ours.
            if (!action.asking
                    && now >= action.notBefore
                    && calls.available(now) >= 1
                    && held.certain().getAsBoolean()) {
                calls.tryTake(1, now);
                ask(action);
            }
        }
    }

    @Override
    public boolean fit(double now) {
        return Double.isNaN(failingSince) || now - failingSince < 2 * lifeS || acts.isEmpty();
    }

    private void ask(PendingAction action) {
        action.asking = true;
        called++;
        long e = epoch;
        if (action.intent instanceof RentalIntent rental) {
            cloud.rent(
                    rental.name,
                    rental.kind,
                    rental.count,
                    (outcome, machines) ->
                            answered(
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
                            answered(
                                    e,
                                    action,
                                    outcome == Outcome.OK ? outcome : Outcome.NOT_EXECUTED,
                                    intent -> ((ReleaseIntent) intent).settle()));
        }
    }

    private void answered(
            long e, PendingAction action, Outcome outcome, Consumer<CloudIntent> settle) {
        action.asking = false;
        if (e != epoch || acts.get(action.intent.key) != action) {
            return; // Whoever has the duty now asks again, under the same name.
        }
        double now = timers.nowSeconds();
        if (outcome != Outcome.OK && outcome != Outcome.REJECTED) {
            failed++;
            failingSince = Double.isNaN(failingSince) ? now : failingSince;
            action.notBefore =
                    now
                            + Math.min(2, 0.1 * (1 << Math.min(5, action.failures++)))
                                    * (0.5 + random.nextDouble());
            return;
        }
        failingSince = Double.NaN;
        settle.accept(action.intent);
        action.asking = true; // Until what came of it is on record.
        write(e, action);
    }

    private void write(long e, PendingAction action) {
        if (e != epoch) {
            return;
        }
        Transaction transaction =
                new Transaction()
                        .requireRevision(held.key(), held.revision())
                        .requireRevision(action.intent.key, action.intent.revision());
        if (action.intent instanceof RentalIntent rental && rental.machines().isEmpty()) {
            transaction.remove(
                    rental.key); // Nothing came of it: the holder sees it gone, and need not write
            // any more.
        } else {
            transaction.put(action.intent.key, action.intent.record());
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
                        case OK -> acts.remove(action.intent.key, action);
                        default ->
                                timers.schedule(
                                        0.1 + 0.1 * random.nextDouble(), () -> write(e, action));
                    }
                });
    }
}
