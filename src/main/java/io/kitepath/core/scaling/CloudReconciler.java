package io.kitepath.core.scaling;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.model.TokenBucket;
import io.kitepath.core.port.Cloud;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Timers;
import io.kitepath.core.role.CloudIntents;
import io.kitepath.core.role.RentalIntent;
import io.kitepath.core.shard.ShardState;
import io.kitepath.core.state.StoreKeys;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What is asked of the cloud: machine types by every node; the list by the one that holds the
 * machines, which also puts down what is to be rented and given back ({@link CloudIntents}), at the
 * pace at which the cloud can be asked for it. Only the cloud's word that a machine was released
 * proves it gone.
 */
public final class CloudReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(CloudReconciler.class);

    /** Of the cloud's call rate; the rest is for the other nodes. */
    private static final double CALL_RATE_SHARE = 0.6;

    /** Requests that may wait for their record or their answer at the same time. */
    private static final int MAX_PENDING_REQUESTS = 3;

    private final ClusterSettings settings;
    private final ShardState shard;
    private final ScalingPlanner scalingPlanner;
    private final Store store;
    private final Cloud cloud;
    private final Timers timers;
    private final BooleanSupplier leadsMachines;
    private final Runnable onMachinesGone;
    private final TokenBucket callBucket;

    /** What is put down; no more than can be asked for. */
    private final TokenBucket intentBucket;

    private final CloudIntents intents;
    private double leadingSinceSeconds;
    private boolean areTypesStored;
    private boolean isListing;
    private double listedAtSeconds = Double.NEGATIVE_INFINITY;
    private double typesFetchedAtSeconds = Double.NEGATIVE_INFINITY;
    private double plannedAtSeconds = Double.NEGATIVE_INFINITY;

    /**
     * @param intents what is on record before it is asked for
     * @param leading whether this node holds the machines now
     * @param changed runs when a machine is gone, so that its work may be placed
     */
    public CloudReconciler(
            ShardState shard,
            ScalingPlanner scalingPlanner,
            CloudIntents intents,
            Store store,
            Cloud cloud,
            Timers timers,
            BooleanSupplier leading,
            Runnable changed) {
        this.settings = shard.settings();
        this.shard = shard;
        this.scalingPlanner = scalingPlanner;
        this.intents = intents;
        this.store = store;
        this.cloud = cloud;
        this.timers = timers;
        this.leadsMachines = leading;
        this.onMachinesGone = changed;
        this.callBucket = new TokenBucket(settings.cloud().requestsPerSecond() * CALL_RATE_SHARE);
        this.intentBucket = new TokenBucket(settings.cloud().requestsPerSecond() * CALL_RATE_SHARE);
        intents.setListeners(this::onRented, this::onReleased);
    }

    /** This node holds the machines now, on a lease whose id the store never gives out again. */
    public void startLeading(long lease) {
        intents.startTerm(lease);
        leadingSinceSeconds = timers.nowSeconds();
    }

    // ---- machine types --------------------------------------------------------------------------

    /**
     * Until the machine types are known: from the record of a node that knew them, or from the
     * cloud.
     */
    public void loadMachineTypes() {
        if (!shard.machineTypes().isEmpty()) {
            return;
        }
        store.get(
                StoreKeys.INSTANCE_TYPES,
                (outcome, entry) -> {
                    if (outcome == Outcome.OK) {
                        List<MachineType> known = new ArrayList<>();
                        for (DocumentReader document :
                                DocumentReader.of(entry.value()).children("types")) {
                            known.add(MachineType.fromRecord(document));
                        }
                        if (shard.machineTypes().isEmpty()) {
                            shard.setMachineTypes(known);
                        }
                        areTypesStored = true;
                    } else {
                        fetchMachineTypes();
                        timers.schedule(1, this::loadMachineTypes);
                    }
                });
    }

    private void fetchMachineTypes() {
        if (!callBucket.tryTake(1, timers.nowSeconds())) {
            return;
        }
        cloud.listMachineTypes(
                (outcome, list) -> {
                    if (outcome == Outcome.OK && !list.isEmpty()) {
                        shard.setMachineTypes(list);
                        typesFetchedAtSeconds = timers.nowSeconds();
                        storeMachineTypes(list);
                    }
                });
    }

    private void storeMachineTypes(List<MachineType> list) {
        if (areTypesStored) {
            return;
        }
        areTypesStored = true;
        store.commit(
                new Store.Transaction()
                        .put(
                                StoreKeys.INSTANCE_TYPES,
                                Map.of("types", list.stream().map(MachineType::toRecord).toList())),
                result -> {
                    if (result.outcome() != Outcome.OK) {
                        areTypesStored = false;
                    }
                });
    }

    // ---- machines -------------------------------------------------------------------------------

    /** What is due now; {@code mayPlan}: the jobs are known and the store answers. */
    public void reconcile(boolean mayPlan) {
        double now = timers.nowSeconds();
        if (!isListing
                && now - listedAtSeconds > settings.cloud().listLagSeconds() / 2
                && callBucket.tryTake(1, now)) {
            listMachines();
        }
        if (now - typesFetchedAtSeconds > 20 * settings.workers().heartbeatIntervalSeconds()) {
            typesFetchedAtSeconds = now;
            fetchMachineTypes();
        }
        if (!mayPlan) {
            return;
        }
        if (shard.machineTypes().isEmpty() || listedAtSeconds < leadingSinceSeconds) {
            return;
        }
        if (intentBucket.available(now) < 1
                || now - plannedAtSeconds < settings.workers().heartbeatIntervalSeconds() / 8) {
            return; // Nothing could be done about a plan now, or hardly anything has changed since
            // the last.
        }
        plannedAtSeconds = now;
        recordIntents(scalingPlanner.plan(now, timers.wallClockMillis(), leadingSinceSeconds), now);
    }

    /** Has put down what the plan says and nothing says yet. */
    private void recordIntents(ScalingPlanner.Plan plan, double now) {
        List<String> release =
                plan.machinesToRelease().stream().filter(m -> !intents.isReleasing(m)).toList();
        if (!release.isEmpty()
                && intents.releases().size() < MAX_PENDING_REQUESTS
                && intentBucket.tryTake(1, now)) {
            intents.requestRelease(release);
        }
        // One plan's rentals at a time: the next plan has to know what came of them.
        if (intents.unsettledRentals().isEmpty()) {
            plan.countsToRent().entrySet().stream()
                    .limit(MAX_PENDING_REQUESTS)
                    .filter(e -> intentBucket.tryTake(1, now))
                    .forEach(e -> intents.requestRental(e.getKey(), e.getValue()));
        }
    }

    private void onRented(RentalIntent rental) {
        int n = rental.machines().size();
        LOG.info(
                "rented {} of {} {} in {}{}",
                n,
                rental.count,
                rental.kind.machineType(),
                rental.kind.zone(),
                rental.kind.spot() ? ", spot" : "");
        if (n < rental.count) {
            scalingPlanner.recordRefusal(rental.kind, timers.nowSeconds());
        } else {
            scalingPlanner.recordGrant(rental.kind);
        }
    }

    private void onReleased(List<String> machines) {
        machines.forEach(m -> shard.removeMachine(m, timers.nowSeconds()));
        onMachinesGone.run();
    }

    private boolean isStillLeading(long token) {
        return leadsMachines.getAsBoolean() && shard.fencingToken() == token;
    }

    private void listMachines() {
        isListing = true;
        long mine = shard.fencingToken();
        cloud.listMachines(
                (outcome, list) -> {
                    isListing = false;
                    listedAtSeconds = timers.nowSeconds();
                    if (outcome == Outcome.OK && isStillLeading(mine)) {
                        shard.applyCloudList(list, timers.nowSeconds());
                        intents.dropListedRentals();
                    }
                });
    }
}
