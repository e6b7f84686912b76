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
    private static final int MAX_ORDERS = 300;

    /** Half of what a worker waits for an answer. */
    private static final double MAX_HOLD_S = 2;

    /** Reports in a row that don't show a task which the answers before them launched. */
    private static final int MOST_MISSED = 3;

    private final ShardState shard;
    private long launches;
    private double launchDelayS;

    public HeartbeatProcessor(ShardState shard) {
        this.shard = shard;
    }

    /**
     * Launch orders given, and the seconds that passed between their placing and their order, added
     * up.
     */
    public long launches() {
        return launches;
    }

    public double launchDelayS() {
        return launchDelayS;
    }

    /**
     * Takes in a report; {@code loaded} is false until the jobs are known, {@code mayRun} says of
     * which something may be on machines even before. Answers what to do about tasks that are not
     * ours, or no longer; {@link #commands} has the rest.
     */
    public List<WorkerCommand> heartbeat(
            Heartbeat heartbeat, boolean loaded, Predicate<String> mayRun, double now) {
        if (shard.buried(heartbeat.machineId())) {
            return List.of();
        }
        Machine machine = shard.machine(heartbeat.machineId(), now);
        if (!heartbeat.isNewerThan(machine.session, machine.sequence)) {
            return List.of(); // Late: a newer report has been read already.
        }
        machine.heard(
                heartbeat.agentIncarnation(),
                loaded && heartbeat.fencingToken() == shard.token(),
                now,
                shard.facts().workers().leaseSeconds());
        machine.session = heartbeat.agentIncarnation();
        machine.sequence = heartbeat.sequence();
        machine.type = heartbeat.machineType();
        machine.zone = heartbeat.zone();
        machine.spot = heartbeat.spot();
        machine.address = heartbeat.address();
        if (!machine.reported()) {
            machine.idleSince = now;
            if (machine.rentedHere) {
                shard.boots().took(machine, now);
            }
        }
        machine.lastReport = now;
        if (heartbeat.noticeSeconds() != null) {
            if (Double.isNaN(machine.takenAt)) {
                LOG.info("machine {} will be taken in {} s", machine.id, heartbeat.noticeSeconds());
            }
            machine.takenAt = now + heartbeat.noticeSeconds();
        } else {
            machine.takenAt = Double.NaN;
        }
        // Guards against a report that was sent before the worker knew us: an earlier holder's
        // launch might still have been on its way to it then. Only a report that carries our token
        // proves what is not on the machine.
        if (!loaded || heartbeat.fencingToken() != shard.token()) {
            return stops(heartbeat, mayRun);
        }
        boolean open = machine.open();
        if (!machine.proven) {
            LOG.debug(
                    "machine {} reports with our token, session {}, {} tasks",
                    machine.id,
                    heartbeat.agentIncarnation(),
                    heartbeat.tasks().size());
        }
        machine.proven = true;
        List<WorkerCommand> orders = reconcile(machine, heartbeat, now);
        if (open != machine.open()) {
            shard.change();
        }
        return orders;
    }

    /**
     * Whether it is newer than all that was read of its machine, so that the worker may wait for
     * what it is answered.
     */
    public boolean news(Heartbeat heartbeat) {
        Machine machine = shard.machines().get(heartbeat.machineId());
        return machine == null || heartbeat.isNewerThan(machine.session, machine.sequence);
    }

    /**
     * A report that this holder may not answer: the machine is there, and that is all that is taken
     * from it. Guards against a holder that gives back its whole fleet as silent, once the store is
     * back, since it answered nobody.
     */
    public void unanswered(Heartbeat heartbeat, double now) {
        Machine machine = shard.machines().get(heartbeat.machineId());
        if (machine != null && heartbeat.isNewerThan(machine.session, machine.sequence)) {
            machine.unanswered(now);
        }
    }

    /**
     * Of jobs that are over nothing has to go on, whatever else is known. Guards against an answer
     * that keeps the lease of a cancelled job's task because the machine has not shown our token
     * yet.
     */
    private static List<WorkerCommand> stops(Heartbeat heartbeat, Predicate<String> mayRun) {
        return heartbeat.tasks().stream()
                .filter(status -> status.state() != TaskState.ENDED && !mayRun.test(status.jobId()))
                .limit(MAX_ORDERS)
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
        int reading = ++machine.readings;
        for (TaskStatus status : heartbeat.tasks()) {
            Job job = shard.jobs().get(status.jobId());
            Attempt a = job == null ? null : job.liveAttempts.get(status.task());
            if (a != null && a.machine == machine && a.number == status.attempt()) {
                a.lastSeenReading = reading;
                present(a, status, now);
            } else if (machine.unwritten.stream().noneMatch(u -> u.matches(status))) {
                strays.add(status);
            }
        }
        for (Attempt a : new ArrayList<>(machine.attempts)) {
            if (a.lastSeenReading != reading && !a.isEnded) {
                absent(a, now);
            }
        }
        machine.endedLately = before > machine.attempts.size();
        machine.strangers = 0;
        for (TaskStatus status : strays) {
            stray(machine, status, orders, now);
        }
        return orders;
    }

    private void present(Attempt attempt, TaskStatus status, double now) {
        if (!attempt.isSeen) {
            attempt.isSeen = true;
            attempt.machine.unconfirmed--;
            attempt.machine.showsStart();
        }
        attempt.mayBeLaunched = true;
        if (status.state() != attempt.state) {
            attempt.state = status.state();
            attempt.machine.progressed();
            if (status.state() == TaskState.WAITING_FOR_GANG) {
                shard.hasImage(attempt);
            } else if (status.state() == TaskState.RUNNING) {
                attempt.runningSince = now;
                attempt.job.startTimes.add(now);
                if (attempt.placedVersion > 0) {
                    shard.leads().took(attempt.job.spec.jobClass(), now - attempt.placedAt);
                }
                LOG.debug(
                        "attempt {} runs, {} s after it was placed",
                        attempt,
                        Math.round(now - attempt.placedAt));
                shard.hasImage(attempt);
            }
        }
        if (status.state() == TaskState.ENDED) {
            shard.end(attempt, status.cause(), now);
        }
    }

    /** A report newer than any launch of this attempt does not show it. */
    private void absent(Attempt a, double now) {
        if (a.isSeen) {
            LOG.info("attempt {} lost with its session", a);
            shard.lose(a, now);
        } else if (a.isDurable && (a.isUnwanted() || a.machine.releasing)) {
            shard.end(a, EndCause.STOPPED, now);
        } else if (a.mayBeLaunched
                && a.job.spec.isGang()
                && a.job.liveAttempts.values().stream()
                        .anyMatch(
                                x -> x.state == TaskState.RUNNING || x.state == TaskState.SAVING_CHECKPOINT)) {
            // A gang that ran without this task has lost it; starting it again would not bring the
            // others back.
            shard.end(a, EndCause.GANG_PEER_LOST, now);
        }
        // Otherwise it was never executed, and this very answer launches it (again).
        boolean ordered = a.isStartSent;
        a.isStartSent = false;
        if (!a.isEnded && ordered && ++a.missedReports >= MOST_MISSED) {
            // Nothing sent before this report can start it any more. Guards against tasks that stay
            // placed for good on a machine whose reports arrive, but which no answer reaches. Only
            // answers with the order in them count, so that a machine that was told nothing, as in
            // an outage, does not pass for one that hears nothing.
            LOG.warn("machine {} reports and does not start what it is told to", a.machine.id);
            a.machine.deaf(now);
            shard.end(a, EndCause.STOPPED, now);
        }
    }

    /** The worker has a task that we have not placed there. */
    private void stray(Machine machine, TaskStatus status, List<WorkerCommand> orders, double now) {
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
                && !job.doneTasks.get(status.task())
                && job.isPlaceable(status.task())) {
            // Should not be: counted in and written down before it is stopped, so the task can't
            // run elsewhere.
            shard.strayed(job, status.task(), status.attempt(), status.state(), machine, now);
            return;
        }
        machine.strangers++;
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
        if (m == null || !m.proven) {
            return orders;
        }
        for (Attempt attempt : m.attempts) {
            if (orders.size() >= MAX_ORDERS) {
                break;
            }
            if (toStop(attempt)) {
                orders.add(stopOrder(attempt));
            } else if (mayStart && !m.releasing && toStart(attempt)) {
                // Not on a machine that goes: one that was silent may be heard again just when it
                // is given back.
                if (!attempt.mayBeLaunched) {
                    launches++;
                    launchDelayS += now - attempt.placedAt;
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
    public Map<Machine, List<WorkerCommand>> stops(int most, double now) {
        Map<Machine, List<WorkerCommand>> out = new LinkedHashMap<>();
        for (Job job : shard.jobs().values()) {
            if (!job.isFinished && job.hasStoppingAttempts == 0) {
                continue;
            }
            for (Attempt attempt : job.liveAttempts.values()) {
                Machine m = attempt.machine;
                if (toStop(attempt)
                        && !attempt.isStopSent
                        && m.proven
                        && !m.commanded
                        && !m.releasing
                        && !m.address.isEmpty()
                        && now - m.lastReport < 2 * shard.facts().workers().heartbeatIntervalSeconds()
                        && (out.size() < most || out.containsKey(m))) {
                    attempt.isStopSent = true;
                    out.computeIfAbsent(m, k -> new ArrayList<>()).add(stopOrder(attempt));
                }
            }
        }
        return out;
    }

    private static WorkerCommand stopOrder(Attempt attempt) {
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
    public void answered(Machine machine, Heartbeat heartbeat, double now) {
        if (machine.gone
                || !machine.proven
                || heartbeat.agentIncarnation() != machine.session
                || heartbeat.sequence() <= machine.sequence
                || heartbeat.fencingToken() != shard.token()) {
            return;
        }
        machine.sequence = heartbeat.sequence();
        for (TaskStatus status : heartbeat.tasks()) {
            Job job = shard.jobs().get(status.jobId());
            Attempt attempt = job == null ? null : job.liveAttempts.get(status.task());
            if (attempt != null
                    && attempt.machine == machine
                    && attempt.number == status.attempt()) {
                present(attempt, status, now);
            }
        }
    }

    /** Whether something is to be started or stopped on the machine. */
    public boolean hasCommands(String machine) {
        Machine m = shard.machines().get(machine);
        return m != null
                && m.attempts.stream().anyMatch(attempt -> toStop(attempt) || toStart(attempt));
    }

    private static boolean toStop(Attempt attempt) {
        return attempt.isUnwanted() && attempt.isSeen;
    }

    private static boolean toStart(Attempt attempt) {
        return !attempt.isUnwanted() && attempt.isDurable && !attempt.isSeen && startable(attempt);
    }

    /**
     * A gang is launched only when every one of its tasks has a machine, and that is written down.
     */
    private static boolean startable(Attempt a) {
        if (!a.job.spec.isGang()) {
            return true;
        }
        return a.job.liveAttempts.size() == a.job.spec.taskCount()
                && a.job.liveAttempts.values().stream().allMatch(x -> x.isDurable && x.number == a.number);
    }

    /**
     * How long the answer to the machine's report is worth holding back for work that may come: on
     * an idle machine, which has nothing to report meanwhile, until its next report is due; on one
     * where something just ended while other work waits, for the moment that placing and writing
     * takes.
     */
    public double patience(String machine) {
        Machine m = shard.machines().get(machine);
        if (m == null || !m.open()) {
            return 0;
        }
        double report = shard.facts().workers().heartbeatIntervalSeconds();
        if (!m.busy()) {
            return Math.min(report, MAX_HOLD_S);
        }
        return m.endedLately && shard.backlog() ? report / 10 : 0;
    }
}
