package io.kitepath.core.shard;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.Heartbeat.EndCause;
import io.kitepath.core.model.Heartbeat.TaskState;
import io.kitepath.core.model.Heartbeat.TaskStatus;
import io.kitepath.core.model.WorkerCommand;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What workers report, taken into the block, and what they are told. Only here an attempt is proven
 * over by a report, and only {@link #commands} launches: what is written and not launched before,
 * in the answer to a check-in.
 */
public final class HeartbeatProcessor {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatProcessor.class);

    /** Commands in one answer; keeps it far below the 64 KiB limit. */
    private static final int MAX_COMMANDS = 300;

    /** Half of what a worker waits for an answer. */
    private static final double MAX_HOLD_SECONDS = 2;

    /** Reports in a row that don't show a task which the answers before them launched. */
    private static final int MAX_MISSED_REPORTS = 3;

    private final ShardState shard;
    private long launchCount;
    private double launchDelaySeconds;

    public HeartbeatProcessor(ShardState shard) {
        this.shard = shard;
    }

    /**
     * Launch orders given, and the seconds that passed between their placing and their order, added
     * up.
     */
    public long launchCount() {
        return launchCount;
    }

    public double launchDelaySeconds() {
        return launchDelaySeconds;
    }

    /**
     * Takes in a report; {@code loaded} is false until the jobs are known, {@code mayRun} says of
     * which something may be on machines even before. Answers what to do about tasks that are not
     * ours, or no longer; {@link #commands} has the rest.
     */
    public List<WorkerCommand> process(
            Heartbeat heartbeat, boolean loaded, Predicate<String> mayRun, double now) {
        if (shard.isKnownGone(heartbeat.machineId())) {
            return List.of();
        }
        Machine machine = shard.getOrAddMachine(heartbeat.machineId(), now);
        if (!heartbeat.isNewerThan(machine.agentIncarnation, machine.lastSequence)) {
            return List.of(); // Late: a newer report has been read already.
        }
        machine.recordHeartbeat(
                heartbeat.agentIncarnation(),
                loaded && heartbeat.fencingToken() == shard.fencingToken(),
                now,
                shard.settings().workers().leaseSeconds());
        machine.agentIncarnation = heartbeat.agentIncarnation();
        machine.lastSequence = heartbeat.sequence();
        machine.type = heartbeat.machineType();
        machine.zone = heartbeat.zone();
        machine.isSpot = heartbeat.spot();
        machine.address = heartbeat.address();
        if (!machine.hasReported()) {
            machine.idleSince = now;
            if (machine.isBootStartKnown) {
                shard.bootTimes().recordBoot(machine, now);
            }
        }
        machine.lastHeartbeatAt = now;
        if (heartbeat.noticeSeconds() != null) {
            if (Double.isNaN(machine.interruptionAt)) {
                LOG.info("machine {} will be taken in {} s", machine.id, heartbeat.noticeSeconds());
            }
            machine.interruptionAt = now + heartbeat.noticeSeconds();
        } else {
            machine.interruptionAt = Double.NaN;
        }
        // Guards against a report that was sent before the worker knew us: an earlier holder's
        // launch might still have been on its way to it then. Only a report that carries our token
        // proves what is not on the machine.
        if (!loaded || heartbeat.fencingToken() != shard.fencingToken()) {
            return stopCommands(heartbeat, mayRun);
        }
        boolean open = machine.isSchedulable();
        if (!machine.isTokenConfirmed) {
            LOG.debug(
                    "machine {} reports with our token, session {}, {} tasks",
                    machine.id,
                    heartbeat.agentIncarnation(),
                    heartbeat.tasks().size());
        }
        machine.isTokenConfirmed = true;
        List<WorkerCommand> orders = reconcile(machine, heartbeat, now);
        if (open != machine.isSchedulable()) {
            shard.requestScheduling();
        }
        return orders;
    }

    /**
     * Whether it is newer than all that was read of its machine, so that the worker may wait for
     * what it is answered.
     */
    public boolean isNewer(Heartbeat heartbeat) {
        Machine machine = shard.machines().get(heartbeat.machineId());
        return machine == null
                || heartbeat.isNewerThan(machine.agentIncarnation, machine.lastSequence);
    }

    /**
     * A report that this holder may not answer: the machine is there, and that is all that is taken
     * from it. Guards against a holder that gives back its whole fleet as silent, once the store is
     * back, since it answered nobody.
     */
    public void recordUnanswered(Heartbeat heartbeat, double now) {
        Machine machine = shard.machines().get(heartbeat.machineId());
        if (machine != null
                && heartbeat.isNewerThan(machine.agentIncarnation, machine.lastSequence)) {
            machine.recordUnansweredHeartbeat(now);
        }
    }

    /**
     * Of jobs that are over nothing has to go on, whatever else is known. Guards against an answer
     * that keeps the lease of a cancelled job's task because the machine has not shown our token
     * yet.
     */
    private static List<WorkerCommand> stopCommands(Heartbeat heartbeat, Predicate<String> mayRun) {
        return heartbeat.tasks().stream()
                .filter(status -> status.state() != TaskState.ENDED && !mayRun.test(status.jobId()))
                .limit(MAX_COMMANDS)
                .map(
                        status ->
                                new WorkerCommand(
                                        WorkerCommand.Action.STOP,
                                        status.jobId(),
                                        status.task(),
                                        status.attempt(),
                                        0))
                .toList();
    }

    private List<WorkerCommand> reconcile(Machine machine, Heartbeat heartbeat, double now) {
        List<WorkerCommand> orders = new ArrayList<>();
        List<TaskStatus> strays = new ArrayList<>();
        int before = machine.attempts.size();
        int reading = ++machine.fullReportsRead;
        for (TaskStatus status : heartbeat.tasks()) {
            Job job = shard.jobs().get(status.jobId());
            Attempt a = job == null ? null : job.liveAttempts.get(status.task());
            if (a != null && a.machine == machine && a.number == status.attempt()) {
                a.lastSeenReading = reading;
                applyStatus(a, status, now);
            } else if (machine.unwrittenEnds.stream().noneMatch(u -> u.matches(status))) {
                strays.add(status);
            }
        }
        for (Attempt a : new ArrayList<>(machine.attempts)) {
            if (a.lastSeenReading != reading && !a.isEnded) {
                applyAbsence(a, now);
            }
        }
        machine.didLastReportEndTask = before > machine.attempts.size();
        machine.unknownTasks = 0;
        for (TaskStatus status : strays) {
            handleUnexpectedTask(machine, status, orders, now);
        }
        return orders;
    }

    private void applyStatus(Attempt attempt, TaskStatus status, double now) {
        if (!attempt.isSeen) {
            attempt.isSeen = true;
            attempt.machine.unconfirmedStarts--;
            attempt.machine.recordDeliveredStart();
        }
        attempt.mayBeLaunched = true;
        if (status.state() != attempt.state) {
            attempt.state = status.state();
            attempt.machine.invalidateFetchingImages();
            if (status.state() == TaskState.WAITING_FOR_GANG) {
                shard.recordImageUse(attempt);
            } else if (status.state() == TaskState.RUNNING) {
                attempt.runningSince = now;
                attempt.job.startTimes.add(now);
                if (attempt.placedVersion > 0) {
                    shard.startLatencies()
                            .recordStart(attempt.job.spec.jobClass(), now - attempt.placedAt);
                }
                LOG.debug(
                        "attempt {} runs, {} s after it was placed",
                        attempt,
                        Math.round(now - attempt.placedAt));
                shard.recordImageUse(attempt);
            }
        }
        if (status.state() == TaskState.ENDED) {
            shard.endAttempt(attempt, status.cause(), now);
        }
    }

    /** A report newer than any launch of this attempt does not show it. */
    private void applyAbsence(Attempt a, double now) {
        if (a.isSeen) {
            LOG.info("attempt {} lost with its session", a);
            shard.loseAttempt(a, now);
        } else if (a.isDurable && (a.isUnwanted() || a.machine.isReleasing)) {
            shard.endAttempt(a, EndCause.STOPPED, now);
        } else if (a.mayBeLaunched
                && a.job.spec.isGang()
                && a.job.liveAttempts.values().stream()
                        .anyMatch(
                                x ->
                                        x.state == TaskState.RUNNING
                                                || x.state == TaskState.SAVING_CHECKPOINT)) {
            // A gang that ran without this task has lost it; starting it again would not bring the
            // others back.
            shard.endAttempt(a, EndCause.GANG_PEER_LOST, now);
        }
        // Otherwise it was never executed, and this very answer launches it (again).
        boolean ordered = a.isStartSent;
        a.isStartSent = false;
        if (!a.isEnded && ordered && ++a.missedReports >= MAX_MISSED_REPORTS) {
            // Nothing sent before this report can start it any more. Guards against tasks that stay
            // placed for good on a machine whose reports arrive, but which no answer reaches. Only
            // answers with the order in them count, so that a machine that was told nothing, as in
            // an outage, does not pass for one that hears nothing.
            LOG.warn("machine {} reports and does not start what it is told to", a.machine.id);
            a.machine.markMissingAnswers(now);
            shard.endAttempt(a, EndCause.STOPPED, now);
        }
    }

    /** The worker has a task that we have not placed there. */
    private void handleUnexpectedTask(
            Machine machine, TaskStatus status, List<WorkerCommand> orders, double now) {
        if (status.state() == TaskState.ENDED) {
            orders.add(
                    new WorkerCommand(
                            WorkerCommand.Action.FORGET,
                            status.jobId(),
                            status.task(),
                            status.attempt(),
                            0));
            return;
        }
        Job job = shard.jobs().get(status.jobId());
        if (job != null
                && status.task() >= 0
                && status.task() < job.spec.taskCount()
                && !job.liveAttempts.containsKey(status.task())
                && !job.isDone(status.task())
                && job.isPlaceable(status.task())) {
            // Should not be: counted in and written down before it is stopped, so the task can't
            // run elsewhere.
            shard.addUnexpectedAttempt(
                    job, status.task(), status.attempt(), status.state(), machine, now);
            return;
        }
        machine.unknownTasks++;
        orders.add(
                new WorkerCommand(
                        WorkerCommand.Action.STOP,
                        status.jobId(),
                        status.task(),
                        status.attempt(),
                        0));
    }

    /**
     * What the machine's worker shall start and stop, to be sent only as the answer to its latest
     * report.
     */
    public List<WorkerCommand> commands(String machine, boolean mayStart, double now) {
        Machine m = shard.machines().get(machine);
        List<WorkerCommand> orders = new ArrayList<>();
        if (m == null || !m.isTokenConfirmed) {
            return orders;
        }
        for (Attempt attempt : m.attempts) {
            if (orders.size() >= MAX_COMMANDS) {
                break;
            }
            if (mustStop(attempt)) {
                orders.add(stopCommand(attempt));
            } else if (mayStart && !m.isReleasing && mayStart(attempt)) {
                // Not on a machine that goes: one that was silent may be heard again just when it
                // is given back.
                if (!attempt.mayBeLaunched) {
                    launchCount++;
                    launchDelaySeconds += now - attempt.placedAt;
                }
                attempt.mayBeLaunched = true;
                attempt.isStartSent = true;
                orders.add(
                        new WorkerCommand(
                                WorkerCommand.Action.START,
                                attempt.job.spec.id(),
                                attempt.task,
                                attempt.number,
                                0));
            }
        }
        return orders;
    }

    /**
     * What is to stop at once, by machine, and was not told so yet: a busy machine asks only once
     * in a report interval, and whoever the room is for waits as long. The next answer to its
     * report says it again in any case. {@code most}: machines at once.
     */
    public Map<Machine, List<WorkerCommand>> stopCommands(int most, double now) {
        Map<Machine, List<WorkerCommand>> out = new LinkedHashMap<>();
        for (Job job : shard.jobs().values()) {
            if (!job.isFinished && job.stoppingAttemptCount == 0) {
                continue;
            }
            for (Attempt attempt : job.liveAttempts.values()) {
                Machine machine = attempt.machine;
                if (mustStop(attempt)
                        && !attempt.isStopSent
                        && machine.isTokenConfirmed
                        && !machine.setCommandInFlight
                        && !machine.isReleasing
                        && !machine.address.isEmpty()
                        && now - machine.lastHeartbeatAt
                                < 2 * shard.settings().workers().heartbeatIntervalSeconds()
                        && (out.size() < most || out.containsKey(machine))) {
                    attempt.isStopSent = true;
                    out.computeIfAbsent(machine, k -> new ArrayList<>()).add(stopCommand(attempt));
                }
            }
        }
        return out;
    }

    private static WorkerCommand stopCommand(Attempt attempt) {
        return new WorkerCommand(
                WorkerCommand.Action.STOP,
                attempt.job.spec.id(),
                attempt.task,
                attempt.number,
                attempt.job.isFinished ? 0 : attempt.stopGraceSeconds);
    }

    /**
     * A worker's report in answer to direct commands. It proves what ended, but not what is absent:
     * a launch in the answer to a check-in may still be on its way to the worker.
     */
    public void processCommandAnswer(Machine machine, Heartbeat heartbeat, double now) {
        if (machine.isGone
                || !machine.isTokenConfirmed
                || heartbeat.agentIncarnation() != machine.agentIncarnation
                || heartbeat.sequence() <= machine.lastSequence
                || heartbeat.fencingToken() != shard.fencingToken()) {
            return;
        }
        machine.lastSequence = heartbeat.sequence();
        for (TaskStatus status : heartbeat.tasks()) {
            Job job = shard.jobs().get(status.jobId());
            Attempt attempt = job == null ? null : job.liveAttempts.get(status.task());
            if (attempt != null
                    && attempt.machine == machine
                    && attempt.number == status.attempt()) {
                applyStatus(attempt, status, now);
            }
        }
    }

    /** Whether something is to be started or stopped on the machine. */
    public boolean hasCommands(String machine) {
        Machine m = shard.machines().get(machine);
        return m != null
                && m.attempts.stream().anyMatch(attempt -> mustStop(attempt) || mayStart(attempt));
    }

    private static boolean mustStop(Attempt attempt) {
        return attempt.isUnwanted() && attempt.isSeen;
    }

    private static boolean mayStart(Attempt attempt) {
        return !attempt.isUnwanted()
                && attempt.isDurable
                && !attempt.isSeen
                && isStartable(attempt);
    }

    /**
     * A gang is launched only when every one of its tasks has a machine, and that is written down.
     */
    private static boolean isStartable(Attempt a) {
        if (!a.job.spec.isGang()) {
            return true;
        }
        return a.job.liveAttempts.size() == a.job.spec.taskCount()
                && a.job.liveAttempts.values().stream()
                        .allMatch(x -> x.isDurable && x.number == a.number);
    }

    /**
     * How long the answer to the machine's report is worth holding back for work that may come: on
     * an idle machine, which has nothing to report meanwhile, until its next report is due; on one
     * where something just ended while other work waits, for the moment that placing and writing
     * takes.
     */
    public double answerHoldSeconds(String machine) {
        Machine m = shard.machines().get(machine);
        if (m == null || !m.isSchedulable()) {
            return 0;
        }
        double report = shard.settings().workers().heartbeatIntervalSeconds();
        if (!m.isBusy()) {
            return Math.min(report, MAX_HOLD_SECONDS);
        }
        return m.didLastReportEndTask && shard.hasBacklog() ? report / 10 : 0;
    }
}
