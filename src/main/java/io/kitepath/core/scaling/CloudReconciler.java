package io.kitepath.core.scaling;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.TokenBucket;
import io.kitepath.core.port.Cloud;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Timers;
import io.kitepath.core.role.CloudIntents;
import io.kitepath.core.role.RentalIntent;
import io.kitepath.core.shard.ShardState;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reconciles the shard's machines with the cloud. Every node learns the machine types. The node
 * that leads lists the machines and records what is to be rented and released ({@link
 * CloudIntents}), no faster than the cloud can be asked for it. Only the cloud's confirmation that
 * a machine was released proves it gone. Not thread-safe: used on the event loop only.
 */
public final class CloudReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(CloudReconciler.class);

    /** The share of the cloud's call rate that this node uses; the rest is for the other nodes. */
    private static final double CALL_RATE_SHARE = 0.6;

    /** Requests that may wait for their record or their answer at the same time. */
    private static final int MAX_PENDING_REQUESTS = 3;

    /** Plans per report interval: more often hardly anything has changed. */
    private static final double PLANS_PER_REPORT = 8;

    /** The ports through which the reconciler acts. */
    public record Ports(Store store, Cloud cloud, Timers timers) {}

    private final ClusterSettings settings;
    private final ShardState shard;
    private final ScalingPlanner scalingPlanner;
    private final Cloud cloud;
    private final Timers timers;
    private final BooleanSupplier leadsMachines;
    private final Runnable onMachinesGone;
    private final TokenBucket callBucket;

    /** Limits what is recorded to what the cloud can be asked for. */
    private final TokenBucket intentBucket;

    private final CloudIntents intents;
    private final MachineTypeLoader machineTypes;
    private double leadingSince;
    private boolean listing;
    private double listedAt = Double.NEGATIVE_INFINITY;
    private double plannedAt = Double.NEGATIVE_INFINITY;

    /**
     * @param intents the record of what is wanted from the cloud, written before it is asked
     * @param leadsMachines whether this node leads the machines now
     * @param onMachinesGone runs when machines are gone, so that their work may be placed again
     */
    public CloudReconciler(
            ShardState shard,
            ScalingPlanner scalingPlanner,
            CloudIntents intents,
            Ports ports,
            BooleanSupplier leadsMachines,
            Runnable onMachinesGone) {
        this.settings = shard.settings();
        this.shard = shard;
        this.scalingPlanner = scalingPlanner;
        this.intents = intents;
        this.cloud = ports.cloud;
        this.timers = ports.timers;
        this.leadsMachines = leadsMachines;
        this.onMachinesGone = onMachinesGone;
        this.callBucket = new TokenBucket(settings.cloud().requestsPerSecond() * CALL_RATE_SHARE);
        this.intentBucket = new TokenBucket(settings.cloud().requestsPerSecond() * CALL_RATE_SHARE);
        this.machineTypes = new MachineTypeLoader(shard, ports, callBucket);
        intents.setListeners(this::onRented, this::onReleased);
    }

    /**
     * This node leads the machines now.
     *
     * @param lease the id of its lease, which the store never gives out again
     */
    public void startLeading(long lease) {
        intents.startTerm(lease);
        leadingSince = timers.nowSeconds();
    }

    /**
     * Learns the machine types, from the record of a node that knew them or from the cloud; tries
     * again until they are known.
     */
    public void loadMachineTypes() {
        machineTypes.load();
    }

    /**
     * Does what is due now: lists machines, refreshes types, plans and records what to rent and
     * release.
     *
     * @param mayPlan whether the jobs are known and the store answers
     */
    public void reconcile(boolean mayPlan) {
        double now = timers.nowSeconds();
        if (!listing
                && now - listedAt > settings.cloud().listLagSeconds() / 2
                && callBucket.tryTake(1, now)) {
            listMachines();
        }
        machineTypes.refresh(now);
        if (mayPlan && isPlanDue(now)) {
            plannedAt = now;
            recordIntents(scalingPlanner.plan(now, timers.wallClockMillis(), leadingSince), now);
        }
    }

    private boolean isPlanDue(double now) {
        boolean machinesKnown = !shard.machineTypes().isEmpty() && listedAt >= leadingSince;
        // Without a token nothing could be done about a plan now.
        return machinesKnown
                && intentBucket.available(now) >= 1
                && now - plannedAt
                        >= settings.workers().heartbeatIntervalSeconds() / PLANS_PER_REPORT;
    }

    /** Records what the plan wants and what is not on record yet. */
    private void recordIntents(ScalingPlanner.Plan plan, double now) {
        List<String> release =
                plan.machinesToRelease().stream()
                        .filter(machine -> !intents.isReleasing(machine))
                        .toList();
        if (!release.isEmpty()
                && intents.pendingReleases().size() < MAX_PENDING_REQUESTS
                && intentBucket.tryTake(1, now)) {
            intents.requestRelease(release);
        }
        if (!plan.countsToRent().isEmpty()) {
            LOG.debug(
                    "rentals planned: counts={} unsettledRentals={}",
                    plan.countsToRent(),
                    intents.unsettledRentals().size());
        }
        // One plan's rentals at a time: the next plan has to know what came of them.
        if (intents.unsettledRentals().isEmpty()) {
            plan.countsToRent().entrySet().stream()
                    .limit(MAX_PENDING_REQUESTS)
                    .filter(rental -> intentBucket.tryTake(1, now))
                    .forEach(rental -> intents.requestRental(rental.getKey(), rental.getValue()));
        }
    }

    private void onRented(RentalIntent rental) {
        int rented = rental.machines().size();
        LOG.info(
                "cloud answered rental: rented={} requested={} type={} zone={} spot={}",
                rented,
                rental.machineCount,
                rental.kind.machineType(),
                rental.kind.zone(),
                rental.kind.spot());
        if (rented < rental.machineCount) {
            scalingPlanner.recordRefusal(rental.kind, timers.nowSeconds());
        } else {
            scalingPlanner.recordGrant(rental.kind);
        }
    }

    private void onReleased(List<String> machines) {
        machines.forEach(machine -> shard.removeMachine(machine, timers.nowSeconds()));
        onMachinesGone.run();
    }

    private boolean isStillLeading(long token) {
        return leadsMachines.getAsBoolean() && shard.fencingToken() == token;
    }

    private void listMachines() {
        listing = true;
        long fencingToken = shard.fencingToken();
        cloud.listMachines(
                (outcome, machines) -> {
                    listing = false;
                    listedAt = timers.nowSeconds();
                    if (outcome == Outcome.OK && isStillLeading(fencingToken)) {
                        shard.applyCloudList(machines, timers.nowSeconds());
                        intents.removeListedRentals();
                    }
                });
    }
}
