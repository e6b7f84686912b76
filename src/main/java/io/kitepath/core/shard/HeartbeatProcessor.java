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
 * Takes agents' heartbeats into the {@link ShardState} and says what to answer. Only here an
 * attempt is proven over by a heartbeat; what agents are told to start and stop is worked out in
 * {@link CommandPlanner}. Not thread-safe; belongs to the shard's thread. Times are seconds on the
 * steady clock.
 */
public final class HeartbeatProcessor {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatProcessor.class);

    /** Reports in a row that don't show a task which the answers before them launched. */
    private static final int MAX_MISSED_REPORTS = 3;

    private final ShardState shard;
    private final CommandPlanner commandPlanner;

    /** Creates a processor that keeps that state up to date. */
    public HeartbeatProcessor(ShardState shard) {
        this.shard = shard;
        this.commandPlanner = new CommandPlanner(shard);
    }

    /** How many attempts were launched. */
    public long launchCount() {
        return commandPlanner.launchCount();
    }

    /** Seconds that passed between their placement and their launch, added up. */
    public double launchDelaySeconds() {
        return commandPlanner.launchDelaySeconds();
    }

    // ---- heartbeats ---------------------------------------------------------------------------

    /**
     * Takes in a heartbeat. Returns what to do about tasks that are not ours, or no longer; {@link
     * #commands} has the rest of the answer.
     *
     * @param isLoaded false until the jobs are known
     * @param mayRun for a job's id, whether something of it may be on machines; known even before
     *     the jobs are
     */
    public List<WorkerCommand> process(
            Heartbeat heartbeat, boolean isLoaded, Predicate<String> mayRun, double now) {
        if (shard.isKnownGone(heartbeat.machineId())) {
            return List.of();
        }
        Machine machine = shard.getOrAddMachine(heartbeat.machineId(), now);
        if (!machine.isNewer(heartbeat)) {
            return List.of(); // Late: a newer one has been read already.
        }
        boolean isFirst = !machine.hasReported();
        boolean carriesOurToken = isLoaded && heartbeat.fencingToken() == shard.fencingToken();
        machine.recordHeartbeat(
                heartbeat, carriesOurToken, now, shard.settings().workers().leaseSeconds());
        if (isFirst) {
            machine.setIdleSince(now);
            if (machine.rental().isBootStartKnown()) {
                shard.bootTimes().recordBoot(machine, now);
            }
        }
        // Guards against a heartbeat that was sent before the agent knew us: an earlier leader's
        // launch might still have been on its way to it then. Only one that carries our token
        // proves what is not on the machine.
        return carriesOurToken
                ? readInFull(machine, heartbeat, now)
                : stopsOfFinishedJobs(heartbeat, mayRun);
    }

    private List<WorkerCommand> readInFull(Machine machine, Heartbeat heartbeat, double now) {
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
     * Whether the heartbeat is newer than all that was read of its machine, so that the agent may
     * wait for its answer.
     */
    public boolean isNewer(Heartbeat heartbeat) {
        Machine machine = shard.machines().get(heartbeat.machineId());
        return machine == null || machine.isNewer(heartbeat);
    }

    /**
     * Takes in a heartbeat that this leader may not answer: the machine is there, and that is all
     * that is taken from it. Guards against a leader that gives back all its machines as silent,
     * once the store is back, since it answered nobody.
     */
    public void recordUnanswered(Heartbeat heartbeat, double now) {
        Machine machine = shard.machines().get(heartbeat.machineId());
        if (machine != null && machine.isNewer(heartbeat)) {
            machine.heartbeats().recordUnanswered(now);
        }
    }

    /**
     * Takes in an agent's report in answer to direct commands. It proves what ended, but not what
     * is absent: a launch in the answer to a heartbeat may still be on its way to the agent.
     */
    public void processCommandAnswer(Machine machine, Heartbeat heartbeat, double now) {
        if (machine.isGone()
                || !machine.isTokenConfirmed()
                || heartbeat.agentIncarnation() != machine.agentIncarnation()
                || heartbeat.sequence() <= machine.heartbeats().lastSequence()
                || heartbeat.fencingToken() != shard.fencingToken()) {
            return;
        }
        machine.heartbeats().advanceSequence(heartbeat.sequence());
        for (TaskStatus status : heartbeat.tasks()) {
            Attempt attempt = attemptOn(machine, status);
            if (attempt != null) {
                applyStatus(attempt, status, now);
            }
        }
    }

    /** The attempt that the status is of, if it is placed on that machine; null otherwise. */
    private Attempt attemptOn(Machine machine, TaskStatus status) {
        Job job = shard.jobs().get(status.jobId());
        Attempt attempt = job == null ? null : job.liveAttempts.get(status.task());
        boolean isSame =
                attempt != null && attempt.machine == machine && attempt.number == status.attempt();
        return isSame ? attempt : null;
    }

    // ---- reconciling what is on the machine with what was placed there ------------------------

    private List<WorkerCommand> reconcile(Machine machine, Heartbeat heartbeat, double now) {
        List<TaskStatus> unexpected = new ArrayList<>();
        int attemptsBefore = machine.attempts().size();
        int reading = machine.heartbeats().beginFullReport();
        for (TaskStatus status : heartbeat.tasks()) {
            Attempt attempt = attemptOn(machine, status);
            if (attempt != null) {
                attempt.lastFullHeartbeatNumber = reading;
                applyStatus(attempt, status, now);
            } else if (machine.placedWork().unwrittenEnds().stream()
                    .noneMatch(ended -> ended.matches(status))) {
                unexpected.add(status);
            }
        }
        for (Attempt attempt : new ArrayList<>(machine.attempts())) {
            if (attempt.lastFullHeartbeatNumber != reading && !attempt.isEnded) {
                applyAbsence(attempt, now);
            }
        }
        machine.heartbeats().setLastReportEndedTask(attemptsBefore > machine.attempts().size());
        return handleUnexpectedTasks(machine, unexpected, now);
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
        if (attempt.placedVersion > 0) { // Placed by this leader, which knows when.
            shard.startLatencies().recordStart(attempt.job.spec.jobClass(), now - attempt.placedAt);
        }
        LOG.debug(
                "attempt runs: attempt={} secondsSincePlacement={}",
                attempt,
                Math.round(now - attempt.placedAt));
        shard.recordImageUse(attempt);
    }

    /** A report newer than any launch of this attempt does not show it. */
    private void applyAbsence(Attempt attempt, double now) {
        if (attempt.isSeen) {
            LOG.info("attempt lost with its agent's incarnation: attempt={}", attempt);
            shard.loseAttempt(attempt, now);
        } else if (attempt.isDurable && (attempt.isUnwanted() || attempt.machine.isReleasing())) {
            shard.endAttempt(attempt, EndCause.STOPPED, now);
        } else if (attempt.mayBeLaunched && attempt.job.spec.isGang() && hasBegun(attempt.job)) {
            // A gang that ran without this task has lost it; starting it again would not bring the
            // others back.
            shard.endAttempt(attempt, EndCause.GANG_PEER_LOST, now);
        }
        // Otherwise it was never executed, and this very answer launches it (again).
        boolean wasOrdered = attempt.isStartSent;
        attempt.isStartSent = false;
        if (!attempt.isEnded && wasOrdered && ++attempt.missedHeartbeats >= MAX_MISSED_REPORTS) {
            giveUpLaunch(attempt, now);
        }
        if (attempt.isEnded) {
            LOG.debug(
                    "attempt over, as a newer report does not show it: attempt={} fencingToken={}"
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
     * Nothing sent before this report can start the attempt any more. Guards against tasks that
     * stay placed for good on a machine whose reports arrive, but which no answer reaches. Only
     * answers with the command in them count, so that a machine that was told nothing, as in an
     * outage, does not pass for one that receives nothing.
     */
    private void giveUpLaunch(Attempt attempt, double now) {
        Machine machine = attempt.machine;
        LOG.warn("machine {} reports and does not start what it is told to", machine.id);
        machine.heartbeats().markMissingAnswers(now);
        shard.endAttempt(attempt, EndCause.STOPPED, now);
    }

    /** The agent has tasks that we have not placed there. */
    private List<WorkerCommand> handleUnexpectedTasks(
            Machine machine, List<TaskStatus> unexpected, double now) {
        List<WorkerCommand> commands = new ArrayList<>();
        int unknownTasks = 0;
        for (TaskStatus status : unexpected) {
            Job job = shard.jobs().get(status.jobId());
            if (status.state() == TaskState.ENDED) {
                commands.add(command(WorkerCommand.Action.FORGET, status));
            } else if (job != null && mayBeAttemptOf(job, status)) {
                // Should not be: counted in and written down before it is stopped, so the task
                // can't run elsewhere.
                shard.addUnexpectedAttempt(
                        job, status.task(), status.attempt(), status.state(), machine, now);
            } else {
                unknownTasks++;
                commands.add(command(WorkerCommand.Action.STOP, status));
            }
        }
        machine.placedWork().setUnknownTasks(unknownTasks);
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
     * Of jobs that are over nothing has to go on, whatever else is known. Guards against an answer
     * that keeps the lease of a cancelled job's task because the machine has not shown our token
     * yet.
     */
    private static List<WorkerCommand> stopsOfFinishedJobs(
            Heartbeat heartbeat, Predicate<String> mayRun) {
        return heartbeat.tasks().stream()
                .filter(status -> status.state() != TaskState.ENDED && !mayRun.test(status.jobId()))
                .limit(CommandPlanner.MAX_COMMANDS)
                .map(status -> command(WorkerCommand.Action.STOP, status))
                .toList();
    }

    private static WorkerCommand command(WorkerCommand.Action action, TaskStatus status) {
        return new WorkerCommand(action, status.jobId(), status.task(), status.attempt(), 0);
    }

    // ---- what agents are told -----------------------------------------------------------------

    /**
     * What the machine's agent shall start and stop, to be sent only as the answer to its latest
     * heartbeat.
     */
    public List<WorkerCommand> commands(String machineId, boolean mayStart, double now) {
        Machine machine = shard.machines().get(machineId);
        return machine == null
                ? new ArrayList<>()
                : commandPlanner.commands(machine, mayStart, now);
    }

    /**
     * What is to stop at once, by machine, and was not sent directly yet; the next answer to the
     * machine's heartbeat repeats it in any case.
     */
    public Map<Machine, List<WorkerCommand>> stopCommands(int maxMachines, double now) {
        return commandPlanner.directStops(maxMachines, now);
    }

    /** Whether something is to be started or stopped on the machine. */
    public boolean hasCommands(String machineId) {
        Machine machine = shard.machines().get(machineId);
        return machine != null && commandPlanner.hasCommands(machine);
    }

    /**
     * For how many seconds the answer to the machine's heartbeat is worth holding back for work
     * that may come; 0 if it is to be sent at once.
     */
    public double answerHoldSeconds(String machineId) {
        Machine machine = shard.machines().get(machineId);
        return machine == null ? 0 : commandPlanner.answerHoldSeconds(machine);
    }
}
