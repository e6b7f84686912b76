package io.kitepath.core.scaling;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.scheduling.Scheduler;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.Machine;
import io.kitepath.core.shard.ShardState;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Plans how many machines of which kinds to rent for the waiting jobs, and which machines to
 * release. See docs/design.md, "The fleet". Not thread-safe: used on the event loop only.
 */
public final class ScalingPlanner {
    /** The order of the waiting jobs may be as old as the heartbeat interval divided by this. */
    private static final double JOB_ORDER_AGE_DIVISOR = 8;

    /**
     * A scaling plan.
     *
     * @param countsToRent number of machines to rent by kind, in the order in which they are needed
     * @param machinesToRelease ids of the machines to release
     */
    public record Plan(Map<MachineKind, Integer> countsToRent, List<String> machinesToRelease) {}

    private final ClusterSettings settings;
    private final ShardState shard;
    private final Scheduler scheduler;
    private final InstanceSelection instanceSelection;
    private final MachineLiveness machineLiveness;
    private final ScaleIn scaleIn;

    /**
     * @param scheduler provides the order in which the waiting jobs are scheduled
     */
    public ScalingPlanner(ShardState shard, Scheduler scheduler) {
        this.settings = shard.settings();
        this.shard = shard;
        this.scheduler = scheduler;
        this.instanceSelection = new InstanceSelection(shard);
        this.machineLiveness = new MachineLiveness(shard);
        this.scaleIn = new ScaleIn(shard, instanceSelection, machineLiveness);
    }

    /**
     * Records that the cloud refused some or all requested machines of this kind; starts a back-off
     * for the kind.
     */
    public void recordRefusal(MachineKind kind, double now) {
        instanceSelection.recordRefusal(kind, now);
    }

    /** Records that the cloud granted all requested machines of this kind. */
    public void recordGrant(MachineKind kind) {
        instanceSelection.recordGrant(kind);
    }

    /**
     * Makes a plan, and marks the machines that are to be released or drained.
     *
     * @param now seconds on the steady clock
     * @param wallMillis milliseconds since 1970
     * @param leadingSinceSeconds when this node became leader, in seconds on the steady clock;
     *     machines' silence is counted from then at the earliest
     */
    public Plan plan(double now, double wallMillis, double leadingSinceSeconds) {
        machineLiveness.setLeadingSince(leadingSinceSeconds);
        instanceSelection.countMachines();
        CapacitySurvey survey = new CapacitySurvey(shard, machineLiveness, now);
        RentalPlan rentals = new RentalPlan(shard, instanceSelection, now);
        ScaleOutPlanner scaleOutPlanner =
                new ScaleOutPlanner(shard, instanceSelection, survey, rentals, now, wallMillis);
        double maxOrderAgeSeconds =
                settings.workers().heartbeatIntervalSeconds() / JOB_ORDER_AGE_DIVISOR;
        List<Job> waitingJobs = scheduler.orderedJobs(now, wallMillis, maxOrderAgeSeconds);
        waitingJobs.forEach(scaleOutPlanner::planForJob);
        Set<Machine> reserved =
                survey.isIdle()
                        ? Set.of()
                        : new ObjectiveReserve(shard, survey, rentals)
                                .reserve(waitingJobs, wallMillis);
        // Guaranteed CPUs must be available without a boot time, so the sum of all guarantees stays
        // rented.
        double guaranteedCpus = survey.guaranteedCpus();
        rentals.addMachinesForCpus(guaranteedCpus - survey.usableCpus());
        List<String> idsToRelease =
                scaleIn.machinesToRelease(
                        now,
                        reserved,
                        new RegularMachineDemand(shard, machineLiveness, waitingJobs, now),
                        survey.usableCpus() - guaranteedCpus);
        scaleIn.moveTasksToSpot(now, wallMillis);
        return new Plan(rentals.countsToRent(), idsToRelease);
    }
}
