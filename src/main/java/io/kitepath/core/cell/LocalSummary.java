package io.kitepath.core.cell;

import io.kitepath.core.model.CellMessage.FreeCapacity;
import io.kitepath.core.model.CellMessage.LoanOffer;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.scheduling.ProbePlacement;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.Machine;
import io.kitepath.core.shard.ShardState;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * This cell as other cells see it, in a few lines whatever its size: free capacity by kind of
 * machine, and for how long the waiting work would keep its machines busy.
 */
final class LocalSummary {
    /** Kinds of machine in a summary, which has to stay small: those with most free CPUs. */
    private static final int MAX_MACHINE_KINDS = 64;

    private static final int RANKS = 2 * JobSpec.Priority.values().length;

    /** Of a job that asks for no CPUs, so that dividing by it is defined. */
    private static final double MIN_CPUS_PER_TASK = 1e-6;

    /** The free capacity of one kind of machine while it is added up. */
    private static final class Sum {
        private double cpus;
        private double gpus;
        private double memoryGigabytes;
        private int idleMachines;

        private void add(Machine machine, MachineType type) {
            cpus += type.cpus() - machine.usedCpus();
            gpus += type.gpus() - machine.usedGpus();
            memoryGigabytes += type.memoryGigabytes() - machine.usedMemoryGigabytes();
            idleMachines += machine.isBusy() ? 0 : 1;
        }

        private FreeCapacity toFreeCapacity(MachineKind kind) {
            return new FreeCapacity(kind, cpus, gpus, memoryGigabytes, idleMachines);
        }
    }

    private final ShardState shard;

    LocalSummary(ShardState shard) {
        this.shard = shard;
    }

    /** Free capacity of the machines that may be used and are not reserved, most CPUs first. */
    List<FreeCapacity> freeCapacity() {
        Map<MachineKind, Sum> sums = new HashMap<>();
        for (Machine machine : shard.machines().values()) {
            MachineType type = shard.machineTypes().get(machine.type());
            if (machine.isSchedulable() && type != null && machine.reservedFor() == null) {
                sums.computeIfAbsent(machine.kind(), kind -> new Sum()).add(machine, type);
            }
        }
        List<FreeCapacity> sorted = new ArrayList<>();
        sums.forEach((kind, sum) -> sorted.add(sum.toFreeCapacity(kind)));
        sorted.sort(
                Comparator.comparingDouble((FreeCapacity capacity) -> -capacity.cpus())
                        .thenComparing(capacity -> capacity.kind().toString()));
        return sorted.size() > MAX_MACHINE_KINDS
                ? new ArrayList<>(sorted.subList(0, MAX_MACHINE_KINDS))
                : sorted;
    }

    /**
     * Whether there is room now for what is offered: for all of it if it has to be together, else
     * for one task.
     */
    boolean hasRoomFor(LoanOffer offer) {
        JobSpec spec = offer.spec();
        int slots = 0;
        boolean isAllowedSomewhere = false;
        for (FreeCapacity capacity : freeCapacity()) {
            MachineType type = shard.machineTypes().get(capacity.kind().machineType());
            if (type != null && ProbePlacement.isAllowed(capacity.kind(), spec)) {
                isAllowedSomewhere = true;
                slots += slots(capacity, spec, type);
            }
        }
        boolean isIndivisible = spec.shape() != JobSpec.Shape.ARRAY;
        int needed = isIndivisible ? offer.endTask() - offer.firstTask() : 1;
        return isAllowedSomewhere && slots >= needed;
    }

    /** Of machines in use, the free CPUs count. */
    private static int slots(FreeCapacity capacity, JobSpec spec, MachineType type) {
        double cpusOfBusyMachines = capacity.cpus() - capacity.idleMachines() * type.cpus();
        double slotsOfBusyMachines =
                cpusOfBusyMachines / Math.max(MIN_CPUS_PER_TASK, spec.cpusPerTask());
        return capacity.idleMachines() * ProbePlacement.slots(spec, type)
                + (int) Math.max(0, slotsOfBusyMachines);
    }

    /** CPUs of all machines that may be used. */
    double cpus() {
        double cpus = 0;
        for (Machine machine : shard.machines().values()) {
            MachineType type = shard.machineTypes().get(machine.type());
            cpus += machine.isSchedulable() && type != null ? type.cpus() : 0;
        }
        return cpus;
    }

    /** By rank: for how long all machines would work on the waiting work up to that rank. */
    List<Double> waitSecondsByRank() {
        double[] cpuSecondsByRank = new double[RANKS];
        for (Job job : shard.jobs().values()) {
            cpuSecondsByRank[job.queueRank()] += waitingCpuSeconds(job);
        }
        double cpus = Math.max(1, cpus());
        List<Double> waitSeconds = new ArrayList<>();
        double sum = 0;
        for (double cpuSeconds : cpuSecondsByRank) {
            sum += cpuSeconds;
            waitSeconds.add(sum / cpus);
        }
        return waitSeconds;
    }

    /** CPU seconds of the job's waiting tasks. */
    static double waitingCpuSeconds(Job job) {
        return job.waitingTasks() * job.spec.cpusPerTask() * job.spec.estimatedSeconds();
    }
}
