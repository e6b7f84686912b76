package io.kitepath.core.scheduling;

import static io.kitepath.core.scheduling.ProbePlacement.MAX_PROBES;
import static io.kitepath.core.scheduling.ProbePlacement.UNCONFIRMED_THRESHOLD;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.shard.Machine;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/**
 * Searches one stage of a {@link MachineSearch}: probes a few random machines in use for each task,
 * and scans all machines of the stage if no probe passes.
 */
final class StageSearch {
    private final ProbePlacement placement;
    private final PlacementCounters counters;
    private final JobSpec spec;
    private final List<Machine> candidates;

    /**
     * The candidates that are probed: machines in use. Idle machines are not probed, so that they
     * stay whole for gangs and large tasks, or empty to be released.
     */
    private final List<Machine> machinesInUse = new ArrayList<>();

    /** Whether a scan has determined the scan order. */
    private boolean hasScanned;

    /** The candidates that had capacity at the first scan, best fit first. */
    private final List<Machine> scanOrder = new ArrayList<>();

    private int nextScanIndex;

    StageSearch(ProbePlacement placement, JobSpec spec, List<Machine> candidates) {
        this.placement = placement;
        this.counters = placement.counters();
        this.spec = spec;
        this.candidates = candidates;
        for (Machine machine : candidates) {
            if (machine.cpusJustifyingRental() > 0) {
                machinesInUse.add(machine);
            }
        }
    }

    /** Returns the machine for the next task; empty once a scan has found the candidates full. */
    Optional<Machine> nextMachine() {
        if (hasScanned && nextScanIndex >= scanOrder.size()) {
            return Optional.empty();
        }
        Optional<Machine> probed = probe();
        return probed.isPresent() ? probed : scan();
    }

    /**
     * Probes a few random machines in use and returns the first that is below the threshold and has
     * free capacity.
     */
    private Optional<Machine> probe() {
        Random random = placement.random();
        int machineCount = machinesInUse.size();
        for (int i = 0; i < MAX_PROBES && i < machineCount; i++) {
            // A partial shuffle: the probed machines are distinct, as in the paper.
            int drawnIndex = i + random.nextInt(machineCount - i);
            Machine machine = machinesInUse.get(drawnIndex);
            machinesInUse.set(drawnIndex, machinesInUse.get(i));
            machinesInUse.set(i, machine);
            counters.probes++;
            if (machine.unconfirmedStarts() < UNCONFIRMED_THRESHOLD
                    && placement.hasCapacity(machine, spec)) {
                counters.passedProbes++;
                return Optional.of(machine);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the fullest machine that has free capacity; machines that have the image come first.
     */
    private Optional<Machine> scan() {
        counters.scans++;
        if (!hasScanned) {
            hasScanned = true;
            sortCandidates();
        }
        for (; nextScanIndex < scanOrder.size(); nextScanIndex++) {
            counters.inspectedMachines++;
            if (placement.hasCapacity(scanOrder.get(nextScanIndex), spec)) {
                return Optional.of(scanOrder.get(nextScanIndex));
            }
        }
        return Optional.empty();
    }

    private void sortCandidates() {
        Map<Machine, Double> scores = new HashMap<>();
        for (Machine machine : candidates) {
            counters.inspectedMachines++;
            if (placement.hasCapacity(machine, spec)) {
                scanOrder.add(machine);
                scores.put(machine, score(machine));
            }
        }
        scanOrder.sort(Comparator.comparing(scores::get, Comparator.reverseOrder()));
    }

    /**
     * Returns how well a task fits on the machine: its fill level, plus one if it has the image,
     * minus the image count penalty of a non-spot machine if the task may use spot machines.
     */
    private double score(Machine machine) {
        return (machine.cpusJustifyingRental() + machine.usedCpus() / 4)
                        / placement.typeOf(machine).cpus()
                + (machine.hasImage(spec.image()) ? 1 : 0)
                - (spec.allowsSpot() && !machine.isSpot() ? imageCountPenalty(machine) : 0);
    }

    /**
     * Returns the score penalty for the images on a non-spot machine, which is below the weight of
     * a full machine. Guards against work that may run anywhere filling the non-spot machines that
     * have the most images, on which large work could start at once: such work uses the machines
     * with few images first.
     */
    private static double imageCountPenalty(Machine machine) {
        int images = machine.images().size();
        return 0.25 * images / (images + 4);
    }
}
