package io.kitepath.core.scaling;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.shard.Attempt;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.Machine;
import io.kitepath.core.shard.ShardState;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/** Summarizes the shard's capacity and demand at the time of a plan. */
final class CapacitySurvey {
    private final ClusterSettings settings;
    private final ShardState shard;
    private final MachineLiveness machineLiveness;
    private final double now;
    private final double usableCpus;
    private final double spotBacklogCpuSeconds;

    CapacitySurvey(ShardState shard, MachineLiveness machineLiveness, double now) {
        this.settings = shard.settings();
        this.shard = shard;
        this.machineLiveness = machineLiveness;
        this.now = now;
        this.usableCpus = sumUsableCpus();
        this.spotBacklogCpuSeconds = sumSpotBacklogCpuSeconds();
    }

    private double sumUsableCpus() {
        double cpus = 0;
        for (Machine machine : shard.machines().values()) {
            Optional<MachineType> type = machineLiveness.typeOf(machine);
            if (type.isPresent() && machineLiveness.countsAsCapacity(machine, now)) {
                cpus += type.get().cpus();
            }
        }
        return cpus;
    }

    private double sumSpotBacklogCpuSeconds() {
        double cpuSeconds = 0;
        for (Job job : shard.jobs().values()) {
            if (job.spec.allowsSpot() && !shard.failureDiagnosis().isJobAtFault(job, now)) {
                cpuSeconds +=
                        job.waitingTasks() * job.spec.cpusPerTask() * job.spec.estimatedSeconds();
            }
        }
        return cpuSeconds;
    }

    /** Returns the CPUs of the machines that are up or booting. */
    double usableCpus() {
        return usableCpus;
    }

    /**
     * Returns how many seconds all usable CPUs need for the waiting work that may use spot
     * machines.
     */
    double spotBacklogSeconds() {
        return spotBacklogCpuSeconds / Math.max(1, usableCpus);
    }

    /** Whether there is no unfinished job. */
    boolean isIdle() {
        return shard.jobs().values().stream().allMatch(Job::isFinished);
    }

    /**
     * Returns the sum of the CPUs guaranteed to all teams, or 0 while there is no unfinished job.
     * Guards against machines that stay rented although no job has been submitted for a long time.
     */
    double guaranteedCpus() {
        return isIdle()
                ? 0
                : settings.teams().values().stream()
                        .mapToDouble(ClusterSettings.Team::guaranteedCpus)
                        .sum();
    }

    /** Returns the shortest boot time of all machine types, in seconds. */
    double shortestBootSeconds() {
        return shard.machineTypes().values().stream()
                .mapToDouble(MachineType::bootSeconds)
                .min()
                .orElse(0);
    }

    /**
     * Returns the free capacity of all machines that are up or booting, as of the time when a newly
     * rented machine could be up.
     */
    List<FreeCapacity> capacitiesAfterBoot() {
        return capacities(
                attempt -> attempt.remainingSeconds(now) > typeOf(attempt.machine).bootSeconds());
    }

    /**
     * Returns the free capacity of all machines that are up or booting for a job that may be
     * submitted at any time: the current one, with work of lower priority evicted, except gangs.
     */
    List<FreeCapacity> capacitiesFor(JobSpec spec) {
        return capacities(
                attempt ->
                        attempt.job.spec.isGang()
                                || attempt.job.effectivePriority().compareTo(spec.priority()) <= 0);
    }

    private List<FreeCapacity> capacities(Predicate<Attempt> occupiesCapacityAfterBoot) {
        List<FreeCapacity> capacities = new ArrayList<>();
        for (Machine machine : shard.machines().values()) {
            Optional<MachineType> type = machineLiveness.typeOf(machine);
            if (type.isEmpty() || !machineLiveness.countsAsCapacity(machine, now)) {
                continue;
            }
            FreeCapacity capacity = FreeCapacity.of(machine, type.get());
            for (Attempt attempt : machine.attempts()) {
                if (attempt.isUnwanted()) {
                    continue;
                }
                if (occupiesCapacityAfterBoot.test(attempt)) {
                    capacity.afterBoot.subtract(attempt.job.spec, 1);
                }
                capacity.immediately.subtract(attempt.job.spec, 1);
            }
            capacities.add(capacity);
        }
        return capacities;
    }

    private MachineType typeOf(Machine machine) {
        return shard.machineTypes().get(machine.type());
    }
}
