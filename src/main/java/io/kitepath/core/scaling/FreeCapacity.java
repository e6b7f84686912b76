package io.kitepath.core.scaling;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.scheduling.ProbePlacement;
import io.kitepath.core.shard.Machine;
import java.util.Optional;

/**
 * Free capacity of a machine that exists or is to be rented, to which a plan allocates waiting
 * tasks.
 */
final class FreeCapacity {
    /** Absorbs rounding errors in sums of resources. */
    private static final double ROUNDING_SLACK = 1e-6;

    final MachineType type;
    final MachineKind kind;

    /** Empty for a machine that is yet to be rented. */
    final Optional<Machine> machine;

    /** Resources that are free when a newly rented machine could be up. */
    final FreeResources afterBoot;

    /** Resources that are free until then. */
    final FreeResources immediately;

    private FreeCapacity(MachineType type, MachineKind kind, Optional<Machine> machine) {
        this.type = type;
        this.kind = kind;
        this.machine = machine;
        this.afterBoot = new FreeResources(type);
        this.immediately = new FreeResources(type);
    }

    /**
     * Returns the whole capacity of a machine that is up or booting, before its attempts are
     * subtracted.
     */
    static FreeCapacity of(Machine machine, MachineType type) {
        return new FreeCapacity(type, machine.kind(), Optional.of(machine));
    }

    /** Returns the whole capacity of a machine that is to be rented. */
    static FreeCapacity ofRental(MachineKind kind, MachineType type) {
        return new FreeCapacity(type, kind, Optional.empty());
    }

    /**
     * Whether there are enough free CPUs for one task. Kept cheap, as it runs for every machine and
     * job.
     *
     * @param mustFitImmediately whether the CPUs have to be free immediately as well
     */
    boolean hasCpusFor(JobSpec spec, boolean mustFitImmediately) {
        return afterBoot.cpus + ROUNDING_SLACK >= spec.cpusPerTask()
                && (!mustFitImmediately || immediately.cpus + ROUNDING_SLACK >= spec.cpusPerTask());
    }

    /**
     * Allocates as many of the tasks as fit and returns their number.
     *
     * @param mustFitImmediately whether the tasks have to fit into the immediately free resources
     *     as well
     */
    int allocate(JobSpec spec, int tasks, boolean mustFitImmediately) {
        int fittingTasks = Math.min(tasks, afterBoot.slotsFor(spec));
        if (mustFitImmediately) {
            fittingTasks = Math.min(fittingTasks, immediately.slotsFor(spec));
        }
        afterBoot.subtract(spec, fittingTasks);
        immediately.subtract(spec, fittingTasks);
        return fittingTasks;
    }

    /** Free resources of one machine. */
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

        private int slotsFor(JobSpec spec) {
            return ProbePlacement.slots(spec, cpus, gpus, memoryGb);
        }

        void subtract(JobSpec spec, int tasks) {
            cpus -= tasks * spec.cpusPerTask();
            gpus -= tasks * spec.gpusPerTask();
            memoryGb -= tasks * spec.memoryGigabytesPerTask();
        }
    }
}
