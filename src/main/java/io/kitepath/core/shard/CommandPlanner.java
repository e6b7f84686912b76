package io.kitepath.core.shard;

import io.kitepath.core.model.WorkerCommand;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What agents are told to start and stop. Only here an attempt is launched: after it is written,
 * and only in the answer to a heartbeat, so that a later heartbeat that does not show it proves
 * that it never started.
 */
final class CommandPlanner {
    private static final Logger LOG = LoggerFactory.getLogger(CommandPlanner.class);

    /** Commands in one answer; keeps it far below the 64 KiB limit. */
    static final int MAX_COMMANDS = 300;

    /** Half of what an agent waits for an answer. */
    private static final double MAX_HOLD_SECONDS = 2;

    /** Heartbeat intervals after which a silent machine is sent no direct commands. */
    private static final int MAX_SILENT_INTERVALS = 2;

    /** An answer is held back for a placement for that part of a heartbeat interval. */
    private static final int PLACEMENTS_PER_INTERVAL = 10;

    private final ShardState shard;
    private long launchCount;
    private double launchDelaySeconds;

    CommandPlanner(ShardState shard) {
        this.shard = shard;
    }

    /** Attempts that were launched. */
    long launchCount() {
        return launchCount;
    }

    /** Seconds that passed between their placement and their launch, added up. */
    double launchDelaySeconds() {
        return launchDelaySeconds;
    }

    /**
     * What the machine's agent shall start and stop, to be sent only as the answer to its latest
     * heartbeat.
     */
    List<WorkerCommand> commands(Machine machine, boolean mayStart, double now) {
        List<WorkerCommand> commands = new ArrayList<>();
        if (!machine.isTokenConfirmed()) {
            return commands;
        }
        for (Attempt attempt : machine.attempts()) {
            if (commands.size() >= MAX_COMMANDS) {
                break;
            }
            if (mustStop(attempt)) {
                commands.add(stopCommand(attempt));
            } else if (mayStart && !machine.isReleasing() && isLaunchDue(attempt)) {
                // Not on a machine that is being given back: one that was silent may be heard again
                // just then.
                commands.add(launch(attempt, now));
            }
        }
        return commands;
    }

    private WorkerCommand launch(Attempt attempt, double now) {
        if (!attempt.mayBeLaunched) {
            launchCount++;
            launchDelaySeconds += now - attempt.placedAt;
        }
        attempt.mayBeLaunched = true;
        attempt.isStartSent = true;
        attempt.startAnsweredSequence = attempt.machine.heartbeats().lastSequence();
        LOG.debug(
                "attempt launched: attempt={} fencingToken={} incarnation={} answeredSequence={}",
                attempt,
                shard.fencingToken(),
                attempt.machine.agentIncarnation(),
                attempt.startAnsweredSequence);
        return new WorkerCommand(
                WorkerCommand.Action.START, attempt.job.spec.id(), attempt.task, attempt.number, 0);
    }

    /**
     * What is to stop at once, by machine, and was not sent directly yet: a busy machine sends a
     * heartbeat only once in an interval, and the work that the room is for waits as long. The next
     * answer to its heartbeat repeats it in any case.
     */
    Map<Machine, List<WorkerCommand>> directStops(int maxMachines, double now) {
        Map<Machine, List<WorkerCommand>> stops = new LinkedHashMap<>();
        for (Job job : shard.jobs().values()) {
            if (!job.isFinished && job.stoppingAttemptCount == 0) {
                continue;
            }
            for (Attempt attempt : job.liveAttempts.values()) {
                Machine machine = attempt.machine;
                if (mustStop(attempt)
                        && !attempt.isStopSent
                        && isReachableDirectly(machine, now)
                        && (stops.size() < maxMachines || stops.containsKey(machine))) {
                    attempt.isStopSent = true;
                    stops.computeIfAbsent(machine, key -> new ArrayList<>())
                            .add(stopCommand(attempt));
                }
            }
        }
        return stops;
    }

    private boolean isReachableDirectly(Machine machine, double now) {
        return machine.isTokenConfirmed()
                && !machine.isCommandInFlight()
                && !machine.isReleasing()
                && !machine.address().isEmpty()
                && now - machine.lastHeartbeatAt()
                        < MAX_SILENT_INTERVALS
                                * shard.settings().workers().heartbeatIntervalSeconds();
    }

    private static WorkerCommand stopCommand(Attempt attempt) {
        return new WorkerCommand(
                WorkerCommand.Action.STOP,
                attempt.job.spec.id(),
                attempt.task,
                attempt.number,
                attempt.job.isFinished ? 0 : attempt.stopGraceSeconds);
    }

    /** Whether something is to be started or stopped on the machine. */
    boolean hasCommands(Machine machine) {
        return machine.attempts().stream()
                .anyMatch(attempt -> mustStop(attempt) || isLaunchDue(attempt));
    }

    private static boolean mustStop(Attempt attempt) {
        return attempt.isUnwanted() && attempt.isSeen;
    }

    private static boolean isLaunchDue(Attempt attempt) {
        return !attempt.isUnwanted() && attempt.isDurable && !attempt.isSeen && isComplete(attempt);
    }

    /**
     * A gang is launched only when every one of its tasks has a machine, and that is written down.
     */
    private static boolean isComplete(Attempt attempt) {
        Job job = attempt.job;
        if (!job.spec.isGang()) {
            return true;
        }
        return job.liveAttempts.size() == job.spec.taskCount()
                && job.liveAttempts.values().stream()
                        .allMatch(other -> other.isDurable && other.number == attempt.number);
    }

    /**
     * For how many seconds the answer to the machine's heartbeat is worth holding back for work
     * that may come: on an idle machine, which has nothing to report meanwhile, until its next
     * heartbeat is due; on one where something just ended while other work waits, for the moment
     * that placing and writing takes.
     */
    double answerHoldSeconds(Machine machine) {
        if (!machine.isSchedulable()) {
            return 0;
        }
        double intervalSeconds = shard.settings().workers().heartbeatIntervalSeconds();
        if (!machine.isBusy()) {
            return Math.min(intervalSeconds, MAX_HOLD_SECONDS);
        }
        return machine.heartbeats().hasLastReportEndedTask() && shard.hasBacklog()
                ? intervalSeconds / PLACEMENTS_PER_INTERVAL
                : 0;
    }
}
