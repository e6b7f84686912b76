package io.kitepath.core.scheduling;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.shard.Machine;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Selects machines for whole gangs, and the zone for jobs that have to stay in one zone. */
final class GangPlacement {
    private final ProbePlacement placement;

    GangPlacement(ProbePlacement placement) {
        this.placement = placement;
    }

    /**
     * The result of a search for machines.
     *
     * @param machines one machine for each task; empty if the gang does not fit as a whole
     * @param waitingForImage whether machines were left out only because others have the image
     */
    record Choice(List<Machine> machines, boolean waitingForImage) {
        static final Choice NO_CAPACITY = new Choice(List.of(), false);

        boolean isFound() {
            return !machines.isEmpty();
        }
    }

    /** Selects machines for all tasks of a gang. */
    Choice chooseMachinesForGang(JobSpec spec, List<Machine> candidates, boolean mayWaitForImage) {
        placement.counters().inspectedMachines += candidates.size();
        Map<String, Integer> slotsByZone = slotsByZone(spec, candidates);
        if (slotsByZone.values().stream().mapToInt(Integer::intValue).sum() < spec.taskCount()) {
            return Choice.NO_CAPACITY;
        }
        MachineSearch search = placement.newSearch(spec, candidates, mayWaitForImage);
        if (!spec.isSingleZone()) {
            return findWholeGang(spec, search);
        }
        // Prefers the zone with the least free capacity that still suffices, which leaves the zones
        // with more capacity to larger gangs.
        List<String> zones = new ArrayList<>(slotsByZone.keySet());
        zones.removeIf(zone -> slotsByZone.get(zone) < spec.taskCount());
        zones.sort(Comparator.comparing(slotsByZone::get));
        boolean waitingForImage = false;
        for (String zone : zones) {
            Choice found =
                    findWholeGang(
                            spec, search.restrictedTo(machine -> machine.zone().equals(zone)));
            if (found.isFound()) {
                return found;
            }
            waitingForImage |= found.waitingForImage();
        }
        return new Choice(List.of(), waitingForImage);
    }

    /**
     * Selects the zone for the first tasks of a job that has to stay in one zone: the zone with the
     * least free capacity that suffices for {@code tasks} tasks, otherwise the zone with the most
     * free capacity; empty without candidates. Guards against a job whose first task binds it to a
     * zone that holds few of its tasks while another zone would hold all of them.
     */
    Optional<String> chooseZone(JobSpec spec, int tasks, List<Machine> candidates) {
        Comparator<Map.Entry<String, Integer>> leastSufficient =
                Comparator.comparingInt(
                        zone -> zone.getValue() >= tasks ? zone.getValue() : Integer.MAX_VALUE);
        return slotsByZone(spec, candidates).entrySet().stream()
                .min(leastSufficient.thenComparingInt(zone -> -zone.getValue()))
                .map(Map.Entry::getKey);
    }

    private Map<String, Integer> slotsByZone(JobSpec spec, List<Machine> candidates) {
        Map<String, Integer> slots = new TreeMap<>();
        for (Machine machine : candidates) {
            slots.merge(machine.zone(), placement.freeSlots(machine, spec), Integer::sum);
        }
        return slots;
    }

    /**
     * Finds a machine for each task, or none if a task finds no machine. The machines count the
     * tasks as placed only during the search.
     */
    private Choice findWholeGang(JobSpec spec, MachineSearch initialSearch) {
        MachineSearch search = initialSearch;
        List<Machine> found = new ArrayList<>();
        Map<String, Integer> tasksByZone = new HashMap<>();
        for (int task = 0; task < spec.taskCount(); task++) {
            Optional<Machine> next = search.nextMachine();
            if (next.isEmpty()) {
                break;
            }
            Machine machine = next.get();
            machine.countTentatively(spec, 1);
            found.add(machine);
            if (tasksByZone.merge(machine.zone(), 1, Integer::sum) >= spec.maxTasksPerZone()) {
                search = search.restrictedTo(other -> !other.zone().equals(machine.zone()));
            }
        }
        boolean isComplete = found.size() == spec.taskCount();
        boolean waitingForImage = !isComplete && search.isWaitingForImage();
        for (Machine machine : found) {
            machine.countTentatively(spec, -1);
        }
        return new Choice(isComplete ? found : List.of(), waitingForImage);
    }
}
