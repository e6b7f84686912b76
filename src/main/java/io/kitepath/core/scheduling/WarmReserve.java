package io.kitepath.core.scheduling;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.Machine;
import io.kitepath.core.shard.RecentArrivals;
import io.kitepath.core.shard.ShardState;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Briefly reserves idle machines for gangs of higher priority which, at their usual rate, will
 * arrive before capacity could be freed for them. Guards against work of lower priority that fills
 * every machine as soon as a gang has left it and is then evicted for the next gang.
 */
final class WarmReserve {
    private final ShardState shard;
    private final ProbePlacement probePlacement;

    /** The priority of the gangs for which each machine is reserved. */
    private final Map<Machine, JobSpec.Priority> reservedPriorityByMachine = new HashMap<>();

    WarmReserve(ShardState shard, ProbePlacement probePlacement) {
        this.shard = shard;
        this.probePlacement = probePlacement;
    }

    /** Selects the reserved machines anew among those that are open for placement. */
    void chooseMachines(List<Machine> openMachines, double wallMillis) {
        reservedPriorityByMachine.clear();
        List<Machine> idleMachines = new ArrayList<>();
        for (Machine machine : openMachines) {
            if (!machine.isBusy() && machine.reservedFor() == null && !machine.isDraining()) {
                idleMachines.add(machine);
            }
        }
        if (idleMachines.isEmpty()) {
            return;
        }
        idleMachines.sort(
                Comparator.comparingInt((Machine machine) -> -machine.images().size())
                        .thenComparing(machine -> machine.id));
        for (RecentArrivals.ArrivalRate rate :
                shard.recentArrivals().gangArrivalRates(wallMillis)) {
            reserve(rate, idleMachines);
        }
    }

    private void reserve(RecentArrivals.ArrivalRate rate, List<Machine> idleMachines) {
        // Capacity is freed within about one heartbeat interval: stopped work has to be reported as
        // ended.
        double remainingTasks =
                rate.tasksPerSecond() * shard.settings().workers().heartbeatIntervalSeconds();
        for (Machine machine : idleMachines) {
            if (remainingTasks <= 0) {
                return;
            }
            if (!reservedPriorityByMachine.containsKey(machine)
                    && probePlacement.isAllowed(machine, rate.sampleSpec())) {
                remainingTasks -= Math.max(1, probePlacement.freeSlots(machine, rate.sampleSpec()));
                reservedPriorityByMachine.put(machine, rate.sampleSpec().priority());
            }
        }
    }

    /** Whether the job must not use the machine, because it would soon be evicted there. */
    boolean isReservedAgainst(Machine machine, Job job) {
        if (reservedPriorityByMachine.isEmpty() || job.spec.isGang()) {
            return false;
        }
        JobSpec.Priority reservedPriority = reservedPriorityByMachine.get(machine);
        return reservedPriority != null && job.effectivePriority().compareTo(reservedPriority) > 0;
    }
}
