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
 * Idle machines that lesser work leaves alone for a moment, because by their usual pace gangs of
 * higher priority will come before room could be made for them. Guards against work that fills
 * every machine as soon as a gang has left it, only to be stopped for the next one: on a full fleet
 * one start in six was lost that way, and with it the end of the array that it belonged to.
 */
final class WarmReserve {
    private final ShardState shard;
    private final ProbePlacement probePlacement;

    /** The priority of the gangs that a machine waits for. */
    private final Map<Machine, JobSpec.Priority> reservedPriorities = new HashMap<>();

    WarmReserve(ShardState shard, ProbePlacement probePlacement) {
        this.shard = shard;
        this.probePlacement = probePlacement;
    }

    /** Chooses anew among the machines that may be used. */
    void chooseMachines(List<Machine> open, double wallMs) {
        reservedPriorities.clear();
        List<Machine> idle = new ArrayList<>();
        for (Machine machine : open) {
            if (!machine.isBusy() && machine.reservedFor() == null && !machine.isDraining()) {
                idle.add(machine);
            }
        }
        if (idle.isEmpty()) {
            return;
        }
        idle.sort(
                Comparator.comparingInt((Machine machine) -> -machine.images().size())
                        .thenComparing(machine -> machine.id));
        for (RecentArrivals.ArrivalRate pace : shard.recentArrivals().gangArrivalRates(wallMs)) {
            // Room is made within about one report: what is stopped has to be reported as ended.
            double tasks =
                    pace.tasksPerSecond() * shard.settings().workers().heartbeatIntervalSeconds();
            for (Machine machine : idle) {
                if (tasks <= 0) {
                    break;
                }
                if (!reservedPriorities.containsKey(machine)
                        && probePlacement.isAllowed(machine, pace.sampleSpec())) {
                    tasks -=
                            Math.max(
                                    1,
                                    probePlacement.freeSlots(machine, pace.sampleSpec(), 0, 0, 0));
                    reservedPriorities.put(machine, pace.sampleSpec().priority());
                }
            }
        }
    }

    /** Whether the job would have to give way here soon. */
    boolean isReservedAgainst(Machine machine, Job job) {
        JobSpec.Priority of = reservedPriorities.get(machine);
        return of != null && !job.spec.isGang() && job.effectivePriority().compareTo(of) > 0;
    }
}
