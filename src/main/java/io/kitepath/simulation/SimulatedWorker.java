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
    private final SimulatedCluster cluster;
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
    public boolean receivesNothing;

    /** It reaches no controller; direct commands reach it. */
    public boolean sendsNothing;

    /** It stands still until then; what is sent to it waits, and its lease runs. */
    public double hangingUntil;

    /** Its packets get lost. */
    public boolean isCutOff;

    public boolean failsTasks;
    public boolean spot;
    public double taskSeconds = 20;
    private double lastAnsweredAt;

    /** The next report that is due; those scheduled before it are not made. */
    private long nextHeartbeatId;

    private double sentAt = Double.NEGATIVE_INFINITY;
    private boolean inFlight;

    /**
     * Something changed since the report in flight was sent: the next one does not wait for its
     * turn.
     */
    private boolean changedSince;

    private String node;

    /** Gives up the report that waits for its answer. */
    private Runnable onGiveUp = () -> {};

    /** Nodes that it has tried one after the other. */
    private int attemptsToReport;

    public int started;

    public SimulatedWorker(SimulatedCluster cluster, String id, String zone) {
        this.cluster = cluster;
        this.lastAnsweredAt = cluster.clock.now;
        this.id = id;
        this.address = id;
        this.zone = zone;
    }

    public void die() {
        up = false;
        tasks.clear();
    }

    public Heartbeat currentHeartbeat() {
        return new Heartbeat(
                id,
                address,
                cluster.type.name(),
                zone,
                spot,
                session,
                ++sequence,
                token,
                null,
                tasks.values().stream()
                        .map(
                                task ->
                                        new TaskStatus(
                                                task.jobId,
                                                task.number,
                                                task.attempt,
                                                task.state,
                                                task.cause))
                        .toList());
    }

    /** Commands straight to it: its report after them, or null if they are not for it. */
    public Heartbeat executeDirectCommands(
            long itsToken, long itsSession, List<WorkerCommand> orders) {
        if (itsToken < token || itsSession != session) {
            return null;
        }
        token = itsToken;
        orders.forEach(this::execute);
        return currentHeartbeat();
    }

    private String nextNode() {
        List<String> up = cluster.workerNetwork.aliveNodes();
        if (up.isEmpty()) {
            node = null;
        } else if (node == null) {
            attemptsToReport++;
            node = up.get(attemptsToReport % up.size());
        } else if (!up.contains(node)) {
            node = up.get(attemptsToReport % up.size());
        }
        return node;
    }

    private void reportIn(double seconds) {
        long mine = ++nextHeartbeatId;
        cluster.after(
                seconds,
                () -> {
                    if (mine == nextHeartbeatId) {
                        report();
                    }
                });
    }

    /** A task ended: said at once, but at most every half second. */
    private void changed() {
        changedSince |= inFlight;
        if (cluster.reportsChangesImmediately && !inFlight) {
            reportIn(Math.max(0.001, sentAt + 0.5 - cluster.clock.now));
        }
    }

    /** The connection to that node is reset. */
    void resetBy(String itsNode) {
        if (inFlight && itsNode.equals(node)) {
            cluster.after(0.002, onGiveUp);
        }
    }

    boolean isHanging() {
        return cluster.clock.now < hangingUntil;
    }

    /** Runs that as soon as the machine goes on. */
    void onResume(Runnable then) {
        if (!up) {
            return;
        }
        if (isHanging()) {
            cluster.after(hangingUntil - cluster.clock.now, () -> onResume(then));
        } else {
            then.run();
        }
    }

    public void report() {
        if (!up) {
            return;
        }
        if (isHanging()) {
            onResume(this::report);
            return;
        }
        inFlight = true;
        changedSince = false;
        sentAt = cluster.clock.now;
        checkLease();
        String to = nextNode();
        long mySession = session;
        double sent = cluster.clock.now;
        boolean[] heard = new boolean[1];
        if (to != null && !isCutOff && !sendsNothing) {
            cluster.workerNetwork.heartbeat(
                    to,
                    currentHeartbeat(),
                    response -> {
                        if (!heard[0]
                                && up
                                && session == mySession
                                && !isCutOff
                                && !receivesNothing) {
                            heard[0] = true;
                            receiveResponse(response, sent);
                        }
                    });
        }
        onGiveUp =
                () -> {
                    if (!heard[0] && up) {
                        heard[0] = true;
                        inFlight = false;
                        node = null;
                        reportIn(0.2);
                    }
                };
        // Where nothing listens, that is known at once, and the next node is tried a second later.
        cluster.after(to == null || sendsNothing ? 0.8 : 4, onGiveUp);
    }

    /**
     * Its lease is over once the last answered report was sent too long ago; what it had on it is
     * gone then.
     */
    private void checkLease() {
        if (isHanging()) {
            onResume(this::checkLease);
        } else if (up && cluster.clock.now - lastAnsweredAt > cluster.leaseSeconds) {
            tasks.clear();
            session++;
            lastAnsweredAt = cluster.clock.now;
            changed();
        }
    }

    private void receiveResponse(HeartbeatResponse response, double sent) {
        if (isHanging()) {
            onResume(
                    () -> {
                        // Answers are dropped after 4 s, and those to an earlier session.
                        if (cluster.clock.now - sent < 4
                                && cluster.clock.now - lastAnsweredAt <= cluster.leaseSeconds) {
                            receiveResponse(response, sent);
                        } else {
                            inFlight = false;
                            reportIn(0.2);
                        }
                    });
            return;
        }
        inFlight = false;
        if (response.fencingToken() == 0) {
            node = response.redirectNode();
            reportIn(response.redirectNode() == null ? 1 : 0.1);
            return;
        }
        if (response.fencingToken() >= token) {
            cluster.onHeartbeatAnswered(node, response.fencingToken());
            token = response.fencingToken();
            lastAnsweredAt = Math.max(lastAnsweredAt, sent);
            cluster.after(
                    lastAnsweredAt + cluster.leaseSeconds - cluster.clock.now + 0.001,
                    this::checkLease);
            response.commands().forEach(this::execute);
        }
        if (response.fencingToken() < token) {
            cluster.responsesDropped++;
        }
        if (changedSince && cluster.reportsChangesImmediately) {
            changed();
        } else {
            reportIn(Math.max(0.5, cluster.heartbeatIntervalSeconds - (cluster.clock.now - sent)));
        }
    }

    public void execute(WorkerCommand command) {
        String key = command.jobId() + "/" + command.task() + "#" + command.attempt();
        SimulatedTask task = tasks.get(key);
        switch (command.action()) {
            case START -> {
                if (task == null) {
                    start(command, key);
                }
            }
            case STOP -> {
                if (task != null && task.state != TaskState.ENDED) {
                    task.state = TaskState.ENDED;
                    task.cause = EndCause.STOPPED;
                }
            }
            case FORGET -> {
                if (task != null && task.state == TaskState.ENDED) {
                    tasks.remove(key);
                }
            }
        }
    }

    private void imageFetched(SimulatedTask t, String key, JobSpec spec) {
        if (tasks.get(key) != t || t.state != TaskState.FETCHING_IMAGE) {
            return; // Given up, and what was fetched with it.
        }
        images.add(spec.image());
        t.state = TaskState.WAITING_FOR_GANG;
        List<SimulatedTask> gang =
                cluster.workers.values().stream()
                        .flatMap(worker -> worker.tasks.values().stream())
                        .filter(
                                x ->
                                        x.jobId.equals(t.jobId)
                                                && x.attempt == t.attempt
                                                && x.state == TaskState.WAITING_FOR_GANG)
                        .toList();
        if (gang.size() == spec.taskCount()) {
            gang.forEach(x -> x.state = TaskState.RUNNING);
            // They complete together, and each machine reports that as any other change.
            cluster.after(
                    cluster.taskSeconds == null
                            ? taskSeconds
                            : cluster.taskSeconds.applyAsDouble(t.jobId),
                    () ->
                            gang.stream()
                                    .filter(x -> x.isOnMachine() && x.state == TaskState.RUNNING)
                                    .forEach(
                                            x -> {
                                                x.state = TaskState.ENDED;
                                                x.cause = EndCause.DONE;
                                                cluster.completedTasks
                                                        .computeIfAbsent(
                                                                x.jobId, k -> new HashSet<>())
                                                        .add(x.number);
                                                cluster.clock.ended(x);
                                                x.worker.changed();
                                                cluster.loadGenerator.onTaskCompleted(x);
                                            }));
            return;
        }
        cluster.after(
                30,
                () -> {
                    if (t.state == TaskState.WAITING_FOR_GANG) {
                        t.state = TaskState.ENDED;
                        t.cause = EndCause.GANG_START_TIMEOUT;
                    }
                });
    }

    private void start(WorkerCommand command, String key) {
        SimulatedTask other = cluster.clock.lastStarts.get(command.jobId() + "/" + command.task());
        if (other != null && other.isOnMachine()) {
            cluster.violations.add("ran twice: " + key + " on " + id + " and " + other.worker.id);
        }
        // The range of all keys under that prefix.
        if (cluster
                .store
                .entries
                .subMap(StoreKeys.RELEASE_INTENTS, StoreKeys.RELEASE_INTENTS + "~")
                .values()
                .stream()
                .anyMatch(
                        entry ->
                                ((Map<?, ?>) entry.value()).get("machines") instanceof List<?> l
                                        && l.contains(id))) {
            cluster.violations.add("started on a machine that goes: " + key + " on " + id);
        }
        started++;
        SimulatedTask task =
                new SimulatedTask(
                        this,
                        command.jobId(),
                        command.task(),
                        command.attempt(),
                        TaskState.RUNNING);
        tasks.put(key, task);
        cluster.clock.lastStarts.put(command.jobId() + "/" + command.task(), task);
        cluster.clock.started(task);
        cluster.invariants.checkStart(task);
        JobSpec spec = cluster.specs.get(command.jobId());
        if (cluster.imageFetchSeconds != null && spec.isGang()) {
            task.state = TaskState.FETCHING_IMAGE;
            cluster.after(
                    images.contains(spec.image()) ? 0 : cluster.imageFetchSeconds.applyAsDouble(id),
                    () -> imageFetched(task, key, spec));
            return;
        }
        boolean error = failsTasks || cluster.jobsThatFailEverywhere.contains(command.jobId());
        cluster.after(
                error
                        ? 0.1
                        : cluster.taskSeconds == null
                                ? taskSeconds
                                : cluster.taskSeconds.applyAsDouble(command.jobId()),
                () -> {
                    if (up && tasks.get(key) == task && task.state != TaskState.ENDED) {
                        task.state = TaskState.ENDED;
                        task.cause = error ? EndCause.ERROR : EndCause.DONE;
                        if (!error) {
                            cluster.completedTasks
                                    .computeIfAbsent(task.jobId, k -> new HashSet<>())
                                    .add(task.number);
                        }
                        cluster.clock.ended(task);
                        changed();
                        if (!error) {
                            cluster.loadGenerator.onTaskCompleted(task);
                        }
                    }
                });
    }
}
