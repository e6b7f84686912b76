package io.kitepath.core.scaling;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.scheduling.ProbePlacement;
import io.kitepath.core.scheduling.ZoneConstraints;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.ShardState;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Packs waiting jobs onto the capacity that will be free by the time a new machine could be up, and
 * rents machines for the tasks that do not fit.
 */
final class ScaleOutPlanner {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleOutPlanner.class);

    /** Worker leases within which an array should finish if its class has no objective. */
    private static final double DEFAULT_FINISH_LEASES = 10;

    /** An array is planned to finish within its objective's time divided by this. */
    private static final double FINISH_TIME_DIVISOR = 2.5;

    private final ClusterSettings settings;
    private final ShardState shard;
    private final InstanceSelection instanceSelection;
    private final CapacitySurvey survey;
    private final RentalPlan rentals;
    private final double now;
    private final double wallMillis;

    /** Capacity that is still free; includes machines rented for earlier jobs of the plan. */
    private final List<FreeCapacity> capacities;

    ScaleOutPlanner(
            ShardState shard,
            InstanceSelection instanceSelection,
            CapacitySurvey survey,
            RentalPlan rentals,
            double now,
            double wallMillis) {
        this.settings = shard.settings();
        this.shard = shard;
        this.instanceSelection = instanceSelection;
        this.survey = survey;
        this.rentals = rentals;
        this.now = now;
        this.wallMillis = wallMillis;
        this.capacities = survey.capacitiesAfterBoot();
    }

    /** Plans capacity for the job's waiting tasks, in addition to the jobs planned before. */
    void planForJob(Job job) {
        if (shard.failureDiagnosis().isJobAtFault(job, now)) {
            return; // A job that fails everywhere is retried only on free capacity.
        }
        int tasks = tasksToPlace(job);
        if (tasks == 0) {
            LOG.debug(
                    "no capacity planned: job={} waitingTasks={} remainingQuotaTasks={}",
                    job.spec.id(),
                    job.waitingTasks(),
                    shard.quotaUsage().remainingTasks(job.spec));
            return;
        }
        JobSpec spec = job.spec;
        ZoneConstraints zones = ZoneConstraints.of(job);
        rentals.chooseZone(zones, spec, tasks, capacities);
        int missingTasks = tasks - fillCapacities(job, tasks, zones);
        List<FreeCapacity> rentedCapacities =
                rentals.addMachinesFor(
                        spec,
                        missingTasks,
                        zones,
                        kind -> !spec.allowsSpot() || kind.spot() || !meetsStartGoalOnSpot(job));
        capacities.addAll(rentedCapacities);
        LOG.debug(
                "capacity planned: job={} waitingTasks={} slotsRequired={} withoutFreeCapacity={}"
                        + " machinesToRent={}",
                spec.id(),
                job.waitingTasks(),
                tasks,
                missingTasks,
                rentedCapacities.size());
    }

    /** Returns how many of the job's waiting tasks need their own slot. */
    private int tasksToPlace(Job job) {
        JobSpec spec = job.spec;
        int waitingTasks = Math.min(job.waitingTasks(), shard.quotaUsage().remainingTasks(spec));
        if (spec.isGang()) {
            return waitingTasks == spec.taskCount() ? waitingTasks : 0;
        }
        return spec.shape() == JobSpec.Shape.ARRAY ? arraySlots(job, waitingTasks) : waitingTasks;
    }

    /**
     * Returns the number of additional slots for an array: not one per task, but as many as are
     * needed to finish the job in time if each slot runs tasks one after the other.
     */
    private int arraySlots(Job job, int waitingTasks) {
        double finishSeconds =
                job.hasDeadline()
                        ? (job.dueMillis() - wallMillis) / 1000
                        : settings.shortestFinishObjectiveSeconds(
                                        job.spec.jobClass(),
                                        DEFAULT_FINISH_LEASES * settings.workers().leaseSeconds())
                                / FINISH_TIME_DIVISOR;
        double taskSeconds = Math.max(1, job.spec.estimatedSeconds());
        int unfinishedTasks = job.waitingTasks() + job.liveAttempts().size();
        double totalSlots =
                Math.ceil(unfinishedTasks * taskSeconds / Math.max(taskSeconds, finishSeconds));
        return (int) Math.max(0, Math.min(waitingTasks, totalSlots - job.liveAttempts().size()));
    }

    /** Allocates the job's tasks to the remaining free capacity; returns how many fit. */
    private int fillCapacities(Job job, int tasks, ZoneConstraints zones) {
        JobSpec spec = job.spec;
        // Guards against tasks that could run on spot machines occupying regular ones permanently,
        // at several times the price: the tasks may use free capacity of regular machines, but spot
        // machines are rented for them as if they could not.
        boolean spotOnly = spec.allowsSpot() && instanceSelection.isSpotAvailable(spec, now);
        // Capacity that becomes free within a boot time is as good as a new machine, except for a
        // job that has to start sooner to meet its deadline: such a job needs capacity that is free
        // now, or more of it.
        boolean mustFitImmediately = job.hasDeadline();
        int missingTasks = tasks;
        for (FreeCapacity capacity : capacities) {
            if (missingTasks == 0) {
                break;
            }
            String zone = capacity.kind.zone();
            int zoneLimit = zones.remainingTasks(zone);
            if (zoneLimit > 0
                    && capacity.hasCpusFor(spec, mustFitImmediately)
                    && ProbePlacement.isAllowed(capacity.kind, spec)
                    && (capacity.kind.spot() || !spotOnly)) {
                int fittingTasks =
                        capacity.allocate(
                                spec, Math.min(missingTasks, zoneLimit), mustFitImmediately);
                zones.addTasks(zone, fittingTasks);
                missingTasks -= fittingTasks;
            }
        }
        return tasks - missingTasks;
    }

    /**
     * Whether the job meets its start goal even if it only starts after the backlog of jobs that
     * may use spot machines. Guards against renting regular machines at several times the price
     * because spot machines are temporarily unavailable.
     */
    private boolean meetsStartGoalOnSpot(Job job) {
        int goalIndex = job.startGoalCount() - 1;
        if (job.hasDeadline()) {
            // By the time a new machine is up, the deadline would long be missed by this job and by
            // similar ones submitted meanwhile. The first start goal that is still ahead counts.
            goalIndex = 0;
            while (goalIndex < job.startGoalCount() - 1
                    && job.startGoalMillis(goalIndex) < wallMillis) {
                goalIndex++;
            }
        }
        return survey.spotBacklogSeconds() < (job.startGoalMillis(goalIndex) - wallMillis) / 1000;
    }
}
