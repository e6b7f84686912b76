package io.kitepath.core.scaling;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.scheduling.ProbePlacement;
import io.kitepath.core.shard.Machine;
import java.util.Optional;

/** The room on a machine, or on one that is to be rented, that a plan fills with waiting work. */
final class FreeCapacity {
    /** Absorbs rounding errors when resources are summed up. */
    private static final double ROUNDING_SLACK = 1e-6;

    final MachineType type;
    final MachineKind kind;

    /** Empty for a machine that is only to be rented. */
    final Optional<Machine> machine;

    /** What is free by the time that a new machine could be up. */
    final FreeResources afterBoot;

    /** What is free until then. */
    final FreeResources immediately;

    private FreeCapacity(MachineType type, MachineKind kind, Optional<Machine> machine) {
        this.type = type;
        this.kind = kind;
        this.machine = machine;
        this.afterBoot = new FreeResources(type);
        this.immediately = new FreeResources(type);
    }

    /** All of a machine that is up or coming, before its work is subtracted. */
    static FreeCapacity of(Machine machine, MachineType type) {
        return new FreeCapacity(type, machine.kind(), Optional.of(machine));
    }

    /** All of a machine that is to be rented. */
    static FreeCapacity ofRental(MachineKind kind, MachineType type) {
        return new FreeCapacity(type, kind, Optional.empty());
    }

    /** Whether it has CPUs for one task. Cheap, as it is asked of every machine for every job. */
    boolean hasCpusFor(JobSpec spec, boolean atOnce) {
        return afterBoot.cpus + ROUNDING_SLACK >= spec.cpusPerTask()
                && (!atOnce || immediately.cpus + ROUNDING_SLACK >= spec.cpusPerTask());
    }

    /**
     * Fills it with as many of the tasks as fit, returning how many.
     *
     * @param atOnce whether the tasks have to fit into what is free immediately as well
     */
    int allocate(JobSpec spec, int tasks, boolean atOnce) {
        int fitting = Math.min(tasks, afterBoot.slots(spec));
        if (atOnce) {
            fitting = Math.min(fitting, immediately.slots(spec));
        }
        afterBoot.subtract(spec, fitting);
        immediately.subtract(spec, fitting);
        return fitting;
    }

    /** Resources that are still free. */
    static final class FreeResources {
        private double cpus;
        private double gpus;
        private double memoryGb;

        private FreeResources(MachineType type) {
            cpus = type.cpus();
            gpus = type.gpus();
            memoryGb = type.memoryGigabytes();
        }

        double cpus() {
            return cpus;
        }

        private int slots(JobSpec spec) {
            return ProbePlacement.slots(spec, cpus, gpus, memoryGb);
        }

        void subtract(JobSpec spec, int tasks) {
            cpus -= tasks * spec.cpusPerTask();
            gpus -= tasks * spec.gpusPerTask();
            memoryGb -= tasks * spec.memoryGigabytesPerTask();
        }
    }
}
