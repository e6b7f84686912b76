package io.kitepath.core.scheduling;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.Machine;
import io.kitepath.core.shard.ShardState;
import java.util.List;
import java.util.Optional;

/** Places the waiting tasks of one job on machines that have room for them. */
final class JobPlacer {
    /**
     * What came of an attempt to place a job.
     *
     * @param placed tasks that got a machine
     * @param waitingForImage whether machines were left out only because others have the image
     * @param recordsFull whether tasks were left out because they don't fit their records now
     */
    record Result(int placed, boolean waitingForImage, boolean recordsFull) {
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
     * Places the gang as a whole, or at most {@code limit} tasks of another job.
     *
     * @param mayWaitForImage whether machines may be left out since enough others have the image
     */
    Result place(Job job, List<Machine> open, boolean mayWaitForImage, int limit, double now) {
        return job.spec.isGang()
                ? placeGang(job, open, mayWaitForImage, now)
                : placeTasks(job, open, mayWaitForImage, limit, now);
    }

    /** Places at most {@code limit} tasks of a job that is no gang. */
    Result placeTasks(Job job, List<Machine> open, boolean mayWaitForImage, int limit, double now) {
        JobSpec spec = job.spec;
        // Where images are takes long to find out, and says nothing if no machine has room.
        if (open.stream()
                .noneMatch(
                        machine ->
                                placement.isAllowed(machine, spec)
                                        && placement.hasRoom(machine, spec))) {
            return Result.NONE;
        }
        int tasks = taskLimit(job, now, limit);
        List<Machine> candidates = candidateMachines.forPlacing(job, open, now);
        MachineSearch search = placement.newSearch(spec, candidates, mayWaitForImage);
        ZoneConstraints zones = ZoneConstraints.of(job);
        if (spec.isSingleZone() && !zones.isDecided()) {
            Optional<String> zone =
                    gangPlacement.chooseZone(spec, Math.min(tasks, job.waitingTasks()), candidates);
            search = search.restrictedTo(machine -> machine.zone().equals(zone.orElse(null)));
        }
        return placeFound(job, search, zones, tasks, now);
    }

    private Result placeFound(
            Job job, MachineSearch firstSearch, ZoneConstraints zones, int limit, double now) {
        MachineSearch search = firstSearch;
        int placed = 0;
        boolean waitingForImage = false;
        boolean recordsFull = false;
        for (int task = job.nextWaitingTask(0);
                task >= 0 && placed < limit;
                task = job.nextWaitingTask(task + 1)) {
            if (!shard.fitsRecord(job, task)) {
                recordsFull = true;
                if (job.spec.shape() == JobSpec.Shape.SERVICE) {
                    shard.requestMigration(job); // Nothing of it ends by itself.
                    break;
                }
                // The next part may have room on record; this one has when some of it ends.
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
            placed++;
            zones.addTasks(machine.zone(), 1);
            if (zones.remainingTasks(machine.zone()) == 0) {
                search = search.restrictedTo(other -> !other.zone().equals(machine.zone()));
            }
        }
        if (placed > 0) {
            shard.advanceAttemptNumber(job);
        }
        return new Result(placed, waitingForImage, recordsFull);
    }

    /** How many tasks the team's quota allows; one at a time of a job that fails everywhere. */
    private int taskLimit(Job job, double now, int limit) {
        int tasks = Math.min(limit, shard.quotaUsage().remainingTasks(job.spec));
        if (shard.failureDiagnosis().isJobAtFault(job, now)) {
            return Math.min(tasks, job.liveAttempts().isEmpty() ? 1 : 0);
        }
        return tasks;
    }

    private Result placeGang(Job job, List<Machine> open, boolean mayWaitForImage, double now) {
        // Until every task of the old attempt is proven over, the gang can't start anew.
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
                gangPlacement.chooseGang(
                        job.spec, candidateMachines.forPlacing(job, open, now), mayWaitForImage);
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
