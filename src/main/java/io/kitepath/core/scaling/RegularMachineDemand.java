package io.kitepath.core.scaling;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.scheduling.ProbePlacement;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.Machine;
import io.kitepath.core.shard.ShardState;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * The kinds of regular machines that waiting work depends on, although it could run on spot
 * machines: none that it may use is up or booting. Guards against regular machines returned because
 * the cloud might have spot machines, while work waits for which it has none.
 */
final class RegularMachineDemand {
    private final Set<MachineKind> neededKinds = new HashSet<>();

    /**
     * @param waiting the jobs with tasks to place
     */
    RegularMachineDemand(
            ShardState shard,
            MachineLiveness machineLiveness,
            Collection<Job> waiting,
            double now) {
        Set<MachineKind> spotKinds = new HashSet<>();
        Set<MachineKind> regularKinds = new HashSet<>();
        for (Machine machine : shard.machines().values()) {
            if (machineLiveness.typeOf(machine).isPresent()
                    && machineLiveness.isCapacity(machine, now)) {
                (machine.isSpot() ? spotKinds : regularKinds).add(machine.kind());
            }
        }
        for (Job job : waiting) {
            if (job.spec.allowsSpot()
                    && !shard.failureDiagnosis().isJobAtFault(job, now)
                    && !isAnyAllowed(spotKinds, job.spec)) {
                regularKinds.stream()
                        .filter(kind -> ProbePlacement.isAllowed(kind, job.spec))
                        .forEach(neededKinds::add);
            }
        }
    }

    private static boolean isAnyAllowed(Set<MachineKind> kinds, JobSpec spec) {
        return kinds.stream().anyMatch(kind -> ProbePlacement.isAllowed(kind, spec));
    }

    /** Whether work waits that can run on such machines only, for now. */
    boolean needs(Machine machine) {
        return neededKinds.contains(machine.kind());
    }
}
