package io.kitepath.core.scheduling;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.Machine;
import io.kitepath.core.shard.ShardState;
import java.util.List;
import java.util.Optional;

/** Places the waiting tasks of one job on machines with free capacity. */
final class JobPlacer {
    /**
     * The result of placing a job.
     *
     * @param placedTasks number of placed tasks
     * @param waitingForImage whether machines were left out only because others have the image
     * @param recordsFull whether tasks were left out because they do not fit into their stored
     *     records now
     */
    record Result(int placedTasks, boolean waitingForImage, boolean recordsFull) {
        static final Result NONE = new Result(0, false, false);
    }

    private final ShardState shard;
    private final ProbePlacement placement;
    private final GangPlacement gangPlacement;
    private final CandidateMachines candidateMachines;

    JobPlacer(ShardState shard, ProbePlacement placement, CandidateMachines candidateMachines) {
        this.shard = shard;
        this.placement = placement;
        this.gangPlacement = new GangPlacement(placement);
        this.candidateMachines = candidateMachines;
    }

    /**
     * Places the gang as a whole, or at most {@code limit} tasks of any other job.
     *
     * @param mayWaitForImage whether machines without the image may be left out because enough
     *     others have it
     */
    Result place(
            Job job, List<Machine> openMachines, boolean mayWaitForImage, int limit, double now) {
        return job.spec.isGang()
                ? placeGang(job, openMachines, mayWaitForImage, now)
                : placeTasks(job, openMachines, mayWaitForImage, limit, now);
    }

    /** Places at most {@code limit} tasks of a job that is not a gang. */
    Result placeTasks(
            Job job, List<Machine> openMachines, boolean mayWaitForImage, int limit, double now) {
        JobSpec spec = job.spec;
        // Finding the machines that have the image is expensive, and useless if no machine has free
        // capacity.
        if (openMachines.stream()
                .noneMatch(
                        machine ->
                                placement.isAllowed(machine, spec)
                                        && placement.hasCapacity(machine, spec))) {
            return Result.NONE;
        }
        int tasks = taskLimit(job, now, limit);
        List<Machine> candidates = candidateMachines.forPlacing(job, openMachines, now);
        MachineSearch search = placement.newSearch(spec, candidates, mayWaitForImage);
        ZoneConstraints zones = ZoneConstraints.of(job);
        if (spec.isSingleZone() && !zones.isDecided()) {
            Optional<String> zone =
                    gangPlacement.chooseZone(spec, Math.min(tasks, job.waitingTasks()), candidates);
            search = search.restrictedTo(machine -> machine.zone().equals(zone.orElse(null)));
        }
        return placeOnFoundMachines(job, search, zones, tasks, now);
    }

    private Result placeOnFoundMachines(
            Job job, MachineSearch initialSearch, ZoneConstraints zones, int limit, double now) {
        MachineSearch search = initialSearch;
        int placedTasks = 0;
        boolean waitingForImage = false;
        boolean recordsFull = false;
        for (int task = job.nextWaitingTask(0);
                task >= 0 && placedTasks < limit;
                task = job.nextWaitingTask(task + 1)) {
            if (!shard.fitsRecord(job, task)) {
                recordsFull = true;
                if (job.spec.shape() == JobSpec.Shape.SERVICE) {
                    shard.requestMigration(job); // A service's tasks do not end by themselves.
                    break;
                }
                // The record of the next part may have free space; the record of this part has some
                // again once some of its tasks end.
                task = job.lastTaskOfPart(task);
                continue;
            }
            Optional<Machine> found = search.nextMachine();
            if (found.isEmpty()) {
                waitingForImage = search.isWaitingForImage();
                break;
            }
            Machine machine = found.get();
            shard.place(job, task, machine, now);
            placedTasks++;
            zones.addTasks(machine.zone(), 1);
            if (zones.remainingTasks(machine.zone()) == 0) {
                search = search.restrictedTo(other -> !other.zone().equals(machine.zone()));
            }
        }
        if (placedTasks > 0) {
            shard.advanceAttemptNumber(job);
        }
        return new Result(placedTasks, waitingForImage, recordsFull);
    }

    /**
     * Returns how many tasks the team's quota allows; a job that fails everywhere gets one task at
     * a time.
     */
    private int taskLimit(Job job, double now, int limit) {
        int tasks = Math.min(limit, shard.quotaUsage().remainingTasks(job.spec));
        if (shard.failureDiagnosis().isJobAtFault(job, now)) {
            return Math.min(tasks, job.liveAttempts().isEmpty() ? 1 : 0);
        }
        return tasks;
    }

    private Result placeGang(
            Job job, List<Machine> openMachines, boolean mayWaitForImage, double now) {
        // The gang restarts only after every task of its old attempt is confirmed ended.
        if (!job.liveAttempts().isEmpty()) {
            shard.restartGangOnceImagesFetched(job);
            return Result.NONE;
        }
        if (shard.quotaUsage().remainingTasks(job.spec) < job.spec.taskCount()) {
            return Result.NONE;
        }
        if (!shard.fitsRecord(job)) {
            shard.requestMigration(job);
            return new Result(0, false, true);
        }
        GangPlacement.Choice choice =
                gangPlacement.chooseMachinesForGang(
                        job.spec,
                        candidateMachines.forPlacing(job, openMachines, now),
                        mayWaitForImage);
        if (!choice.isFound()) {
            return new Result(0, choice.waitingForImage(), false);
        }
        List<Machine> machines = choice.machines();
        for (int task = 0; task < machines.size(); task++) {
            shard.place(job, task, machines.get(task), now);
        }
        shard.advanceAttemptNumber(job);
        return new Result(machines.size(), false, false);
    }
}
