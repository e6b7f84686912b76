package io.kitepath.core.scheduling;

import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.Machine;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Which machines a job may use now, apart from their room. Placing, evicting and reserving ask
 * here: guards against work that is evicted, or room that is reserved, where the job is not placed.
 */
final class CandidateMachines {
    /**
     * For how long a job of which nothing is placed leaves out machines on which it failed: a third
     * of the 90 s within which it has to be placed where there is room.
     */
    private static final double MAX_AVOID_SECONDS = 30;

    private final ProbePlacement placement;
    private final PreemptionRules rules;
    private final WarmReserve warmReserve;
    private final PromisedRoom promisedRoom;

    CandidateMachines(
            ProbePlacement placement,
            PreemptionRules rules,
            WarmReserve warmReserve,
            PromisedRoom promisedRoom) {
        this.placement = placement;
        this.rules = rules;
        this.warmReserve = warmReserve;
        this.promisedRoom = promisedRoom;
    }

    /** The open machines on which the job's tasks may be placed now. */
    List<Machine> forPlacing(Job job, List<Machine> open, double now) {
        return usable(job, open, machine -> mayUseReserved(job, machine, now), now);
    }

    /**
     * The open machines on which room may be made or reserved for the job now.
     *
     * @param mayWaitForImage whether machines may be left out since enough others have the image
     */
    List<Machine> forMakingRoom(Job job, List<Machine> open, boolean mayWaitForImage, double now) {
        List<Machine> machines =
                usable(job, open, machine -> RoomReservations.isFreeFor(job, machine), now);
        if (!job.spec.allowsSpot() || !mayWaitForImage) {
            return machines;
        }
        MachineSearch search =
                placement.newSearch(job.spec, forPlacing(job, open, now), mayWaitForImage);
        return machines.stream().filter(machine -> !search.leavesOut(machine)).toList();
    }

    private List<Machine> usable(
            Job job, List<Machine> open, Predicate<Machine> isNotReserved, double now) {
        ZoneConstraints zones = ZoneConstraints.of(job);
        List<Machine> usable = new ArrayList<>();
        for (Machine machine : open) {
            if (isNotReserved.test(machine)
                    && placement.isAllowed(machine, job.spec)
                    && zones.remainingTasks(machine.zone()) > 0
                    && !(machine.isDraining() && job.spec.allowsSpot())
                    && !promisedRoom.isKeptFrom(job, machine)
                    && !warmReserve.isReservedAgainst(machine, job)) {
                usable.add(machine);
            }
        }
        return withoutFailed(job, usable, now);
    }

    /**
     * Whether the machine is not reserved for another job, or only until other work ends and this
     * job gives way to that one or is over before it starts.
     */
    private boolean mayUseReserved(Job job, Machine machine, double now) {
        return RoomReservations.isFreeFor(job, machine)
                || machine.isBackfillAllowed()
                        && (rules.mustYield(job, machine.reservedFor())
                                || machine.mayBackfill(job, now));
    }

    /**
     * Leaves out the machines on which the job failed, if there are others. Guards against retries
     * that land where they failed, and against a job that waits beside the only machine with room.
     */
    private List<Machine> withoutFailed(Job job, List<Machine> machines, double now) {
        if (job.failedMachines().isEmpty() || now - job.lastPlacedAt() > MAX_AVOID_SECONDS) {
            return machines;
        }
        List<Machine> others = new ArrayList<>(machines);
        others.removeIf(machine -> job.failedMachines().contains(machine.id));
        return others.isEmpty() ? machines : others;
    }
}
