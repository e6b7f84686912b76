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

/** Collects the machines that one plan rents, by kind, in the order in which they are needed. */
final class RentalPlan {
    /**
     * Score of a zone without free capacity in which machines can be rented: less than that of one
     * slot.
     */
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
     * Adds machines of the cheapest kinds for that many tasks; stops when the cheapest available
     * kind does not pass {@code isWorthRenting}.
     *
     * @return the capacities of the added machines, with the tasks allocated
     */
    List<FreeCapacity> addMachinesFor(
            JobSpec spec, int tasks, ZoneConstraints zones, Predicate<MachineKind> isWorthRenting) {
        List<FreeCapacity> addedCapacities = new ArrayList<>();
        int missingTasks = tasks;
        while (missingTasks > 0) {
            Optional<MachineKind> cheapest =
                    instanceSelection
                            .cheapestKind(
                                    spec, zone -> zones.remainingTasks(zone) > 0, countsToRent, now)
                            .filter(isWorthRenting);
            if (cheapest.isEmpty()) {
                break;
            }
            MachineKind kind = cheapest.get();
            FreeCapacity capacity =
                    FreeCapacity.ofRental(kind, shard.machineTypes().get(kind.machineType()));
            int tasksToAllocate = Math.min(missingTasks, zones.remainingTasks(kind.zone()));
            int fittingTasks = capacity.allocate(spec, tasksToAllocate, false);
            if (fittingTasks == 0) {
                break;
            }
            zones.addTasks(kind.zone(), fittingTasks);
            missingTasks -= fittingTasks;
            countsToRent.merge(kind, 1, Integer::sum);
            addedCapacities.add(capacity);
        }
        return addedCapacities;
    }

    /** Adds machines of the cheapest kinds per CPU until the plan rents that many CPUs. */
    void addMachinesForCpus(double cpus) {
        double missingCpus = cpus;
        for (Map.Entry<MachineKind, Integer> count : countsToRent.entrySet()) {
            missingCpus -=
                    count.getValue()
                            * shard.machineTypes().get(count.getKey().machineType()).cpus();
        }
        while (missingCpus > 0) {
            Optional<MachineKind> cheapest = instanceSelection.cheapestKindByCpu(countsToRent, now);
            if (cheapest.isEmpty()) {
                return;
            }
            countsToRent.merge(cheapest.get(), 1, Integer::sum);
            missingCpus -= shard.machineTypes().get(cheapest.get().machineType()).cpus();
        }
    }

    /**
     * Chooses the zone for a job that must run in a single zone and is not bound to one yet: the
     * zone with the most free slots for it on machines that are up or booting. A gang needs a zone
     * that fits all of its tasks, or in which machines for the rest are available.
     */
    void chooseZone(ZoneConstraints zones, JobSpec spec, int tasks, List<FreeCapacity> capacities) {
        if (!spec.isSingleZone() || zones.isDecided()) {
            return;
        }
        Set<String> rentableZones = new HashSet<>();
        Map<String, Double> scores = new LinkedHashMap<>();
        for (String zone : settings.zones()) {
            if (instanceSelection.cheapestKind(spec, zone::equals, Map.of(), now).isPresent()) {
                rentableZones.add(zone);
            }
            scores.put(zone, rentableZones.contains(zone) ? RENTABLE_ZONE_SCORE : 0);
        }
        for (FreeCapacity capacity : capacities) {
            if (ProbePlacement.isAllowed(capacity.kind, spec) && spec.cpusPerTask() > 0) {
                double slots = Math.floor(capacity.afterBoot.cpus() / spec.cpusPerTask());
                scores.merge(capacity.kind.zone(), slots, Double::sum);
            }
        }
        Comparator<Map.Entry<String, Double>> fitsGang =
                Comparator.comparing(
                        score ->
                                spec.isGang()
                                        && (rentableZones.contains(score.getKey())
                                                || score.getValue() >= tasks));
        scores.entrySet().stream()
                .max(fitsGang.thenComparing(Map.Entry.comparingByValue()))
                .ifPresent(score -> zones.bindTo(score.getKey()));
    }
}
