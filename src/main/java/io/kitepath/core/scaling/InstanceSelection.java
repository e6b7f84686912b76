package io.kitepath.core.scaling;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.scheduling.ProbePlacement;
import io.kitepath.core.shard.Machine;
import io.kitepath.core.shard.ShardState;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Which kinds of machine can be had, by what the cloud refused lately, and which of them costs
 * least for a job.
 */
final class InstanceSelection {
    private final ClusterSettings settings;
    private final ShardState shard;

    /**
     * Kinds that were refused for want of capacity, until when not to ask, and how often in a row.
     */
    private final Map<MachineKind, double[]> refused = new HashMap<>();

    /** Machines by kind, worked out once a plan. */
    private final Map<MachineKind, Integer> machineCounts = new HashMap<>();

    InstanceSelection(ShardState shard) {
        this.settings = shard.settings();
        this.shard = shard;
    }

    /** Counts anew what is there. */
    void countMachines() {
        machineCounts.clear();
        for (Machine machine : shard.machines().values()) {
            if (machine.type() != null && shard.machineTypes().containsKey(machine.type())) {
                machineCounts.merge(machine.kind(), 1, Integer::sum);
            }
        }
    }

    void refused(MachineKind k, double now) {
        double[] r = refused.computeIfAbsent(k, x -> new double[2]);
        r[1] = Math.min(4, r[1] + 1);
        r[0] = now + settings.cloud().listLagSeconds() * (1 << (int) r[1]) / 2;
    }

    boolean isAvailable(MachineKind kind, double now) {
        double[] r = refused.get(kind);
        return r == null || now >= r[0];
    }

    void recordGrant(MachineKind kind) {
        refused.remove(kind);
    }

    static boolean isAllowed(MachineKind kind, JobSpec spec, String zone) {
        return (spec.machineTypes() == null || spec.machineTypes().contains(kind.machineType()))
                && (zone == null || zone.equals(kind.zone()))
                && (spec.allowsSpot() || !kind.spot());
    }

    /** Null if none can be had in these zones. */
    MachineKind cheapestKind(
            JobSpec spec, Predicate<String> zones, Map<MachineKind, Integer> rent, double now) {
        MachineKind best = null;
        double bestPrice = 0;
        for (MachineType type : shard.machineTypes().values()) {
            if (ProbePlacement.slots(spec, type) < 1) {
                continue;
            }
            for (String z : type.zones()) {
                for (int spot = spec.allowsSpot() ? 1 : 0; spot >= 0; spot--) {
                    MachineKind kind = new MachineKind(type.name(), z, spot == 1);
                    if (!zones.test(z)
                            || !isAllowed(kind, spec, spec.zone())
                            || !isAvailable(kind, now)) {
                        continue;
                    }
                    double price = pricePerUnit(kind, type, ProbePlacement.slots(spec, type), rent);
                    if (best == null || price < bestPrice) {
                        best = kind;
                        bestPrice = price;
                    }
                }
            }
        }
        return best;
    }

    /** The cheapest kind by the CPU; null if none can be had. */
    MachineKind cheapestKindByCpu(Map<MachineKind, Integer> rent, double now) {
        MachineKind best = null;
        double bestPrice = 0;
        for (MachineType type : shard.machineTypes().values()) {
            for (String z : type.zones()) {
                for (boolean spot : new boolean[] {true, false}) {
                    MachineKind kind = new MachineKind(type.name(), z, spot);
                    double price = pricePerUnit(kind, type, type.cpus(), rent);
                    if (isAvailable(kind, now)
                            && type.cpus() > 0
                            && (best == null || price < bestPrice)) {
                        best = kind;
                        bestPrice = price;
                    }
                }
            }
        }
        return best;
    }

    /**
     * Per unit of what a machine offers. Zones share: of equal ones, the one with the least of this
     * kind.
     */
    private double pricePerUnit(
            MachineKind kind, MachineType type, double units, Map<MachineKind, Integer> rent) {
        int there = machineCounts.getOrDefault(kind, 0) + rent.getOrDefault(kind, 0);
        return (kind.spot() ? type.spotPricePerHour() : type.pricePerHour())
                / units
                * (1 + 1e-4 * there);
    }

    boolean isSpotAvailable(JobSpec spec, double now) {
        return shard.machineTypes().values().stream()
                .anyMatch(
                        type ->
                                ProbePlacement.slots(spec, type) > 0
                                        && isCheaperSpotAvailable(type, now));
    }

    /**
     * Guards against work that could run on spot machines keeping ordinary ones rented: it fills
     * them up again and again, so they never idle.
     */
    boolean isCheaperSpotAvailable(MachineType type, double now) {
        return type.spotPricePerHour() < type.pricePerHour()
                && type.zones().stream()
                        .anyMatch(z -> isAvailable(new MachineKind(type.name(), z, true), now));
    }
}
