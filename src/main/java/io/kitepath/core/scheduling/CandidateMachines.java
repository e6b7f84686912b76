package io.kitepath.core.scheduling;

import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.Machine;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Selects the machines that a job may use now, regardless of their free capacity. Placement,
 * eviction and reservation share this selection. Guards against evicting work, or reserving
 * capacity, on machines where the job would not be placed.
 */
final class CandidateMachines {
    /**
     * How long a job of which no task is placed leaves out the machines on which it failed: a third
     * of the 90 s within which it has to be placed if there is free capacity.
     */
    private static final double MAX_FAILED_MACHINE_AVOIDANCE_SECONDS = 30;

    private final ProbePlacement placement;
    private final PreemptionRules rules;
    private final WarmReserve warmReserve;
    private final CapacityPromises capacityPromises;

    CandidateMachines(
            ProbePlacement placement,
            PreemptionRules rules,
            WarmReserve warmReserve,
            CapacityPromises capacityPromises) {
        this.placement = placement;
        this.rules = rules;
        this.warmReserve = warmReserve;
        this.capacityPromises = capacityPromises;
    }

    /** Returns the open machines on which the job's tasks may be placed now. */
    List<Machine> forPlacing(Job job, List<Machine> openMachines, double now) {
        return usableMachines(job, openMachines, machine -> mayUseReserved(job, machine, now), now);
    }

    /**
     * Returns the open machines on which capacity may be freed or reserved for the job now.
     *
     * @param mayWaitForImage whether machines without the image may be left out because enough
     *     others have it
     */
    List<Machine> forFreeingCapacity(
            Job job, List<Machine> openMachines, boolean mayWaitForImage, double now) {
        List<Machine> machines =
                usableMachines(
                        job,
                        openMachines,
                        machine -> CapacityReservations.isFreeFor(job, machine),
                        now);
        if (!job.spec.allowsSpot() || !mayWaitForImage) {
            return machines;
        }
        MachineSearch search =
                placement.newSearch(job.spec, forPlacing(job, openMachines, now), mayWaitForImage);
        return machines.stream().filter(machine -> !search.leavesOut(machine)).toList();
    }

    private List<Machine> usableMachines(
            Job job, List<Machine> openMachines, Predicate<Machine> isNotReserved, double now) {
        ZoneConstraints zones = ZoneConstraints.of(job);
        List<Machine> usableMachines = new ArrayList<>();
        for (Machine machine : openMachines) {
            if (isNotReserved.test(machine)
                    && placement.isAllowed(machine, job.spec)
                    && zones.remainingTasks(machine.zone()) > 0
                    && !(machine.isDraining() && job.spec.allowsSpot())
                    && !capacityPromises.isWithheldFrom(job, machine)
                    && !warmReserve.isReservedAgainst(machine, job)) {
                usableMachines.add(machine);
            }
        }
        return withoutFailedMachines(job, usableMachines, now);
    }

    /**
     * Whether the machine is not reserved for another job, or is reserved only for the time when
     * other work ends and this job either may be preempted by the reserving job or ends before that
     * job starts.
     */
    private boolean mayUseReserved(Job job, Machine machine, double now) {
        return CapacityReservations.isFreeFor(job, machine)
                || machine.isBackfillAllowed()
                        && (rules.isPreemptibleBy(job, machine.reservedFor())
                                || machine.mayBackfill(job, now));
    }

    /**
     * Leaves out the machines on which the job failed, if there are others. Guards against retries
     * on machines where the job already failed, and against a job that keeps waiting although the
     * only machine with free capacity is one on which it failed.
     */
    private List<Machine> withoutFailedMachines(Job job, List<Machine> machines, double now) {
        if (job.failedMachines().isEmpty()
                || now - job.lastPlacedAt() > MAX_FAILED_MACHINE_AVOIDANCE_SECONDS) {
            return machines;
        }
        List<Machine> others = new ArrayList<>(machines);
        others.removeIf(machine -> job.failedMachines().contains(machine.id));
        return others.isEmpty() ? machines : others;
    }
}
