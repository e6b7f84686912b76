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
     * @param waitingJobs the waiting jobs; a class with waiting jobs needs no reserve for its wait
     *     objective
     * @return the existing machines that have to be kept
     */
    Set<Machine> reserve(List<Job> waitingJobs, double wallMillis) {
        for (ClusterSettings.Objective objective : shard.settings().objectives()) {
            typicalJobSpec(objective, waitingJobs, wallMillis)
                    .ifPresent(typicalSpec -> reserveFor(objective, typicalSpec, wallMillis));
        }
        return reserved;
    }

    private Optional<JobSpec> typicalJobSpec(
            ClusterSettings.Objective objective, List<Job> waitingJobs, double wallMillis) {
        double bootSeconds = survey.shortestBootSeconds();
        boolean startsSoonerThanBoot =
                objective.kind().equals("wait")
                        && objective.withinSeconds() < bootSeconds
                        && waitingJobs.stream()
                                .noneMatch(job -> job.spec.jobClass().equals(objective.jobClass()));
        if (!startsSoonerThanBoot && !objective.kind().equals("deadline")) {
            return Optional.empty();
        }
        return Optional.ofNullable(
                shard.recentArrivals()
                        .typicalSpec(
                                objective.jobClass(),
                                objective.targetShare(),
                                wallMillis,
                                bootSeconds));
    }

    private void reserveFor(
            ClusterSettings.Objective objective, JobSpec typicalSpec, double wallMillis) {
        int missingTasks = concurrentTasks(objective, typicalSpec, wallMillis);
        List<FreeCapacity> capacities = survey.capacitiesFor(typicalSpec);
        ZoneConstraints zones = ZoneConstraints.of(typicalSpec);
        rentals.chooseZone(zones, typicalSpec, missingTasks, capacities);
        capacities.removeIf(
                capacity ->
                        !ProbePlacement.isAllowed(capacity.kind, typicalSpec)
                                || !zones.allows(capacity.kind.zone()));
        // Allocates on the fullest machines first.
        capacities.sort(
                Comparator.comparingDouble(
                        capacity -> capacity.afterBoot.cpus() - capacity.type.cpus()));
        for (FreeCapacity capacity : capacities) {
            String zone = capacity.kind.zone();
            int fittingTasks =
                    capacity.allocate(
                            typicalSpec, Math.min(missingTasks, zones.remainingTasks(zone)), false);
            zones.addTasks(zone, fittingTasks);
            missingTasks -= fittingTasks;
            if (fittingTasks > 0) {
                capacity.machine.ifPresent(reserved::add);
            }
        }
        rentals.addMachinesFor(typicalSpec, missingTasks, zones, kind -> true);
    }

    /** Returns how many tasks of such jobs need a slot at the same time. */
    private int concurrentTasks(
            ClusterSettings.Objective objective, JobSpec typicalSpec, double wallMillis) {
        if (typicalSpec.shape() != JobSpec.Shape.ARRAY || typicalSpec.deadlineSeconds() == null) {
            return typicalSpec.taskCount();
        }
        double tasksPerSlot =
                Math.max(
                        1,
                        typicalSpec.deadlineSeconds()
                                / 2
                                / Math.max(1, typicalSpec.estimatedSeconds()));
        // The number of jobs that are submitted within a boot time varies by about its square root.
        double jobsPerBoot =
                survey.shortestBootSeconds()
                        * shard.recentArrivals().jobsPerSecond(objective.jobClass(), wallMillis);
        return (int)
                Math.ceil(
                        Math.sqrt(Math.max(1, jobsPerBoot))
                                * typicalSpec.taskCount()
                                / tasksPerSlot);
    }
}
