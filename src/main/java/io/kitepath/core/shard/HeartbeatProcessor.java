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

    private final ShardState block;
    private long launches;
    private double launchDelayS;

    public HeartbeatProcessor(ShardState block) {
        this.block = block;
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
            Heartbeat r, boolean loaded, Predicate<String> mayRun, double now) {
        if (block.buried(r.machine())) {
            return List.of();
        }
        Machine m = block.machine(r.machine(), now);
        if (!r.newerThan(m.session, m.sequence)) {
            return List.of(); // Late: a newer report has been read already.
        }
        m.heard(
                r.session(),
                loaded && r.token() == block.token(),
                now,
                block.facts().workers().leaseS());
        m.session = r.session();
        m.sequence = r.sequence();
        m.type = r.type();
        m.zone = r.zone();
        m.spot = r.spot();
        m.address = r.address();
        if (!m.reported()) {
            m.idleSince = now;
            if (m.rentedHere) {
                block.boots().took(m, now);
            }
        }
        m.lastReport = now;
        if (r.noticeS() != null) {
            if (Double.isNaN(m.takenAt)) {
                LOG.info("machine {} will be taken in {} s", m.id, r.noticeS());
            }
            m.takenAt = now + r.noticeS();
        } else {
            m.takenAt = Double.NaN;
        }
        // Guards against a report that was sent before the worker knew us: an earlier holder's
        // launch might still
        // have been on its way to it then. Only a report that carries our token proves what is not
        // on the machine.
        if (!loaded || r.token() != block.token()) {
            return stops(r, mayRun);
        }
        boolean open = m.open();
        if (!m.proven) {
            LOG.debug(
                    "machine {} reports with our token, session {}, {} tasks",
                    m.id,
                    r.session(),
                    r.tasks().size());
        }
        m.proven = true;
        List<WorkerCommand> orders = reconcile(m, r, now);
        if (open != m.open()) {
            block.change();
        }
        return orders;
    }

    /**
     * Whether it is newer than all that was read of its machine, so that the worker may wait for
     * what it is answered.
     */
    public boolean news(Heartbeat r) {
        Machine m = block.machines().get(r.machine());
        return m == null || r.newerThan(m.session, m.sequence);
    }

    /**
     * A report that this holder may not answer: the machine is there, and that is all that is taken
     * from it. Guards against a holder that gives back its whole fleet as silent, once the store is
     * back, since it answered nobody.
     */
    public void unanswered(Heartbeat r, double now) {
        Machine m = block.machines().get(r.machine());
        if (m != null && r.newerThan(m.session, m.sequence)) {
            m.unanswered(now);
        }
    }

    /**
     * Of jobs that are over nothing has to go on, whatever else is known. Guards against an answer
     * that keeps the lease of a cancelled job's task because the machine has not shown our token
     * yet.
     */
    private static List<WorkerCommand> stops(Heartbeat r, Predicate<String> mayRun) {
        return r.tasks().stream()
                .filter(t -> t.state() != TaskState.ENDED && !mayRun.test(t.job()))
                .limit(MAX_ORDERS)
                .map(
                        t ->
                                new WorkerCommand(
                                        WorkerCommand.Action.STOP,
                                        t.job(),
                                        t.task(),
                                        t.attempt(),
                                        0))
                .toList();
    }

    private List<WorkerCommand> reconcile(Machine m, Heartbeat r, double now) {
        List<WorkerCommand> orders = new ArrayList<>();
        List<TaskStatus> strays = new ArrayList<>();
        int before = m.attempts.size();
        int reading = ++m.readings;
        for (TaskStatus t : r.tasks()) {
            Job job = block.jobs().get(t.job());
            Attempt a = job == null ? null : job.live.get(t.task());
            if (a != null && a.machine == m && a.number == t.attempt()) {
                a.reading = reading;
                present(a, t, now);
            } else if (m.unwritten.stream().noneMatch(u -> u.is(t))) {
                strays.add(t);
            }
        }
        for (Attempt a : new ArrayList<>(m.attempts)) {
            if (a.reading != reading && !a.ended) {
                absent(a, now);
            }
        }
        m.endedLately = before > m.attempts.size();
        m.strangers = 0;
        for (TaskStatus t : strays) {
            stray(m, t, orders, now);
        }
        return orders;
    }

    private void present(Attempt a, TaskStatus t, double now) {
        if (!a.seen) {
            a.seen = true;
            a.machine.unconfirmed--;
            a.machine.showsStart();
        }
        a.launched = true;
        if (t.state() != a.state) {
            a.state = t.state();
            a.machine.progressed();
            if (t.state() == TaskState.WAITING) {
                block.hasImage(a);
            } else if (t.state() == TaskState.RUNNING) {
                a.runningSince = now;
                a.job.ran.add(now);
                if (a.placedVersion > 0) {
                    block.leads().took(a.job.spec.jobClass(), now - a.placedAt);
                }
                LOG.debug(
                        "attempt {} runs, {} s after it was placed",
                        a,
                        Math.round(now - a.placedAt));
                block.hasImage(a);
            }
        }
        if (t.state() == TaskState.ENDED) {
            block.end(a, t.cause(), now);
        }
    }

    /** A report newer than any launch of this attempt does not show it. */
    private void absent(Attempt a, double now) {
        if (a.seen) {
            LOG.info("attempt {} lost with its session", a);
            block.lose(a, now);
        } else if (a.durable && (a.unwanted() || a.machine.releasing)) {
            block.end(a, EndCause.STOPPED, now);
        } else if (a.launched
                && a.job.spec.gang()
                && a.job.live.values().stream()
                        .anyMatch(
                                x -> x.state == TaskState.RUNNING || x.state == TaskState.SAVING)) {
            // A gang that ran without this task has lost it; starting it again would not bring the
            // others back.
            block.end(a, EndCause.PEERS, now);
        }
        // Otherwise it was never executed, and this very answer launches it (again).
        boolean ordered = a.ordered;
        a.ordered = false;
        if (!a.ended && ordered && ++a.missed >= MOST_MISSED) {
            // Nothing sent before this report can start it any more. Guards against tasks that stay
            // placed for good on a
            // machine whose reports arrive, but which no answer reaches. Only answers with the
            // order in them count, so
            // that a machine that was told nothing, as in an outage, does not pass for one that
            // hears nothing.
            LOG.warn("machine {} reports and does not start what it is told to", a.machine.id);
            a.machine.deaf(now);
            block.end(a, EndCause.STOPPED, now);
        }
    }

    /** The worker has a task that we have not placed there. */
    private void stray(Machine m, TaskStatus t, List<WorkerCommand> orders, double now) {
        if (t.state() == TaskState.ENDED) {
            orders.add(
                    new WorkerCommand(
                            WorkerCommand.Action.FORGET, t.job(), t.task(), t.attempt(), 0));
            return;
        }
        Job job = block.jobs().get(t.job());
        if (job != null
                && t.task() >= 0
                && t.task() < job.spec.tasks()
                && !job.live.containsKey(t.task())
                && !job.done.get(t.task())
                && job.placeable(t.task())) {
            // Should not be: counted in and written down before it is stopped, so the task can't
            // run elsewhere.
            block.strayed(job, t.task(), t.attempt(), t.state(), m, now);
            return;
        }
        m.strangers++;
        orders.add(new WorkerCommand(WorkerCommand.Action.STOP, t.job(), t.task(), t.attempt(), 0));
    }

    /**
     * What the machine's worker shall start and stop, to be sent only as the answer to its latest
     * report.
     */
    public List<WorkerCommand> commands(String machine, boolean mayStart, double now) {
        Machine m = block.machines().get(machine);
        List<WorkerCommand> orders = new ArrayList<>();
        if (m == null || !m.proven) {
            return orders;
        }
        for (Attempt a : m.attempts) {
            if (orders.size() >= MAX_ORDERS) {
                break;
            }
            if (toStop(a)) {
                orders.add(stopOrder(a));
            } else if (mayStart && !m.releasing && toStart(a)) {
                // Not on a machine that goes: one that was silent may be heard again just when it
                // is given back.
                if (!a.launched) {
                    launches++;
                    launchDelayS += now - a.placedAt;
                }
                a.launched = true;
                a.ordered = true;
                orders.add(
                        new WorkerCommand(
                                WorkerCommand.Action.START, a.job.spec.id(), a.task, a.number, 0));
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
        for (Job job : block.jobs().values()) {
            if (!job.over && job.stopping == 0) {
                continue;
            }
            for (Attempt a : job.live.values()) {
                Machine m = a.machine;
                if (toStop(a)
                        && !a.stopSent
                        && m.proven
                        && !m.commanded
                        && !m.releasing
                        && !m.address.isEmpty()
                        && now - m.lastReport < 2 * block.facts().workers().reportS()
                        && (out.size() < most || out.containsKey(m))) {
                    a.stopSent = true;
                    out.computeIfAbsent(m, k -> new ArrayList<>()).add(stopOrder(a));
                }
            }
        }
        return out;
    }

    private static WorkerCommand stopOrder(Attempt a) {
        return new WorkerCommand(
                WorkerCommand.Action.STOP,
                a.job.spec.id(),
                a.task,
                a.number,
                a.job.over ? 0 : a.stopGraceS);
    }

    /**
     * A worker's report in answer to direct commands. It proves what ended, but not what is absent:
     * a launch in the answer to a check-in may still be on its way to the worker.
     */
    public void answered(Machine m, Heartbeat r, double now) {
        if (m.gone
                || !m.proven
                || r.session() != m.session
                || r.sequence() <= m.sequence
                || r.token() != block.token()) {
            return;
        }
        m.sequence = r.sequence();
        for (TaskStatus t : r.tasks()) {
            Job job = block.jobs().get(t.job());
            Attempt a = job == null ? null : job.live.get(t.task());
            if (a != null && a.machine == m && a.number == t.attempt()) {
                present(a, t, now);
            }
        }
    }

    /** Whether something is to be started or stopped on the machine. */
    public boolean hasCommands(String machine) {
        Machine m = block.machines().get(machine);
        return m != null && m.attempts.stream().anyMatch(a -> toStop(a) || toStart(a));
    }

    private static boolean toStop(Attempt a) {
        return a.unwanted() && a.seen;
    }

    private static boolean toStart(Attempt a) {
        return !a.unwanted() && a.durable && !a.seen && startable(a);
    }

    /**
     * A gang is launched only when every one of its tasks has a machine, and that is written down.
     */
    private static boolean startable(Attempt a) {
        if (!a.job.spec.gang()) {
            return true;
        }
        return a.job.live.size() == a.job.spec.tasks()
                && a.job.live.values().stream().allMatch(x -> x.durable && x.number == a.number);
    }

    /**
     * How long the answer to the machine's report is worth holding back for work that may come: on
     * an idle machine, which has nothing to report meanwhile, until its next report is due; on one
     * where something just ended while other work waits, for the moment that placing and writing
     * takes.
     */
    public double patience(String machine) {
        Machine m = block.machines().get(machine);
        if (m == null || !m.open()) {
            return 0;
        }
        double report = block.facts().workers().reportS();
        if (!m.busy()) {
            return Math.min(report, MAX_HOLD_S);
        }
        return m.endedLately && block.backlog() ? report / 10 : 0;
    }
}
