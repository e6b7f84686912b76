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
 * Reserves capacity for job classes whose objective is shorter than a machine's boot time: enough
 * for the target share of recently submitted jobs that the class's service-level objective sets,
 * that is, for all but the largest ones.
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
     * Reserves machines for each objective, and adds those that are missing to the rentals.
     *
     * @param queue the waiting jobs; a class with waiting jobs needs no reserve for its wait
     *     objective
     * @return the existing machines that have to be kept
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
        // Allocates on the fullest machines first.
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

    /** Returns how many tasks of such jobs need a slot at the same time. */
    private int tasksAtOnce(
            ClusterSettings.Objective objective, JobSpec typical, double wallMillis) {
        if (typical.shape() != JobSpec.Shape.ARRAY || typical.deadlineSeconds() == null) {
            return typical.taskCount();
        }
        double rounds =
                Math.max(
                        1, typical.deadlineSeconds() / 2 / Math.max(1, typical.estimatedSeconds()));
        // The number of jobs that are submitted within a boot time varies by about its square root.
        double jobsPerBoot =
                survey.shortestBootSeconds()
                        * shard.recentArrivals().jobsPerSecond(objective.jobClass(), wallMillis);
        return (int) Math.ceil(Math.sqrt(Math.max(1, jobsPerBoot)) * typical.taskCount() / rounds);
    }
}
