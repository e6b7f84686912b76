package io.kitepath.core.scaling;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.scheduling.ProbePlacement;
import io.kitepath.core.scheduling.ZoneConstraints;
import io.kitepath.core.shard.ShardState;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/** What one plan rents: machines by kind, those wanted soonest first. */
final class RentalPlan {
    /** What a zone counts for that has no room yet but may have machines: less than one slot. */
    private static final double RENTABLE_ZONE_SCORE = 0.1;

    private final ClusterSettings settings;
    private final ShardState shard;
    private final InstanceSelection instanceSelection;
    private final double now;
    private final Map<MachineKind, Integer> countsToRent = new LinkedHashMap<>();

    RentalPlan(ShardState shard, InstanceSelection instanceSelection, double now) {
        this.settings = shard.settings();
        this.shard = shard;
        this.instanceSelection = instanceSelection;
        this.now = now;
    }

    Map<MachineKind, Integer> countsToRent() {
        return countsToRent;
    }

    /**
     * Adds machines of the cheapest kinds for that many tasks; stops at a kind that is not worth
     * it.
     *
     * @return the added machines' capacities, with the tasks in them
     */
    List<FreeCapacity> addMachinesFor(
            JobSpec spec, int tasks, ZoneConstraints zones, Predicate<MachineKind> worth) {
        List<FreeCapacity> added = new ArrayList<>();
        int missing = tasks;
        while (missing > 0) {
            Optional<MachineKind> cheapest =
                    instanceSelection
                            .cheapestKind(
                                    spec, zone -> zones.remainingTasks(zone) > 0, countsToRent, now)
                            .filter(worth);
            if (cheapest.isEmpty()) {
                break;
            }
            MachineKind kind = cheapest.get();
            FreeCapacity capacity =
                    FreeCapacity.ofRental(kind, shard.machineTypes().get(kind.machineType()));
            int wanted = Math.min(missing, zones.remainingTasks(kind.zone()));
            int fitting = capacity.allocate(spec, wanted, false);
            if (fitting == 0) {
                break;
            }
            zones.addTasks(kind.zone(), fitting);
            missing -= fitting;
            countsToRent.merge(kind, 1, Integer::sum);
            added.add(capacity);
        }
        return added;
    }

    /** Adds the machines cheapest per CPU until the plan rents that many CPUs. */
    void addMachinesUpTo(double cpus) {
        double missing = cpus;
        for (Map.Entry<MachineKind, Integer> count : countsToRent.entrySet()) {
            missing -=
                    count.getValue()
                            * shard.machineTypes().get(count.getKey().machineType()).cpus();
        }
        while (missing > 0) {
            Optional<MachineKind> cheapest = instanceSelection.cheapestKindByCpu(countsToRent, now);
            if (cheapest.isEmpty()) {
                return;
            }
            countsToRent.merge(cheapest.get(), 1, Integer::sum);
            missing -= shard.machineTypes().get(cheapest.get().machineType()).cpus();
        }
    }

    /**
     * Chooses the zone for a job that must stay in one and is in none yet: the one where it could
     * use most of what is up or coming. A gang needs a zone that holds all of it, or where machines
     * for the rest are available.
     */
    void chooseZone(ZoneConstraints zones, JobSpec spec, int tasks, List<FreeCapacity> capacities) {
        if (!spec.isSingleZone() || zones.isDecided()) {
            return;
        }
        Set<String> rentable = new HashSet<>();
        Map<String, Double> scores = new LinkedHashMap<>();
        for (String zone : settings.zones()) {
            if (instanceSelection.cheapestKind(spec, zone::equals, Map.of(), now).isPresent()) {
                rentable.add(zone);
            }
            scores.put(zone, rentable.contains(zone) ? RENTABLE_ZONE_SCORE : 0);
        }
        for (FreeCapacity capacity : capacities) {
            if (ProbePlacement.isAllowed(capacity.kind, spec) && spec.cpusPerTask() > 0) {
                double slots = Math.floor(capacity.afterBoot.cpus() / spec.cpusPerTask());
                scores.merge(capacity.kind.zone(), slots, Double::sum);
            }
        }
        Comparator<Map.Entry<String, Double>> holdsGang =
                Comparator.comparing(
                        score ->
                                spec.isGang()
                                        && (rentable.contains(score.getKey())
                                                || score.getValue() >= tasks));
        scores.entrySet().stream()
                .max(holdsGang.thenComparing(Map.Entry.comparingByValue()))
                .ifPresent(score -> zones.bindTo(score.getKey()));
    }
}
