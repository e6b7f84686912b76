package io.kitepath.core.scaling;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.scheduling.ProbePlacement;
import io.kitepath.core.shard.Machine;
import io.kitepath.core.shard.ShardState;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Tracks which kinds of machine are available, based on the cloud's recent refusals, and selects
 * the cheapest of them for a job.
 */
final class InstanceSelection {
    /** Number of consecutive refusals after which the back-off grows no further. */
    private static final int MAX_COUNTED_REFUSALS = 4;

    /** Relative price surcharge per machine of a kind, which spreads machines over the zones. */
    private static final double SPREAD_PRICE_FACTOR = 1e-4;

    /** Spot machines come first: of kinds at the same price, the first one is selected. */
    private static final List<Boolean> SPOT_FIRST = List.of(true, false);

    /**
     * The refusals of a kind for lack of capacity: how many in a row, and when to request it again,
     * in seconds on the steady clock.
     */
    private record Refusal(int consecutiveCount, double retryAtSeconds) {}

    private final ClusterSettings settings;
    private final ShardState shard;
    private final Map<MachineKind, Refusal> refusals = new HashMap<>();

    /** Number of machines by kind, counted once per plan. */
    private final Map<MachineKind, Integer> machineCounts = new HashMap<>();

    InstanceSelection(ShardState shard) {
        this.settings = shard.settings();
        this.shard = shard;
    }

    /** Recounts the shard's machines by kind. */
    void countMachines() {
        machineCounts.clear();
        for (Machine machine : shard.machines().values()) {
            if (machine.type() != null && shard.machineTypes().containsKey(machine.type())) {
                machineCounts.merge(machine.kind(), 1, Integer::sum);
            }
        }
    }

    /**
     * Records that the cloud has no capacity of that kind; it is requested again after an
     * exponential back-off.
     */
    void recordRefusal(MachineKind kind, double now) {
        Refusal last = refusals.get(kind);
        int consecutiveCount =
                Math.min(MAX_COUNTED_REFUSALS, last == null ? 1 : last.consecutiveCount + 1);
        double retryAtSeconds =
                now + settings.cloud().listLagSeconds() * (1 << consecutiveCount) / 2;
        refusals.put(kind, new Refusal(consecutiveCount, retryAtSeconds));
    }

    /** Records that the cloud has capacity of that kind; ends its back-off. */
    void recordGrant(MachineKind kind) {
        refusals.remove(kind);
    }

    private boolean isAvailable(MachineKind kind, double now) {
        Refusal refusal = refusals.get(kind);
        return refusal == null || now >= refusal.retryAtSeconds;
    }

    /** Returns the cheapest kind per task of the job in these zones; empty if none is available. */
    Optional<MachineKind> cheapestKind(
            JobSpec spec,
            Predicate<String> isZoneAllowed,
            Map<MachineKind, Integer> toRent,
            double now) {
        return cheapest(
                type -> ProbePlacement.slots(spec, type),
                kind -> isZoneAllowed.test(kind.zone()) && ProbePlacement.isAllowed(kind, spec),
                toRent,
                now);
    }

    /** Returns the cheapest kind per CPU; empty if none is available. */
    Optional<MachineKind> cheapestKindByCpu(Map<MachineKind, Integer> toRent, double now) {
        return cheapest(MachineType::cpus, kind -> true, toRent, now);
    }

    private Optional<MachineKind> cheapest(
            ToDoubleFunction<MachineType> unitsOf,
            Predicate<MachineKind> isSuitable,
            Map<MachineKind, Integer> toRent,
            double now) {
        MachineKind best = null;
        double bestPrice = 0;
        for (MachineType type : shard.machineTypes().values()) {
            double units = unitsOf.applyAsDouble(type);
            if (units <= 0) {
                continue;
            }
            for (String zone : type.zones()) {
                for (boolean spot : SPOT_FIRST) {
                    MachineKind kind = new MachineKind(type.name(), zone, spot);
                    if (!isSuitable.test(kind) || !isAvailable(kind, now)) {
                        continue;
                    }
                    double price = pricePerUnit(kind, type, units, toRent);
                    if (best == null || price < bestPrice) {
                        best = kind;
                        bestPrice = price;
                    }
                }
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns the hourly price per unit (task or CPU) that a machine offers. A small surcharge per
     * machine spreads the machines over the zones: at equal prices the kind with the fewest
     * machines is selected.
     */
    private double pricePerUnit(
            MachineKind kind, MachineType type, double units, Map<MachineKind, Integer> toRent) {
        int machineCount = machineCounts.getOrDefault(kind, 0) + toRent.getOrDefault(kind, 0);
        return (kind.spot() ? type.spotPricePerHour() : type.pricePerHour())
                / units
                * (1 + SPREAD_PRICE_FACTOR * machineCount);
    }

    /** Whether a spot machine that fits a task of the job is available below the regular price. */
    boolean isSpotAvailable(JobSpec spec, double now) {
        return shard.machineTypes().values().stream()
                .anyMatch(
                        type ->
                                ProbePlacement.slots(spec, type) > 0
                                        && isCheaperSpotAvailable(type, now));
    }

    /**
     * Whether spot machines of the type are available below its regular price. Guards against
     * regular machines that stay rented because tasks that could run on spot machines are placed on
     * them again and again, so that they are never idle.
     */
    boolean isCheaperSpotAvailable(MachineType type, double now) {
        return type.spotPricePerHour() < type.pricePerHour()
                && type.zones().stream()
                        .anyMatch(
                                zone -> isAvailable(new MachineKind(type.name(), zone, true), now));
    }
}
