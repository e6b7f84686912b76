package io.kitepath.core.shard;

import io.kitepath.core.model.WorkerCommand;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Plans the start and stop commands for agents. An attempt is launched only here: after it is
 * committed, and only in the response to a heartbeat, so that a later heartbeat that does not list
 * the attempt proves that it never started.
 */
final class CommandPlanner {
    private static final Logger LOG = LoggerFactory.getLogger(CommandPlanner.class);

    /** Maximum number of commands in one response; keeps it far below the limit of 64 KiB. */
    static final int MAX_COMMANDS = 300;

    /**
     * Maximum time for which a response is held back, in seconds: half of the agent's response
     * timeout.
     */
    private static final double MAX_HOLD_SECONDS = 2;

    /**
     * Number of heartbeat intervals without a heartbeat after which no direct commands are sent to
     * a machine.
     */
    private static final int MAX_SILENT_INTERVALS = 2;

    /**
     * Divisor of the heartbeat interval: a response is held back for a placement for a tenth of the
     * interval.
     */
    private static final int HOLDS_PER_HEARTBEAT_INTERVAL = 10;

    private final ShardState shard;
    private long launchCount;
    private double launchDelaySeconds;

    CommandPlanner(ShardState shard) {
        this.shard = shard;
    }

    /** Number of attempts launched. */
    long launchCount() {
        return launchCount;
    }

    /** Total time between placement and launch of the launched attempts, in seconds. */
    double launchDelaySeconds() {
        return launchDelaySeconds;
    }

    /**
     * Returns the commands for the machine's agent, to be sent only as the response to its latest
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
                // A machine that is being released starts nothing: one that was silent may resume
                // its heartbeats at that moment.
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
     * Returns, by machine, the stop commands that are due and have not been sent directly yet.
     * Without direct commands, the work that waits for the freed capacity would wait for up to one
     * heartbeat interval, because a busy machine sends only one heartbeat in an interval. The next
     * response to the machine's heartbeat repeats the commands in any case.
     */
    Map<Machine, List<WorkerCommand>> directStopCommands(int maxMachines, double now) {
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

    /** Whether an attempt on the machine is due to be started or stopped. */
    boolean hasCommands(Machine machine) {
        return machine.attempts().stream()
                .anyMatch(attempt -> mustStop(attempt) || isLaunchDue(attempt));
    }

    private static boolean mustStop(Attempt attempt) {
        return attempt.isUnwanted() && attempt.isSeen;
    }

    private static boolean isLaunchDue(Attempt attempt) {
        return !attempt.isUnwanted()
                && attempt.isDurable
                && !attempt.isSeen
                && isCompletelyPlaced(attempt);
    }

    /**
     * Whether the attempt may be launched: a gang is launched only when each of its tasks is placed
     * and each placement is committed.
     */
    private static boolean isCompletelyPlaced(Attempt attempt) {
        Job job = attempt.job;
        if (!job.spec.isGang()) {
            return true;
        }
        return job.liveAttempts.size() == job.spec.taskCount()
                && job.liveAttempts.values().stream()
                        .allMatch(other -> other.isDurable && other.number == attempt.number);
    }

    /**
     * Returns for how many seconds to hold back the response to the machine's heartbeat so that it
     * can carry commands for new work. On an idle machine, which has nothing to report in the
     * meantime, that is until its next heartbeat is due; on a machine where a task has just ended
     * while other work waits, it is the time that placing and committing takes.
     */
    double responseHoldSeconds(Machine machine) {
        if (!machine.isSchedulable()) {
            return 0;
        }
        double intervalSeconds = shard.settings().workers().heartbeatIntervalSeconds();
        if (!machine.isBusy()) {
            return Math.min(intervalSeconds, MAX_HOLD_SECONDS);
        }
        return machine.heartbeats().hasLastHeartbeatEndedAttempt() && shard.hasBacklog()
                ? intervalSeconds / HOLDS_PER_HEARTBEAT_INTERVAL
                : 0;
    }
}
