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
 * Finds the kinds of regular machines that waiting jobs depend on, although these could run on spot
 * machines, because no spot machine that they may use is up or booting. Guards against the release
 * of regular machines, in the expectation of spot machines, while jobs wait for which the cloud has
 * no spot machines.
 */
final class RegularMachineDemand {
    private final Set<MachineKind> neededKinds = new HashSet<>();

    /**
     * @param waitingJobs the jobs with tasks to place
     */
    RegularMachineDemand(
            ShardState shard,
            MachineLiveness machineLiveness,
            Collection<Job> waitingJobs,
            double now) {
        Set<MachineKind> spotKinds = new HashSet<>();
        Set<MachineKind> regularKinds = new HashSet<>();
        for (Machine machine : shard.machines().values()) {
            if (machineLiveness.typeOf(machine).isPresent()
                    && machineLiveness.countsAsCapacity(machine, now)) {
                (machine.isSpot() ? spotKinds : regularKinds).add(machine.kind());
            }
        }
        for (Job job : waitingJobs) {
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

    /**
     * Whether there are waiting jobs that can currently run only on machines of this machine's
     * kind, or other regular ones.
     */
    boolean isNeeded(Machine machine) {
        return neededKinds.contains(machine.kind());
    }
}
