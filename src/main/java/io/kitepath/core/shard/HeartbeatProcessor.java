package io.kitepath.core.shard;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.Heartbeat.EndCause;
import io.kitepath.core.model.Heartbeat.TaskState;
import io.kitepath.core.model.Heartbeat.TaskStatus;
import io.kitepath.core.model.WorkerCommand;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies agents' heartbeats to the {@link ShardState} and determines the commands in the
 * responses. Only here an attempt is confirmed ended by a heartbeat; the start and stop commands
 * are planned by {@link CommandPlanner}. Not thread-safe; belongs to the shard's thread. Times are
 * seconds on the steady clock.
 */
public final class HeartbeatProcessor {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatProcessor.class);

    /**
     * Number of consecutive heartbeats that do not list a task, although the preceding responses
     * commanded its start, after which its launch is abandoned.
     */
    private static final int MAX_MISSED_HEARTBEATS = 3;

    private final ShardState shard;
    private final CommandPlanner commandPlanner;

    /** Creates a processor that updates the given state. */
    public HeartbeatProcessor(ShardState shard) {
        this.shard = shard;
        this.commandPlanner = new CommandPlanner(shard);
    }

    /** Number of attempts launched. */
    public long launchCount() {
        return commandPlanner.launchCount();
    }

    /** Total time between placement and launch of the launched attempts, in seconds. */
    public double launchDelaySeconds() {
        return commandPlanner.launchDelaySeconds();
    }

    // ---- heartbeats ---------------------------------------------------------------------------

    /**
     * Processes a heartbeat. Returns the commands for tasks that do not belong on the machine, or
     * no longer do; {@link #commands} returns the rest of the response.
     *
     * @param isLoaded false until the jobs are loaded
     * @param mayRun for a job's id, whether any of its tasks may be on machines; known even before
     *     the jobs are loaded
     */
    public List<WorkerCommand> process(
            Heartbeat heartbeat, boolean isLoaded, Predicate<String> mayRun, double now) {
        if (shard.isKnownGone(heartbeat.machineId())) {
            return List.of();
        }
        Machine machine = shard.getOrAddMachine(heartbeat.machineId(), now);
        if (!machine.isNewer(heartbeat)) {
            return List.of(); // Out of order: a newer heartbeat was processed already.
        }
        boolean isFirstHeartbeat = !machine.hasReported();
        boolean carriesOurToken = isLoaded && heartbeat.fencingToken() == shard.fencingToken();
        machine.recordHeartbeat(
                heartbeat, carriesOurToken, now, shard.settings().workers().leaseSeconds());
        if (isFirstHeartbeat) {
            machine.setIdleSince(now);
            if (machine.rental().isBootStartKnown()) {
                shard.bootTimes().recordBoot(machine, now);
            }
        }
        // Guards against a heartbeat that was sent before the agent received this leader's token:
        // an earlier leader's launch may still have been on its way to the agent. Only a heartbeat
        // that carries this leader's token proves what is not on the machine.
        return carriesOurToken
                ? processFull(machine, heartbeat, now)
                : stopCommandsForFinishedJobs(heartbeat, mayRun);
    }

    private List<WorkerCommand> processFull(Machine machine, Heartbeat heartbeat, double now) {
        boolean wasSchedulable = machine.isSchedulable();
        if (!machine.isTokenConfirmed()) {
            LOG.debug(
                    "fencing token confirmed: machine={} incarnation={} tasks={}",
                    machine.id,
                    heartbeat.agentIncarnation(),
                    heartbeat.tasks().size());
        }
        machine.heartbeats().confirmToken();
        List<WorkerCommand> commands = reconcile(machine, heartbeat, now);
        if (wasSchedulable != machine.isSchedulable()) {
            shard.requestScheduling();
        }
        return commands;
    }

    /**
     * Whether the heartbeat is newer than all that were processed for its machine, so that the
     * agent may wait for the response.
     */
    public boolean isNewer(Heartbeat heartbeat) {
        Machine machine = shard.machines().get(heartbeat.machineId());
        return machine == null || machine.isNewer(heartbeat);
    }

    /**
     * Records a heartbeat that this leader may not answer: it only shows that the machine is alive.
     * Guards against a leader that releases all its machines as silent after an outage of the
     * store, during which it answered none of them.
     */
    public void recordUnanswered(Heartbeat heartbeat, double now) {
        Machine machine = shard.machines().get(heartbeat.machineId());
        if (machine != null && machine.isNewer(heartbeat)) {
            machine.heartbeats().recordUnanswered(now);
        }
    }

    /**
     * Processes an agent's response to direct commands. It proves which attempts ended, but not
     * which are absent: a launch in the response to a heartbeat may still be on its way to the
     * agent.
     */
    public void processCommandResponse(Machine machine, Heartbeat heartbeat, double now) {
        if (machine.isGone()
                || !machine.isTokenConfirmed()
                || heartbeat.agentIncarnation() != machine.agentIncarnation()
                || heartbeat.sequence() <= machine.heartbeats().lastSequence()
                || heartbeat.fencingToken() != shard.fencingToken()) {
            return;
        }
        machine.heartbeats().advanceSequence(heartbeat.sequence());
        for (TaskStatus status : heartbeat.tasks()) {
            Attempt attempt = findAttempt(machine, status);
            if (attempt != null) {
                applyStatus(attempt, status, now);
            }
        }
    }

    /**
     * Returns the attempt that the status refers to if it is placed on that machine; null
     * otherwise.
     */
    private Attempt findAttempt(Machine machine, TaskStatus status) {
        Job job = shard.jobs().get(status.jobId());
        Attempt attempt = job == null ? null : job.liveAttempts.get(status.task());
        boolean isCurrentAttempt =
                attempt != null && attempt.machine == machine && attempt.number == status.attempt();
        return isCurrentAttempt ? attempt : null;
    }

    // ---- reconciliation of reported tasks with placed attempts --------------------------------

    private List<WorkerCommand> reconcile(Machine machine, Heartbeat heartbeat, double now) {
        List<TaskStatus> unexpectedTasks = new ArrayList<>();
        int attemptCountBefore = machine.attempts().size();
        int heartbeatNumber = machine.heartbeats().beginFullHeartbeat();
        for (TaskStatus status : heartbeat.tasks()) {
            Attempt attempt = findAttempt(machine, status);
            if (attempt != null) {
                attempt.lastFullHeartbeatNumber = heartbeatNumber;
                applyStatus(attempt, status, now);
            } else if (machine.placedWork().uncommittedEnds().stream()
                    .noneMatch(ended -> ended.matches(status))) {
                unexpectedTasks.add(status);
            }
        }
        for (Attempt attempt : new ArrayList<>(machine.attempts())) {
            if (attempt.lastFullHeartbeatNumber != heartbeatNumber && !attempt.isEnded) {
                applyAbsence(attempt, now);
            }
        }
        machine.heartbeats()
                .setLastHeartbeatEndedAttempt(attemptCountBefore > machine.attempts().size());
        return handleUnexpectedTasks(machine, unexpectedTasks, now);
    }

    private void applyStatus(Attempt attempt, TaskStatus status, double now) {
        Machine machine = attempt.machine;
        if (!attempt.isSeen) {
            attempt.isSeen = true;
            machine.placedWork().confirmStart();
            machine.heartbeats().recordDeliveredStart();
        }
        attempt.mayBeLaunched = true;
        if (status.state() != attempt.state) {
            attempt.state = status.state();
            machine.invalidateFetchingImages();
            if (status.state() == TaskState.WAITING_FOR_GANG) {
                shard.recordImageUse(attempt);
            } else if (status.state() == TaskState.RUNNING) {
                recordRunning(attempt, now);
            }
        }
        if (status.state() == TaskState.ENDED) {
            shard.endAttempt(attempt, status.cause(), now);
        }
    }

    private void recordRunning(Attempt attempt, double now) {
        attempt.runningSince = now;
        attempt.job.timeline.recordStart(now);
        if (attempt.placedVersion > 0) { // Placed by this leader, so the placement time is known.
            shard.startLatencies().recordStart(attempt.job.spec.jobClass(), now - attempt.placedAt);
        }
        LOG.debug(
                "attempt running: attempt={} secondsSincePlacement={}",
                attempt,
                Math.round(now - attempt.placedAt));
        shard.recordImageUse(attempt);
    }

    /** Handles an attempt that is not listed in a heartbeat newer than any launch of it. */
    private void applyAbsence(Attempt attempt, double now) {
        if (attempt.isSeen) {
            LOG.info("attempt lost with agent incarnation: attempt={}", attempt);
            shard.loseAttempt(attempt, now);
        } else if (attempt.isDurable && (attempt.isUnwanted() || attempt.machine.isReleasing())) {
            shard.endAttempt(attempt, EndCause.STOPPED, now);
        } else if (attempt.mayBeLaunched && attempt.job.spec.isGang() && hasBegun(attempt.job)) {
            // A gang that ran without this task has lost it; starting the task again would not
            // restore the gang.
            shard.endAttempt(attempt, EndCause.GANG_PEER_LOST, now);
        }
        // Otherwise the start was never executed, and the response to this heartbeat launches the
        // attempt again.
        boolean wasStartSent = attempt.isStartSent;
        attempt.isStartSent = false;
        if (!attempt.isEnded
                && wasStartSent
                && ++attempt.missedHeartbeats >= MAX_MISSED_HEARTBEATS) {
            abandonLaunch(attempt, now);
        }
        if (attempt.isEnded) {
            LOG.debug(
                    "attempt ended, not in newer heartbeat: attempt={} fencingToken={}"
                            + " incarnation={} sequence={} wasSeen={} startAnsweredSequence={}",
                    attempt,
                    shard.fencingToken(),
                    attempt.machine.agentIncarnation(),
                    attempt.machine.heartbeats().lastSequence(),
                    attempt.isSeen,
                    attempt.startAnsweredSequence);
        }
    }

    private static boolean hasBegun(Job job) {
        return job.liveAttempts.values().stream()
                .anyMatch(
                        attempt ->
                                attempt.state == TaskState.RUNNING
                                        || attempt.state == TaskState.SAVING_CHECKPOINT);
    }

    /**
     * Abandons the launch: nothing sent before this heartbeat can start the attempt any more.
     * Guards against tasks that stay placed permanently on a machine whose heartbeats arrive but
     * which no response reaches. Only responses that contain the start command count, so that a
     * machine that was sent no commands, as in an outage, is not mistaken for one that receives no
     * responses.
     */
    private void abandonLaunch(Attempt attempt, double now) {
        Machine machine = attempt.machine;
        LOG.warn("machine does not execute start commands: machine={}", machine.id);
        machine.heartbeats().markMissingResponses(now);
        shard.endAttempt(attempt, EndCause.STOPPED, now);
    }

    /** Handles tasks of the agent that this leader has not placed there. */
    private List<WorkerCommand> handleUnexpectedTasks(
            Machine machine, List<TaskStatus> unexpectedTasks, double now) {
        List<WorkerCommand> commands = new ArrayList<>();
        int unknownTaskCount = 0;
        for (TaskStatus status : unexpectedTasks) {
            Job job = shard.jobs().get(status.jobId());
            if (status.state() == TaskState.ENDED) {
                commands.add(commandFor(WorkerCommand.Action.FORGET, status));
            } else if (job != null && mayBeAttemptOf(job, status)) {
                // Inconsistent state: the attempt is counted and committed before it is stopped, so
                // that the task cannot run elsewhere.
                shard.addUnexpectedAttempt(
                        job, status.task(), status.attempt(), status.state(), machine, now);
            } else {
                unknownTaskCount++;
                commands.add(commandFor(WorkerCommand.Action.STOP, status));
            }
        }
        machine.placedWork().setUnknownTasks(unknownTaskCount);
        return commands;
    }

    private static boolean mayBeAttemptOf(Job job, TaskStatus status) {
        return status.task() >= 0
                && status.task() < job.spec.taskCount()
                && !job.liveAttempts.containsKey(status.task())
                && !job.isDone(status.task())
                && job.isPlaceable(status.task());
    }

    /**
     * Returns stop commands for the tasks of finished jobs, which must end regardless of the state
     * of the machine. Guards against a response that renews the lease of a cancelled job's task
     * because the machine has not confirmed this leader's token yet.
     */
    private static List<WorkerCommand> stopCommandsForFinishedJobs(
            Heartbeat heartbeat, Predicate<String> mayRun) {
        return heartbeat.tasks().stream()
                .filter(status -> status.state() != TaskState.ENDED && !mayRun.test(status.jobId()))
                .limit(CommandPlanner.MAX_COMMANDS)
                .map(status -> commandFor(WorkerCommand.Action.STOP, status))
                .toList();
    }

    private static WorkerCommand commandFor(WorkerCommand.Action action, TaskStatus status) {
        return new WorkerCommand(action, status.jobId(), status.task(), status.attempt(), 0);
    }

    // ---- commands for agents ------------------------------------------------------------------

    /**
     * Returns the commands for the machine's agent, to be sent only as the response to its latest
     * heartbeat.
     */
    public List<WorkerCommand> commands(String machineId, boolean mayStart, double now) {
        Machine machine = shard.machines().get(machineId);
        return machine == null
                ? new ArrayList<>()
                : commandPlanner.commands(machine, mayStart, now);
    }

    /**
     * Returns, by machine, the stop commands that are due and have not been sent directly yet; the
     * next response to the machine's heartbeat repeats them in any case.
     */
    public Map<Machine, List<WorkerCommand>> directStopCommands(int maxMachines, double now) {
        return commandPlanner.directStopCommands(maxMachines, now);
    }

    /** Whether an attempt on the machine is due to be started or stopped. */
    public boolean hasCommands(String machineId) {
        Machine machine = shard.machines().get(machineId);
        return machine != null && commandPlanner.hasCommands(machine);
    }

    /**
     * Returns for how many seconds to hold back the response to the machine's heartbeat so that it
     * can carry commands for new work; 0 if it is to be sent at once.
     */
    public double responseHoldSeconds(String machineId) {
        Machine machine = shard.machines().get(machineId);
        return machine == null ? 0 : commandPlanner.responseHoldSeconds(machine);
    }
}
