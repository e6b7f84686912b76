package io.kitepath.core.scaling;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.scheduling.ProbePlacement;
import io.kitepath.core.shard.Machine;

/** The room that a machine has, or will have once it is up. */
final class FreeCapacity {
    final MachineType type;
    final MachineKind kind;
    final Machine machine;

    /**
     * Of the machine's room, what is left by the time that the plan looks at, and what is left
     * until then.
     */
    final FreeResources afterBoot;

    final FreeResources immediately;

    FreeCapacity(MachineType type, MachineKind kind, Machine machine) {
        this.type = type;
        this.kind = kind;
        this.machine = machine;
        this.afterBoot = new FreeResources(type);
        this.immediately = new FreeResources(type);
    }

    /**
     * Whether it has CPUs for one task; cheap, for a look at hundreds of rooms for each of hundreds
     * of jobs.
     */
    boolean hasCpusFor(JobSpec spec, boolean atOnce) {
        return afterBoot.cpus + 1e-6 >= spec.cpusPerTask()
                && (!atOnce || immediately.cpus + 1e-6 >= spec.cpusPerTask());
    }

    /** Takes in as many of the tasks as fit, at once or by then; returns how many. */
    int allocate(JobSpec spec, int tasks, boolean atOnce) {
        int n = Math.min(tasks, afterBoot.slots(spec));
        if (atOnce) {
            n = Math.min(n, immediately.slots(spec));
        }
        afterBoot.subtract(spec, n);
        immediately.subtract(spec, n);
        return n;
    }

    static final class FreeResources {
        double cpus;
        double gpus;
        double memoryGb;

        FreeResources(MachineType type) {
            cpus = type.cpus();
            gpus = type.gpus();
            memoryGb = type.memoryGigabytes();
        }

        int slots(JobSpec spec) {
            return ProbePlacement.slots(spec, cpus, gpus, memoryGb);
        }

        void subtract(JobSpec spec, int tasks) {
            cpus -= tasks * spec.cpusPerTask();
            gpus -= tasks * spec.gpusPerTask();
            memoryGb -= tasks * spec.memoryGigabytesPerTask();
        }
    }
}
