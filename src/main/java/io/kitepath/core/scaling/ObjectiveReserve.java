package io.kitepath.core.scaling;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.scheduling.ProbePlacement;
import io.kitepath.core.scheduling.ZoneConstraints;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.Machine;
import io.kitepath.core.shard.ShardState;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Keeps room for job classes that are expected to start sooner than a machine boots: enough for all
 * but the largest of the jobs that came lately, by the share that the class's service-level
 * objective names.
 */
final class ObjectiveReserve {
    private final ShardState shard;
    private final CapacitySurvey survey;
    private final RentalPlan rentals;
    private final Set<Machine> reserved = new HashSet<>();

    ObjectiveReserve(ShardState shard, CapacitySurvey survey, RentalPlan rentals) {
        this.shard = shard;
        this.survey = survey;
        this.rentals = rentals;
    }

    /**
     * Reserves machines for each objective, and rents those that are missing.
     *
     * @param queue the jobs that wait: a class that waits already needs no reserve for short waits
     * @return the machines that are up and have to be kept
     */
    Set<Machine> reserve(List<Job> queue, double wallMillis) {
        for (ClusterSettings.Objective objective : shard.settings().objectives()) {
            typicalJob(objective, queue, wallMillis)
                    .ifPresent(typical -> reserveFor(objective, typical, wallMillis));
        }
        return reserved;
    }

    private Optional<JobSpec> typicalJob(
            ClusterSettings.Objective objective, List<Job> queue, double wallMillis) {
        double boot = survey.shortestBootSeconds();
        boolean startsSoonerThanBoot =
                objective.kind().equals("wait")
                        && objective.withinSeconds() < boot
                        && queue.stream()
                                .noneMatch(job -> job.spec.jobClass().equals(objective.jobClass()));
        if (!startsSoonerThanBoot && !objective.kind().equals("deadline")) {
            return Optional.empty();
        }
        return Optional.ofNullable(
                shard.recentArrivals()
                        .typicalSpec(
                                objective.jobClass(), objective.targetShare(), wallMillis, boot));
    }

    private void reserveFor(
            ClusterSettings.Objective objective, JobSpec typical, double wallMillis) {
        int missing = tasksAtOnce(objective, typical, wallMillis);
        List<FreeCapacity> capacities = survey.capacitiesFor(typical);
        ZoneConstraints zones = ZoneConstraints.of(typical);
        rentals.chooseZone(zones, typical, missing, capacities);
        capacities.removeIf(
                capacity ->
                        !ProbePlacement.isAllowed(capacity.kind, typical)
                                || !zones.allows(capacity.kind.zone()));
        // The fullest machines first.
        capacities.sort(
                Comparator.comparingDouble(
                        capacity -> capacity.afterBoot.cpus() - capacity.type.cpus()));
        for (FreeCapacity capacity : capacities) {
            String zone = capacity.kind.zone();
            int fitting =
                    capacity.allocate(
                            typical, Math.min(missing, zones.remainingTasks(zone)), false);
            zones.addTasks(zone, fitting);
            missing -= fitting;
            if (fitting > 0) {
                capacity.machine.ifPresent(reserved::add);
            }
        }
        rentals.addMachinesFor(typical, missing, zones, kind -> true);
    }

    /** How many tasks of such jobs need a slot at the same time. */
    private int tasksAtOnce(
            ClusterSettings.Objective objective, JobSpec typical, double wallMillis) {
        if (typical.shape() != JobSpec.Shape.ARRAY || typical.deadlineSeconds() == null) {
            return typical.taskCount();
        }
        double rounds =
                Math.max(
                        1, typical.deadlineSeconds() / 2 / Math.max(1, typical.estimatedSeconds()));
        // As many jobs come within a boot time as usual, give or take the square root of that.
        double jobsPerBoot =
                survey.shortestBootSeconds()
                        * shard.recentArrivals().jobsPerSecond(objective.jobClass(), wallMillis);
        return (int) Math.ceil(Math.sqrt(Math.max(1, jobsPerBoot)) * typical.taskCount() / rounds);
    }
}
