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
 * Plans how many machines of which kinds to rent for the waiting work, and which to release. See
 * docs/design.md, "The fleet". Not thread-safe: used on the event loop only.
 */
public final class ScalingPlanner {
    /** How old the order of the waiting jobs may be, in parts of a report interval. */
    private static final double ORDER_AGE_DIVISOR = 8;

    /**
     * What to do about the machines.
     *
     * @param countsToRent machines to rent by kind, those wanted soonest first
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
     * @param scheduler says in which order the waiting jobs are served
     */
    public ScalingPlanner(ShardState shard, Scheduler scheduler) {
        this.settings = shard.settings();
        this.shard = shard;
        this.scheduler = scheduler;
        this.instanceSelection = new InstanceSelection(shard);
        this.machineLiveness = new MachineLiveness(shard);
        this.scaleIn = new ScaleIn(shard, instanceSelection, machineLiveness);
    }

    /** The cloud refused machines of this kind, all or some: it is left alone for a while. */
    public void recordRefusal(MachineKind kind, double now) {
        instanceSelection.recordRefusal(kind, now);
    }

    /** The cloud granted all machines of this kind that were asked for. */
    public void recordGrant(MachineKind kind) {
        instanceSelection.recordGrant(kind);
    }

    /**
     * Makes a plan, and marks the machines that are to be released or drained.
     *
     * @param now seconds on the steady clock
     * @param wallMillis milliseconds since 1970
     * @param leadingSince since when this node leads, on the steady clock: machines' silence is
     *     counted from then at the earliest
     */
    public Plan plan(double now, double wallMillis, double leadingSince) {
        machineLiveness.countSilenceSince(leadingSince);
        instanceSelection.countMachines();
        CapacitySurvey survey = new CapacitySurvey(shard, machineLiveness, now);
        RentalPlan rentals = new RentalPlan(shard, instanceSelection, now);
        ScaleOutPlanner demand =
                new ScaleOutPlanner(shard, instanceSelection, survey, rentals, now, wallMillis);
        double maxOrderAge = settings.workers().heartbeatIntervalSeconds() / ORDER_AGE_DIVISOR;
        List<Job> queue = scheduler.orderedJobs(now, wallMillis, maxOrderAge);
        queue.forEach(demand::planForJob);
        Set<Machine> reserved =
                survey.isIdle()
                        ? Set.of()
                        : new ObjectiveReserve(shard, survey, rentals).reserve(queue, wallMillis);
        // What teams are guaranteed must not wait for a boot: all guarantees together stay rented.
        double guaranteedCpus = survey.guaranteedCpus();
        rentals.addMachinesUpTo(guaranteedCpus - survey.usableCpus());
        List<String> released =
                scaleIn.machinesToRelease(
                        now,
                        reserved,
                        new RegularMachineDemand(shard, machineLiveness, queue, now),
                        survey.usableCpus() - guaranteedCpus);
        scaleIn.moveTasksToSpot(now, wallMillis);
        return new Plan(rentals.countsToRent(), released);
    }
}
