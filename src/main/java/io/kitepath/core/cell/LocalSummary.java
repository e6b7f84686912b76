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
    private static final int MOST_ROOMS = 64;

    private static final int RANKS = 2 * JobSpec.Priority.values().length;

    private final ShardState block;

    LocalSummary(ShardState block) {
        this.block = block;
    }

    List<FreeCapacity> room() {
        Map<MachineKind, double[]> free = new HashMap<>();
        for (Machine m : block.machines().values()) {
            MachineType t = block.types().get(m.type());
            if (m.open() && t != null && m.reservedFor() == null) {
                double[] f = free.computeIfAbsent(m.kind(), k -> new double[4]);
                f[0] += t.cpus() - m.usedCpus();
                f[1] += t.gpus() - m.usedGpus();
                f[2] += t.memoryGb() - m.usedMemory();
                f[3] += m.busy() ? 0 : 1;
            }
        }
        List<FreeCapacity> out = new ArrayList<>();
        free.forEach((k, f) -> out.add(new FreeCapacity(k, f[0], f[1], f[2], (int) f[3])));
        out.sort(
                Comparator.comparingDouble((FreeCapacity r) -> -r.cpus())
                        .thenComparing(r -> r.kind().toString()));
        return out.size() > MOST_ROOMS ? new ArrayList<>(out.subList(0, MOST_ROOMS)) : out;
    }

    /** CPUs of all machines that may be used. */
    double cpus() {
        double cpus = 0;
        for (Machine m : block.machines().values()) {
            MachineType t = block.types().get(m.type());
            cpus += m.open() && t != null ? t.cpus() : 0;
        }
        return cpus;
    }

    /** By rank: how long waiting work up to that rank would take all machines, in seconds. */
    List<Double> waitS() {
        double[] work = new double[RANKS];
        for (Job j : block.jobs().values()) {
            work[j.rank()] += workS(j);
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
    static double workS(Job j) {
        return j.waiting() * j.spec.cpus() * j.spec.estimateS();
    }
}
