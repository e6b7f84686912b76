package io.kitepath.core.cell;

import io.kitepath.core.model.CellMessage.FreeCapacity;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.Machine;
import io.kitepath.core.shard.ShardState;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * This cell as others see it, in a few lines whatever its size: free room by kind of machine, and
 * how long what waits would keep its machines busy.
 */
final class LocalSummary {
    /** Kinds told of at most, so that a summary stays small. */
    private static final int MAX_MACHINE_KINDS = 64;

    private static final int RANKS = 2 * JobSpec.Priority.values().length;

    private final ShardState shard;

    LocalSummary(ShardState shard) {
        this.shard = shard;
    }

    List<FreeCapacity> freeCapacity() {
        Map<MachineKind, double[]> free = new HashMap<>();
        for (Machine machine : shard.machines().values()) {
            MachineType type = shard.machineTypes().get(machine.type());
            if (machine.isSchedulable() && type != null && machine.reservedFor() == null) {
                double[] f = free.computeIfAbsent(machine.kind(), kind -> new double[4]);
                f[0] += type.cpus() - machine.usedCpus();
                f[1] += type.gpus() - machine.usedGpus();
                f[2] += type.memoryGigabytes() - machine.usedMemory();
                f[3] += machine.isBusy() ? 0 : 1;
            }
        }
        List<FreeCapacity> out = new ArrayList<>();
        free.forEach((kind, f) -> out.add(new FreeCapacity(kind, f[0], f[1], f[2], (int) f[3])));
        out.sort(
                Comparator.comparingDouble((FreeCapacity capacity) -> -capacity.cpus())
                        .thenComparing(capacity -> capacity.kind().toString()));
        return out.size() > MAX_MACHINE_KINDS
                ? new ArrayList<>(out.subList(0, MAX_MACHINE_KINDS))
                : out;
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

    /** By rank: how long waiting work up to that rank would take all machines, in seconds. */
    List<Double> waitSecondsByRank() {
        double[] work = new double[RANKS];
        for (Job job : shard.jobs().values()) {
            work[job.queueRank()] += workSeconds(job);
        }
        double cpus = Math.max(1, cpus());
        List<Double> out = new ArrayList<>();
        double sum = 0;
        for (double w : work) {
            sum += w;
            out.add(sum / cpus);
        }
        return out;
    }

    /** CPU seconds of the job's waiting tasks. */
    static double workSeconds(Job job) {
        return job.waitingTasks() * job.spec.cpusPerTask() * job.spec.estimatedSeconds();
    }
}
