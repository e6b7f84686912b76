package io.kitepath.simulation;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.Heartbeat.EndCause;
import io.kitepath.core.model.Heartbeat.TaskState;
import io.kitepath.core.model.Heartbeat.TaskStatus;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.WorkerCommand;
import io.kitepath.core.state.StoreKeys;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A machine with its worker, by the protocol: one report in flight, sessions, tokens, leases. */
public final class SimulatedWorker {
    private final SimulatedCluster w;
    public final String id;
    public final String zone;

    /** Where it takes direct commands. */
    public String address;

    public final Map<String, SimulatedTask> tasks = new LinkedHashMap<>();
    public final Set<String> images = new HashSet<>();
    public long session = 1;
    public long sequence;
    public long token;
    public boolean up = true;

    /** What is sent to it gets lost: answers to its reports, and commands. */
    public boolean deaf;

    /** It reaches no controller; direct commands reach it. */
    public boolean mute;

    /** It stands still until then; what is sent to it waits, and its lease runs. */
    public double hangsUntil;

    /** Its packets get lost. */
    public boolean cut;

    public boolean fails;
    public boolean spot;
    public double runsFor = 20;
    private double answered;

    /** The next report that is due; those scheduled before it are not made. */
    private long due;

    private double sentAt = Double.NEGATIVE_INFINITY;
    private boolean inFlight;

    /**
     * Something changed since the report in flight was sent: the next one does not wait for its
     * turn.
     */
    private boolean changedSince;

    private String node;

    /** Gives up the report that waits for its answer. */
    private Runnable givenUp = () -> {};

    /** Nodes that it has tried one after the other. */
    private int tries;

    public int started;

    public SimulatedWorker(SimulatedCluster w, String id, String zone) {
        this.w = w;
        this.answered = w.clock.now;
        this.id = id;
        this.address = id;
        this.zone = zone;
    }

    public void die() {
        up = false;
        tasks.clear();
    }

    public Heartbeat message() {
        return new Heartbeat(
                id,
                address,
                w.type.name(),
                zone,
                spot,
                session,
                ++sequence,
                token,
                null,
                tasks.values().stream()
                        .map(t -> new TaskStatus(t.job, t.number, t.attempt, t.state, t.cause))
                        .toList());
    }

    /** Commands straight to it: its report after them, or null if they are not for it. */
    public Heartbeat directly(long itsToken, long itsSession, List<WorkerCommand> orders) {
        if (itsToken < token || itsSession != session) {
            return null;
        }
        token = itsToken;
        orders.forEach(this::execute);
        return message();
    }

    private String target() {
        List<String> up = w.reach.up();
        if (up.isEmpty()) {
            node = null;
        } else if (node == null) {
            tries++;
            node = up.get(tries % up.size());
        } else if (!up.contains(node)) {
            node = up.get(tries % up.size());
        }
        return node;
    }

    private void reportIn(double seconds) {
        long mine = ++due;
        w.after(
                seconds,
                () -> {
                    if (mine == due) {
                        report();
                    }
                });
    }

    /** A task ended: said at once, but at most every half second. */
    private void changed() {
        changedSince |= inFlight;
        if (w.reportsChanges && !inFlight) {
            reportIn(Math.max(0.001, sentAt + 0.5 - w.clock.now));
        }
    }

    /** The connection to that node is reset. */
    void resetBy(String itsNode) {
        if (inFlight && itsNode.equals(node)) {
            w.after(0.002, givenUp);
        }
    }

    boolean hangs() {
        return w.clock.now < hangsUntil;
    }

    /** Runs that as soon as the machine goes on. */
    void goesOn(Runnable then) {
        if (!up) {
            return;
        }
        if (hangs()) {
            w.after(hangsUntil - w.clock.now, () -> goesOn(then));
        } else {
            then.run();
        }
    }

    public void report() {
        if (!up) {
            return;
        }
        if (hangs()) {
            goesOn(this::report);
            return;
        }
        inFlight = true;
        changedSince = false;
        sentAt = w.clock.now;
        expire();
        String to = target();
        long mySession = session;
        double sent = w.clock.now;
        boolean[] heard = new boolean[1];
        if (to != null && !cut && !mute) {
            w.reach.heartbeat(
                    to,
                    message(),
                    c -> {
                        if (!heard[0] && up && session == mySession && !cut && !deaf) {
                            heard[0] = true;
                            hear(c, sent);
                        }
                    });
        }
        givenUp =
                () -> {
                    if (!heard[0] && up) {
                        heard[0] = true;
                        inFlight = false;
                        node = null;
                        reportIn(0.2);
                    }
                };
        // Where nothing listens, that is known at once, and the next node is tried a second later.
        w.after(to == null || mute ? 0.8 : 4, givenUp);
    }

    /**
     * Its lease is over once the last answered report was sent too long ago; what it had on it is
     * gone then.
     */
    private void expire() {
        if (hangs()) {
            goesOn(this::expire);
        } else if (up && w.clock.now - answered > w.leaseS) {
            tasks.clear();
            session++;
            answered = w.clock.now;
            changed();
        }
    }

    private void hear(HeartbeatResponse c, double sent) {
        if (hangs()) {
            goesOn(
                    () -> {
                        // Answers are dropped after 4 s, and those to an earlier session.
                        if (w.clock.now - sent < 4 && w.clock.now - answered <= w.leaseS) {
                            hear(c, sent);
                        } else {
                            inFlight = false;
                            reportIn(0.2);
                        }
                    });
            return;
        }
        inFlight = false;
        if (c.token() == 0) {
            node = c.anchor();
            reportIn(c.anchor() == null ? 1 : 0.1);
            return;
        }
        if (c.token() >= token) {
            w.acts(node, c.token());
            token = c.token();
            answered = Math.max(answered, sent);
            w.after(answered + w.leaseS - w.clock.now + 0.001, this::expire);
            c.orders().forEach(this::execute);
        }
        if (c.token() < token) {
            w.dropped++;
        }
        if (changedSince && w.reportsChanges) {
            changed();
        } else {
            reportIn(Math.max(0.5, w.reportS - (w.clock.now - sent)));
        }
    }

    public void execute(WorkerCommand o) {
        String key = o.job() + "/" + o.task() + "#" + o.attempt();
        SimulatedTask t = tasks.get(key);
        switch (o.verb()) {
            case START -> {
                if (t == null) {
                    start(o, key);
                }
            }
            case STOP -> {
                if (t != null && t.state != TaskState.ENDED) {
                    t.state = TaskState.ENDED;
                    t.cause = EndCause.STOPPED;
                }
            }
            case FORGET -> {
                if (t != null && t.state == TaskState.ENDED) {
                    tasks.remove(key);
                }
            }
        }
    }

    private void fetched(SimulatedTask t, String key, JobSpec s) {
        if (tasks.get(key) != t || t.state != TaskState.FETCHING) {
            return; // Given up, and what was fetched with it.
        }
        images.add(s.image());
        t.state = TaskState.WAITING;
        List<SimulatedTask> gang =
                w.workers.values().stream()
                        .flatMap(w -> w.tasks.values().stream())
                        .filter(
                                x ->
                                        x.job.equals(t.job)
                                                && x.attempt == t.attempt
                                                && x.state == TaskState.WAITING)
                        .toList();
        if (gang.size() == s.tasks()) {
            gang.forEach(x -> x.state = TaskState.RUNNING);
            // They complete together, and each machine reports that as any other change.
            w.after(
                    w.runsFor == null ? runsFor : w.runsFor.applyAsDouble(t.job),
                    () ->
                            gang.stream()
                                    .filter(x -> x.on() && x.state == TaskState.RUNNING)
                                    .forEach(
                                            x -> {
                                                x.state = TaskState.ENDED;
                                                x.cause = EndCause.DONE;
                                                w.completed
                                                        .computeIfAbsent(
                                                                x.job, k -> new HashSet<>())
                                                        .add(x.number);
                                                w.clock.ended(x);
                                                x.worker.changed();
                                                w.users.completed(x);
                                            }));
            return;
        }
        w.after(
                30,
                () -> {
                    if (t.state == TaskState.WAITING) {
                        t.state = TaskState.ENDED;
                        t.cause = EndCause.ALONE;
                    }
                });
    }

    private void start(WorkerCommand o, String key) {
        SimulatedTask other = w.clock.lastStarts.get(o.job() + "/" + o.task());
        if (other != null && other.on()) {
            w.broken.add("ran twice: " + key + " on " + id + " and " + other.worker.id);
        }
        // The range of all keys under that prefix.
        if (w.store.keys.subMap(StoreKeys.GOING, StoreKeys.GOING + "~").values().stream()
                .anyMatch(
                        e ->
                                ((Map<?, ?>) e.value()).get("machines") instanceof List<?> l
                                        && l.contains(id))) {
            w.broken.add("started on a machine that goes: " + key + " on " + id);
        }
        started++;
        SimulatedTask t =
                new SimulatedTask(this, o.job(), o.task(), o.attempt(), TaskState.RUNNING);
        tasks.put(key, t);
        w.clock.lastStarts.put(o.job() + "/" + o.task(), t);
        w.clock.started(t);
        w.rules.starts(t);
        JobSpec s = w.specs.get(o.job());
        if (w.fetchS != null && s.gang()) {
            t.state = TaskState.FETCHING;
            w.after(
                    images.contains(s.image()) ? 0 : w.fetchS.applyAsDouble(id),
                    () -> fetched(t, key, s));
            return;
        }
        boolean error = fails || w.mistaken.contains(o.job());
        w.after(
                error ? 0.1 : w.runsFor == null ? runsFor : w.runsFor.applyAsDouble(o.job()),
                () -> {
                    if (up && tasks.get(key) == t && t.state != TaskState.ENDED) {
                        t.state = TaskState.ENDED;
                        t.cause = error ? EndCause.ERROR : EndCause.DONE;
                        if (!error) {
                            w.completed.computeIfAbsent(t.job, k -> new HashSet<>()).add(t.number);
                        }
                        w.clock.ended(t);
                        changed();
                        if (!error) {
                            w.users.completed(t);
                        }
                    }
                });
    }
}
