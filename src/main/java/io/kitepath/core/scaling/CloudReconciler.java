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
 * Reconciles the shard's machines with the cloud. Every node loads the machine types. The leader
 * lists the machines and records which are to be rented and released ({@link CloudIntents}), at no
 * higher rate than the cloud accepts requests. A machine counts as gone only when the cloud has
 * confirmed its release. Not thread-safe: used on the event loop only.
 */
public final class CloudReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(CloudReconciler.class);

    /**
     * Share of the cloud's request rate that this node uses; the rest is left to the other nodes.
     */
    private static final double CALL_RATE_SHARE = 0.6;

    /**
     * Maximum number of requests that wait for their record to be committed or for the cloud's
     * response.
     */
    private static final int MAX_PENDING_REQUESTS = 3;

    /** Plans per heartbeat interval; hardly anything changes between more frequent plans. */
    private static final double PLANS_PER_HEARTBEAT = 8;

    /** The ports through which the reconciler acts. */
    public record Ports(Store store, Cloud cloud, Timers timers) {}

    private final ClusterSettings settings;
    private final ShardState shard;
    private final ScalingPlanner scalingPlanner;
    private final Cloud cloud;
    private final Timers timers;
    private final BooleanSupplier isLeader;
    private final Runnable onMachinesRemoved;
    private final TokenBucket callBucket;

    /** Limits the rate of recorded intents to the rate at which the cloud accepts requests. */
    private final TokenBucket intentBucket;

    private final CloudIntents intents;
    private final MachineTypeLoader machineTypeLoader;
    private double leadingSinceSeconds;
    private boolean isListing;
    private double lastListedAtSeconds = Double.NEGATIVE_INFINITY;
    private double lastPlannedAtSeconds = Double.NEGATIVE_INFINITY;

    /**
     * @param intents the recorded cloud intents, written before the cloud receives a request
     * @param isLeader whether this node is the leader now
     * @param onMachinesRemoved runs when machines are gone, so that their tasks may be placed again
     */
    public CloudReconciler(
            ShardState shard,
            ScalingPlanner scalingPlanner,
            CloudIntents intents,
            Ports ports,
            BooleanSupplier isLeader,
            Runnable onMachinesRemoved) {
        this.settings = shard.settings();
        this.shard = shard;
        this.scalingPlanner = scalingPlanner;
        this.intents = intents;
        this.cloud = ports.cloud;
        this.timers = ports.timers;
        this.isLeader = isLeader;
        this.onMachinesRemoved = onMachinesRemoved;
        this.callBucket = new TokenBucket(settings.cloud().requestsPerSecond() * CALL_RATE_SHARE);
        this.intentBucket = new TokenBucket(settings.cloud().requestsPerSecond() * CALL_RATE_SHARE);
        this.machineTypeLoader = new MachineTypeLoader(shard, ports, callBucket);
        intents.setListeners(this::onRented, this::onReleased);
    }

    /**
     * Starts this node's term as leader.
     *
     * @param leaseId the id of its lease, which the store never assigns again
     */
    public void startLeading(long leaseId) {
        intents.startTerm(leaseId);
        leadingSinceSeconds = timers.nowSeconds();
    }

    /**
     * Loads the machine types from the record that another node stored, or from the cloud; retries
     * until they are known.
     */
    public void loadMachineTypes() {
        machineTypeLoader.load();
    }

    /**
     * Runs the steps that are due: lists the machines, refreshes the machine types, makes a plan
     * and records which machines to rent and release.
     *
     * @param mayPlan whether the jobs are known and the store responds
     */
    public void reconcile(boolean mayPlan) {
        double now = timers.nowSeconds();
        if (!isListing
                && now - lastListedAtSeconds > settings.cloud().listLagSeconds() / 2
                && callBucket.tryTake(1, now)) {
            listMachines();
        }
        machineTypeLoader.refresh(now);
        if (mayPlan && isPlanDue(now)) {
            lastPlannedAtSeconds = now;
            recordIntents(
                    scalingPlanner.plan(now, timers.wallClockMillis(), leadingSinceSeconds), now);
        }
    }

    private boolean isPlanDue(double now) {
        boolean areMachinesKnown =
                !shard.machineTypes().isEmpty() && lastListedAtSeconds >= leadingSinceSeconds;
        // Without a rate-limit token, no intent of the plan could be recorded.
        return areMachinesKnown
                && intentBucket.available(now) >= 1
                && now - lastPlannedAtSeconds
                        >= settings.workers().heartbeatIntervalSeconds() / PLANS_PER_HEARTBEAT;
    }

    /** Records those intents of the plan that are not recorded yet. */
    private void recordIntents(ScalingPlanner.Plan plan, double now) {
        List<String> unrecordedReleases =
                plan.machinesToRelease().stream()
                        .filter(machine -> !intents.isReleasing(machine))
                        .toList();
        if (!unrecordedReleases.isEmpty()
                && intents.releases().size() < MAX_PENDING_REQUESTS
                && intentBucket.tryTake(1, now)) {
            intents.requestRelease(unrecordedReleases);
        }
        if (!plan.countsToRent().isEmpty()) {
            LOG.debug(
                    "rentals planned: counts={} unsettledRentals={}",
                    plan.countsToRent(),
                    intents.unsettledRentals().size());
        }
        // Only one plan's rentals are open at a time: the next plan needs their results.
        if (intents.unsettledRentals().isEmpty()) {
            plan.countsToRent().entrySet().stream()
                    .limit(MAX_PENDING_REQUESTS)
                    .filter(rental -> intentBucket.tryTake(1, now))
                    .forEach(rental -> intents.requestRental(rental.getKey(), rental.getValue()));
        }
    }

    private void onRented(RentalIntent rental) {
        int rentedCount = rental.machines().size();
        LOG.info(
                "cloud responded to rental request: rented={} requested={} type={} zone={} spot={}",
                rentedCount,
                rental.count,
                rental.kind.machineType(),
                rental.kind.zone(),
                rental.kind.spot());
        if (rentedCount < rental.count) {
            scalingPlanner.recordRefusal(rental.kind, timers.nowSeconds());
        } else {
            scalingPlanner.recordGrant(rental.kind);
        }
    }

    private void onReleased(List<String> machines) {
        machines.forEach(machine -> shard.removeMachine(machine, timers.nowSeconds()));
        onMachinesRemoved.run();
    }

    private boolean isStillLeading(long token) {
        return isLeader.getAsBoolean() && shard.fencingToken() == token;
    }

    private void listMachines() {
        isListing = true;
        long fencingToken = shard.fencingToken();
        cloud.listMachines(
                (outcome, machines) -> {
                    isListing = false;
                    lastListedAtSeconds = timers.nowSeconds();
                    if (outcome == Outcome.OK && isStillLeading(fencingToken)) {
                        shard.applyCloudList(machines, timers.nowSeconds());
                        intents.dropListedRentals();
                    }
                });
    }
}
