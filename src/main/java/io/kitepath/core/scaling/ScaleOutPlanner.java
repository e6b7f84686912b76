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
 * Packs waiting jobs onto the room that will be free by the time a new machine could be up, and
 * rents machines for what does not fit.
 */
final class ScaleOutPlanner {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleOutPlanner.class);

    /** Leases in which an array whose class has no objective should be done. */
    private static final double DEFAULT_FINISH_LEASES = 10;

    /** An array is planned to be done in its objective's time divided by this. */
    private static final double FINISH_TIME_DIVISOR = 2.5;

    private final ClusterSettings settings;
    private final ShardState shard;
    private final InstanceSelection instanceSelection;
    private final CapacitySurvey survey;
    private final RentalPlan rentals;
    private final double now;
    private final double wallMillis;

    /** The room that is left; what is rented for a job has room for those after it. */
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

    /** Plans capacity for the job's waiting tasks, after those planned for before it. */
    void planForJob(Job job) {
        if (shard.failureDiagnosis().isJobAtFault(job, now)) {
            return; // A job that fails everywhere is tried on what is free anyway.
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
        int missing = tasks - fillCapacities(job, tasks, zones);
        List<FreeCapacity> rented =
                rentals.addMachinesFor(
                        spec,
                        missing,
                        zones,
                        kind -> !spec.allowsSpot() || kind.spot() || !mayFinishOnSpot(job));
        capacities.addAll(rented);
        LOG.debug(
                "capacity planned: job={} waitingTasks={} slotsWanted={} withoutRoom={}"
                        + " machinesToRent={}",
                spec.id(),
                job.waitingTasks(),
                tasks,
                missing,
                rented.size());
    }

    /** How many of the job's waiting tasks need a slot of their own. */
    private int tasksToPlace(Job job) {
        JobSpec spec = job.spec;
        int waiting = Math.min(job.waitingTasks(), shard.quotaUsage().remainingTasks(spec));
        if (spec.isGang()) {
            return waiting == spec.taskCount() ? waiting : 0;
        }
        return spec.shape() == JobSpec.Shape.ARRAY ? arraySlots(job, waiting) : waiting;
    }

    /**
     * Slots for an array: not one for every task, but as many as finish the job in good time, one
     * task after the other.
     */
    private int arraySlots(Job job, int waiting) {
        double finishSeconds =
                job.hasDeadline()
                        ? (job.dueMillis() - wallMillis) / 1000
                        : settings.shortestFinishObjectiveSeconds(
                                        job.spec.jobClass(),
                                        DEFAULT_FINISH_LEASES * settings.workers().leaseSeconds())
                                / FINISH_TIME_DIVISOR;
        double taskSeconds = Math.max(1, job.spec.estimatedSeconds());
        int unfinished = job.waitingTasks() + job.liveAttempts().size();
        double slots = Math.ceil(unfinished * taskSeconds / Math.max(taskSeconds, finishSeconds));
        return (int) Math.max(0, Math.min(waiting, slots - job.liveAttempts().size()));
    }

    /** Fills the room that is left with the job's tasks; returns how many found room. */
    private int fillCapacities(Job job, int tasks, ZoneConstraints zones) {
        JobSpec spec = job.spec;
        // Guards against work that could run on spot machines filling regular ones for good, at
        // several times the price: it may use what is free there, but spot machines are rented for
        // it as if it could not.
        boolean spotOnly = spec.allowsSpot() && instanceSelection.isSpotAvailable(spec, now);
        // Room that comes free within a boot time is as good as a new machine, but not for a job
        // that has to start sooner to meet its deadline: such work needs the room that is free now,
        // or more of it.
        boolean atOnce = job.hasDeadline();
        int missing = tasks;
        for (FreeCapacity capacity : capacities) {
            if (missing == 0) {
                break;
            }
            String zone = capacity.kind.zone();
            int zoneLimit = zones.remainingTasks(zone);
            if (zoneLimit > 0
                    && capacity.hasCpusFor(spec, atOnce)
                    && ProbePlacement.isAllowed(capacity.kind, spec)
                    && (capacity.kind.spot() || !spotOnly)) {
                int fitting = capacity.allocate(spec, Math.min(missing, zoneLimit), atOnce);
                zones.addTasks(zone, fitting);
                missing -= fitting;
            }
        }
        return tasks - missing;
    }

    /**
     * Whether the job will be done in time even if it only gets its turn on what is rented. Guards
     * against regular machines rented at several times the price because spot machines have run out
     * for the moment.
     */
    private boolean mayFinishOnSpot(Job job) {
        int goal = job.startGoalCount() - 1;
        if (job.hasDeadline()) {
            // A deadline is missed long before a machine is up, by this job and by those like it
            // that come meanwhile.
            goal = 0;
            while (goal < job.startGoalCount() - 1 && job.startGoalMillis(goal) < wallMillis) {
                goal++;
            }
        }
        return survey.spotBacklogSeconds() < (job.startGoalMillis(goal) - wallMillis) / 1000;
    }
}
