package io.kitepath.simulation;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.Heartbeat.EndCause;
import io.kitepath.core.model.Heartbeat.TaskState;
import io.kitepath.core.model.Heartbeat.TaskStatus;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.WorkerCommand;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A machine with its worker, which follows the worker protocol: one heartbeat in flight, agent
 * incarnations, fencing tokens and a lease. Public fields are its state and its faults.
 */
public final class SimulatedWorker {
    /** After that time without an answer a heartbeat is given up. */
    private static final double HEARTBEAT_TIMEOUT_SECONDS = 4;

    /** The same where nothing listens, which shows at once. */
    private static final double UNREACHABLE_TIMEOUT_SECONDS = 0.8;

    private static final double RETRY_SECONDS = 0.2;
    private static final double MIN_HEARTBEAT_INTERVAL_SECONDS = 0.5;
    private static final double MIN_DELAY_SECONDS = 0.001;

    private final SimulatedCluster cluster;
    private final SimulatedTaskRunner taskRunner;
    public final String id;
    public final String zone;

    /** Where nodes send it direct commands; its id unless it has real sockets. */
    public String address;

    /** Tasks that it still reports, by {@link SimulatedTask#key}, in the order of their starts. */
    public final Map<String, SimulatedTask> tasks = new LinkedHashMap<>();

    /** Images that are on the machine. */
    public final Set<String> images = new HashSet<>();

    /** The incarnation of the agent; a new one begins when its lease has expired. */
    public long session = 1;

    /** The number of the last heartbeat. */
    public long sequence;

    /** The highest fencing token that it has accepted. */
    public long token;

    /** Whether the machine is running. */
    public boolean up = true;

    /** Whether all that is sent to it is lost: heartbeat responses and direct commands. */
    public boolean receivesNothing;

    /** Whether it reaches no controller, while direct commands reach it. */
    public boolean sendsNothing;

    /** It hangs until that time; what is sent to it waits, and its lease runs. */
    public double hangingUntil;

    /** Whether it is cut off from the network in both directions. */
    public boolean isCutOff;

    /** Whether all tasks that it starts fail. */
    public boolean failsTasks;

    /** Whether it is a spot instance. */
    public boolean spot;

    /** How long tasks run here, unless the cluster says how long a job's tasks run. */
    public double taskSeconds = 20;

    private double lastAnsweredAt;

    /** The next heartbeat that is due; those scheduled before it are not sent. */
    private long nextHeartbeatId;

    private double sentAt = Double.NEGATIVE_INFINITY;
    private boolean inFlight;

    /**
     * Whether something changed since the heartbeat in flight was sent, so that the next one does
     * not wait for its turn.
     */
    private boolean changedSince;

    /** The node that it sends heartbeats to, or null. */
    private String node;

    /** Gives up the heartbeat in flight. */
    private Runnable onGiveUp = () -> {};

    /** How often it had to choose a node; the choices go round. */
    private int attemptsToReport;

    /** How many tasks it has started. */
    public int started;

    /** A machine that is running; it sends no heartbeat before {@link #report}. */
    public SimulatedWorker(SimulatedCluster cluster, String id, String zone) {
        this.cluster = cluster;
        this.taskRunner = new SimulatedTaskRunner(cluster, this);
        this.lastAnsweredAt = cluster.clock.now;
        this.id = id;
        this.address = id;
        this.zone = zone;
    }

    /** The machine is gone, and its tasks with it. */
    public void die() {
        up = false;
        tasks.clear();
    }

    /** The next heartbeat, with a sequence number of its own. */
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

    /**
     * Executes direct commands.
     *
     * @return its heartbeat after them; null if the fencing token is stale or they are for another
     *     incarnation
     */
    public Heartbeat executeDirectCommands(
            long fencingToken, long incarnation, List<WorkerCommand> commands) {
        if (fencingToken < token || incarnation != session) {
            return null;
        }
        token = fencingToken;
        commands.forEach(this::execute);
        return currentHeartbeat();
    }

    private String nextNode() {
        List<String> alive = cluster.workerNetwork.aliveNodes();
        if (alive.isEmpty()) {
            node = null;
        } else if (node == null) {
            attemptsToReport++;
            node = alive.get(attemptsToReport % alive.size());
        } else if (!alive.contains(node)) {
            node = alive.get(attemptsToReport % alive.size());
        }
        return node;
    }

    private void reportIn(double seconds) {
        long heartbeatId = ++nextHeartbeatId;
        cluster.after(seconds, () -> sendIfStillNext(heartbeatId));
    }

    /** A task ended: reported at once, but at most every half second. */
    void changed() {
        changedSince |= inFlight;
        if (cluster.reportsChangesImmediately && !inFlight) {
            reportIn(
                    Math.max(
                            MIN_DELAY_SECONDS,
                            sentAt + MIN_HEARTBEAT_INTERVAL_SECONDS - cluster.clock.now));
        }
    }

    /** A node resets its connections: a heartbeat in flight to it is given up. */
    void resetBy(String resettingNode) {
        if (inFlight && resettingNode.equals(node)) {
            cluster.after(0.002, onGiveUp);
        }
    }

    boolean isHanging() {
        return cluster.clock.now < hangingUntil;
    }

    /** Runs an action as soon as the machine does not hang; never if the machine is gone. */
    void onResume(Runnable action) {
        if (!up) {
            return;
        }
        if (isHanging()) {
            cluster.after(hangingUntil - cluster.clock.now, () -> onResume(action));
        } else {
            action.run();
        }
    }

    /**
     * Sends a heartbeat, after the machine has resumed if it hangs, in place of any that is due.
     */
    public void report() {
        sendIfStillNext(++nextHeartbeatId);
    }

    /**
     * Guards against two heartbeats in flight, which the protocol excludes: while the machine
     * hangs, a change can bring forward the next heartbeat although one waits for it to resume.
     */
    private void sendIfStillNext(long heartbeatId) {
        if (!up || heartbeatId != nextHeartbeatId) {
            return;
        }
        if (isHanging()) {
            onResume(() -> sendIfStillNext(heartbeatId));
            return;
        }
        send();
    }

    private void send() {
        if (inFlight) {
            cluster.violations.add("two heartbeats in flight: " + id);
        }
        inFlight = true;
        changedSince = false;
        sentAt = cluster.clock.now;
        checkLease();
        String to = nextNode();
        long incarnation = session;
        double sent = cluster.clock.now;
        boolean[] isOver = new boolean[1];
        if (to != null && !isCutOff && !sendsNothing) {
            cluster.workerNetwork.heartbeat(
                    to,
                    currentHeartbeat(),
                    response -> {
                        if (!isOver[0] && mayReceive(incarnation)) {
                            isOver[0] = true;
                            receiveResponse(response, sent);
                        }
                    });
        }
        onGiveUp =
                () -> {
                    if (!isOver[0] && up) {
                        isOver[0] = true;
                        inFlight = false;
                        node = null;
                        reportIn(RETRY_SECONDS);
                    }
                };
        // Where nothing listens, that is known at once, and the next node is tried a second later.
        cluster.after(
                to == null || sendsNothing
                        ? UNREACHABLE_TIMEOUT_SECONDS
                        : HEARTBEAT_TIMEOUT_SECONDS,
                onGiveUp);
    }

    /** Whether a response to a heartbeat of that incarnation reaches it. */
    private boolean mayReceive(long incarnation) {
        return up && session == incarnation && !isCutOff && !receivesNothing;
    }

    /**
     * The lease expires once the last answered heartbeat was sent too long ago; its tasks are gone
     * then, and a new incarnation begins.
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
            onResume(() -> receiveAfterHanging(response, sent));
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
            double interval = cluster.heartbeatIntervalSeconds - (cluster.clock.now - sent);
            reportIn(Math.max(MIN_HEARTBEAT_INTERVAL_SECONDS, interval));
        }
    }

    /** Drops a response that came too late, or after the lease had expired. */
    private void receiveAfterHanging(HeartbeatResponse response, double sent) {
        if (cluster.clock.now - sent < HEARTBEAT_TIMEOUT_SECONDS
                && cluster.clock.now - lastAnsweredAt <= cluster.leaseSeconds) {
            receiveResponse(response, sent);
        } else {
            inFlight = false;
            reportIn(RETRY_SECONDS);
        }
    }

    /** Executes a command; one that does not fit the task's state has no effect. */
    public void execute(WorkerCommand command) {
        String key = command.jobId() + "/" + command.task() + "#" + command.attempt();
        SimulatedTask task = tasks.get(key);
        switch (command.action()) {
            case START -> {
                if (task == null) {
                    taskRunner.start(command, key);
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
}
