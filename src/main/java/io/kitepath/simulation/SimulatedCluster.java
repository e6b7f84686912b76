package io.kitepath.simulation;

import io.kitepath.core.model.CellDirectory;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.Heartbeat.TaskState;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.port.Cloud;
import io.kitepath.core.service.JobSubmissionService;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * A cluster in memory: a clock, a state service, a cloud, workers and up to three controllers. Its
 * public fields are the settings and the faults of a test; they may change while it runs. Nothing
 * here waits for real time, and nothing is random without a seed. All of it runs on the thread that
 * calls {@link #run}.
 */
public final class SimulatedCluster {
    /** A user gives up a request about a job after that time; a later answer is dropped. */
    private static final double USER_TIMEOUT_SECONDS = 2;

    // ---- workers' timings -----------------------------------------------------------------------

    /** Time between two heartbeats of a worker. */
    public double heartbeatIntervalSeconds = 1;

    /** How long a worker's lease lasts after the last answered heartbeat was sent. */
    public double leaseSeconds = 10;

    /** How long the tasks of a cancelled job may still run. */
    public double cancelSeconds = 30;

    public final SimulatedClock clock;

    /** The simulation that this cluster is a cell of, or null. */
    public final MultiCellSimulation multiCell;

    public final CellDirectory cellDirectory;

    // ---- limits of the store and other settings -------------------------------------------------

    /** Requests per second that the settings allow. */
    public double requestsPerSecond = 1000;

    /** Writes per second that the settings allow. */
    public double writesPerSecond = 1000;

    /** The largest value that the settings allow. */
    public double valueKilobytes = 8;

    public final Map<String, ClusterSettings.Team> teams = new LinkedHashMap<>();

    /** Names of nodes that the settings list as siblings, whether or not they run. */
    public final List<String> siblings = new ArrayList<>();

    public final List<ClusterSettings.Objective> objectives = new ArrayList<>();

    // ---- what the cluster consists of -----------------------------------------------------------

    public final InMemoryStore store = new InMemoryStore(this);
    public final InMemoryCloud cloud = new InMemoryCloud();
    public final Map<String, SimulatedNode> nodes = new LinkedHashMap<>();

    /** How many processes have been started under each node's name; part of their seed. */
    final Map<String, Integer> processStarts = new HashMap<>();

    public final Map<String, SimulatedWorker> workers = new TreeMap<>();

    /** Ids of jobs whose tasks fail on every machine. */
    public final Set<String> jobsThatFailEverywhere = new HashSet<>();

    // ---- network --------------------------------------------------------------------------------

    /**
     * One-way latency of each request to the store or the cloud and of each response; null for
     * fixed latencies.
     */
    public DoubleSupplier latencySeconds;

    /**
     * Whether the next response of store or cloud is lost, so that its node sees an unknown
     * outcome.
     */
    public BooleanSupplier losesNextResponse = () -> false;

    /** How workers reach nodes. */
    public interface WorkerNetwork {
        /** Names of the nodes that a worker may try. */
        List<String> aliveNodes();

        /** Sends a heartbeat to a node; the answer may never come. */
        void heartbeat(String node, Heartbeat heartbeat, Consumer<HeartbeatResponse> answer);
    }

    /** Heartbeats of which a copy is kept until another node becomes leader. */
    public Predicate<Heartbeat> copiesHeartbeat = heartbeat -> false;

    /**
     * True: the copies are delivered to all nodes when a new leader is announced. False: to the new
     * leader alone, when a worker has accepted its first response.
     */
    public boolean deliversCopiesToAllNodes;

    /** How long after that the copies are delivered. */
    public double copyDeliveryDelaySeconds = 0.001;

    /** Copies delivered so far. */
    public int copiesDelivered;

    /** Delay of a duplicate of the next heartbeat, delivered to some node; 0 for no duplicate. */
    public DoubleSupplier duplicateDelaySeconds = () -> 0;

    private final InMemoryWorkerNetwork inMemoryNetwork = new InMemoryWorkerNetwork(this);

    /** How workers reach nodes; those in memory unless a test or an emulator replaces it. */
    public WorkerNetwork workerNetwork = inMemoryNetwork;

    /** Called with every worker that is created. */
    public Consumer<SimulatedWorker> onWorkerCreated = worker -> {};

    /** Whether no worker receives direct commands. */
    public boolean refusesDirectCommands;

    /** Whether direct commands of a node reach a worker, and the worker's response that node. */
    public BiPredicate<SimulatedNode, SimulatedWorker> directCommandReaches =
            (node, worker) -> true;

    /** One-way latency of direct commands. */
    public double directCommandDelaySeconds = 0.002;

    /**
     * How long the next direct command is held back, on a connection that its sender has given up
     * by then; 0 for not at all.
     */
    public DoubleSupplier directCommandHoldSeconds = () -> 0;

    /** Responses that workers dropped because of a stale fencing token. */
    public int responsesDropped;

    // ---- jobs and users -------------------------------------------------------------------------

    /**
     * How long a machine, given by its id, fetches an image that it does not have. If this is set,
     * the tasks of a gang wait for each other and time out; if null, they start at once.
     */
    public ToDoubleFunction<String> imageFetchSeconds;

    /** Every job that was submitted here, by id. */
    public Map<String, JobSpec> specs = new HashMap<>();

    /**
     * Whether users, once told that a job is accepted, done or cancelled, query all nodes and
     * submit again within milliseconds.
     */
    public boolean pollsRightAfterAnswers;

    /** Whether users cancel a job at the moment in which that task, its last, completes. */
    public Predicate<SimulatedTask> cancelsOnCompletion = task -> false;

    public final InvariantChecker invariants = new InvariantChecker(this);
    public final LoadGenerator loadGenerator = new LoadGenerator(this);

    /** How long a job's tasks run, by its id; null for the worker's own setting. */
    public ToDoubleFunction<String> taskSeconds;

    /** Whether workers send a heartbeat as soon as a task ends, as real ones do. */
    public boolean reportsChangesImmediately;

    /** Numbers of the tasks that completed, by job id. */
    public final Map<String, Set<Integer>> completedTasks = new HashMap<>();

    /** Every violation of a rule so far, in the order in which they were found. */
    public final List<String> violations = new ArrayList<>();

    /** The only machine type of this cluster. */
    public MachineType type =
            new MachineType("m4", 4, 0, 16, 50, 1, 1.0, 0.4, 40, List.of("a", "b"));

    public List<String> zones = List.of("a", "b");

    /** A cluster of its own, with its own clock. */
    public SimulatedCluster() {
        this(new SimulatedClock(), null, null);
    }

    /** One cell among others that share a clock; see {@link MultiCellSimulation}. */
    public SimulatedCluster(
            SimulatedClock clock, MultiCellSimulation multiCell, CellDirectory cellDirectory) {
        this.clock = clock;
        this.multiCell = multiCell;
        this.cellDirectory = cellDirectory;
        clock.clusters.add(this);
        teams.put("red", new ClusterSettings.Team("red", 0, 0, 0, 0));
    }

    /** Schedules an action on this cluster's clock. */
    public void after(double seconds, Runnable action) {
        clock.after(seconds, action);
    }

    /** One-way latency of the next message to store or cloud, unless its usual one is replaced. */
    double messageLatencySeconds(double usualSeconds) {
        return latencySeconds == null ? usualSeconds : latencySeconds.getAsDouble();
    }

    /** Lets simulated time pass and runs what falls due. */
    public void run(double seconds) {
        clock.run(seconds);
    }

    /** Lower limits of the store that the settings announce, or null. */
    public ClusterSettings.StoreLimits announcedStoreLimits;

    /** Ids of the jobs that each submitted job depends on, by its id. */
    public final Map<String, List<String>> dependencies = new HashMap<>();

    /** When each job was accepted, in simulated seconds, by id. */
    public final Map<String, Double> acceptedAt = new HashMap<>();

    /** When a user was first told that a job is cancelled, in simulated seconds, by id. */
    public final Map<String, Double> reportedCancelledAt = new HashMap<>();

    /** Ids of the jobs that a user was told are done. */
    public final Set<String> reportedDone = new HashSet<>();

    /** The settings that a node of that name starts with now. */
    public ClusterSettings settings(String node) {
        return new ClusterSettings(
                node,
                "a",
                siblings.stream().filter(s -> !s.equals(node)).toList(),
                zones,
                teams,
                objectives,
                new ClusterSettings.WorkerTimings(
                        heartbeatIntervalSeconds, leaseSeconds, 30, 5, cancelSeconds),
                announcedStoreLimits == null
                        ? limits()
                        : limits().tightenedBy(announcedStoreLimits),
                new ClusterSettings.CloudLimits(10, Math.max(2, cloud.listLagSeconds)),
                new ClusterSettings.ProcessLimits(1, 200, 1000),
                5);
    }

    private ClusterSettings.StoreLimits limits() {
        return new ClusterSettings.StoreLimits(
                requestsPerSecond, writesPerSecond, valueKilobytes, 40);
    }

    /** Starts a node; one that had the name before is no longer found under it. */
    public SimulatedNode node(String name) {
        SimulatedNode node = new SimulatedNode(this, name);
        nodes.put(name, node);
        node.controller.start();
        return node;
    }

    /**
     * The node that leads with the store's fencing token.
     *
     * @throws java.util.NoSuchElementException if there is none at the moment
     */
    public SimulatedNode leader() {
        return nodes.values().stream()
                .filter(
                        node ->
                                node.alive
                                        && node.controller.fencingTokenIfLeading()
                                                == store.leaderFencingToken())
                .findFirst()
                .orElseThrow();
    }

    /** Adds an on-demand machine whose worker sends its first heartbeat at once. */
    public SimulatedWorker worker(String id, String zone) {
        SimulatedWorker worker = new SimulatedWorker(this, id, zone);
        workers.put(id, worker);
        onWorkerCreated.accept(worker);
        cloud.machines.put(
                id, new Cloud.ListedMachine(id, type.name(), zone, false, "running", 60));
        after(0, worker::report);
        return worker;
    }

    /** Adds a spot instance; see {@link #worker}. */
    public SimulatedWorker spotWorker(String id, String zone) {
        SimulatedWorker worker = worker(id, zone);
        worker.spot = true;
        cloud.machines.put(id, new Cloud.ListedMachine(id, type.name(), zone, true, "running", 60));
        return worker;
    }

    /** The same job, allowed on spot instances, with that estimate of a task's run time. */
    public static JobSpec onSpot(JobSpec spec, double estimatedSeconds) {
        return spec.toBuilder().allowSpot(true).estimatedSeconds(estimatedSeconds).build();
    }

    /** A job of team red at normal priority whose tasks need 1 GB of memory each. */
    public static JobSpec job(String id, JobSpec.Shape shape, int taskCount, double cpusPerTask) {
        return JobSpec.builder(id)
                .jobClass("work")
                .team("red")
                .shape(shape)
                .priority(JobSpec.Priority.NORMAL)
                .taskCount(taskCount)
                .cpusPerTask(cpusPerTask)
                .memoryGigabytesPerTask(1)
                .image("img")
                .imageGigabytes(1)
                .estimatedSeconds(20)
                .build();
    }

    /** The same job for another team, at another priority, in a single zone or not. */
    public static JobSpec with(
            JobSpec spec, String team, JobSpec.Priority priority, boolean singleZone) {
        return spec.toBuilder().team(team).priority(priority).singleZone(singleZone).build();
    }

    /** Submits a job and waits 0.1 simulated seconds; null if there is no answer by then. */
    public JobSubmissionService.JobResponse submit(
            SimulatedNode node, JobSpec spec, String... dependencyIds) {
        JobSubmissionService.JobResponse[] received = new JobSubmissionService.JobResponse[1];
        double askedAt = clock.now;
        specs.put(spec.id(), spec);
        dependencies.putIfAbsent(spec.id(), List.of(dependencyIds));
        node.controller
                .jobApi()
                .submit(
                        spec,
                        List.of(dependencyIds),
                        response -> {
                            if (response.verdict() == JobSubmissionService.Verdict.CREATED
                                    || response.verdict() == JobSubmissionService.Verdict.KNOWN) {
                                invariants.accepted(spec.id());
                            }
                            received[0] = heard(spec.id(), response, askedAt);
                        });
        run(0.1);
        return received[0];
    }

    /** Cancels a job and waits 0.1 simulated seconds; null if there is no answer by then. */
    public JobSubmissionService.JobResponse cancel(SimulatedNode node, String id) {
        invariants.cancellationRequested(id);
        return request(id, answer -> node.controller.jobApi().cancel(id, answer));
    }

    /**
     * Cancels that many running jobs within a fifth of a second, while up to eight of their
     * machines hang for that time.
     *
     * @return the ids of the jobs
     */
    public List<String> cancelNow(int count, double hangSeconds, Random random) {
        return loadGenerator.cancelSome(count, hangSeconds, random);
    }

    /**
     * Queries a job's status and waits 0.1 simulated seconds; null if there is no answer by then.
     */
    public JobSubmissionService.JobResponse ask(SimulatedNode node, String id) {
        return request(id, answer -> node.controller.jobApi().status(id, answer));
    }

    /**
     * Makes a request as a user. An answer within the user's timeout is checked when it arrives,
     * also if that is after this method has returned.
     */
    private JobSubmissionService.JobResponse request(
            String id, Consumer<Consumer<JobSubmissionService.JobResponse>> call) {
        JobSubmissionService.JobResponse[] received = new JobSubmissionService.JobResponse[1];
        double askedAt = clock.now;
        call.accept(
                response -> {
                    if (clock.now - askedAt <= USER_TIMEOUT_SECONDS) {
                        received[0] = heard(id, response, askedAt);
                    }
                });
        run(0.1);
        return received[0];
    }

    /** Checks an answer that reaches a user who had sent the request at {@code askedAt}. */
    JobSubmissionService.JobResponse heard(
            String id, JobSubmissionService.JobResponse response, double askedAt) {
        invariants.checkAnswer(id, response, askedAt);
        if (response != null) {
            loadGenerator.onFinalAnswer(id, response);
        }
        return response;
    }

    /** A node has announced that it leads with that fencing token. */
    void onLeaderAnnounced(long fencingToken) {
        inMemoryNetwork.onLeaderAnnounced(fencingToken);
    }

    /** A worker has accepted a node's heartbeat response with that fencing token. */
    void onHeartbeatAnswered(String node, long fencingToken) {
        inMemoryNetwork.onHeartbeatAnswered(node, fencingToken);
    }

    /** The job's status as users read it, or the verdict if the job is not known. */
    public String status(SimulatedNode node, String id) {
        JobSubmissionService.JobResponse response = ask(node, id);
        return response.verdict() == JobSubmissionService.Verdict.KNOWN
                ? response.jobStatus().status()
                : response.verdict().toString();
    }

    /** How many tasks of the job are on machines and have not ended. */
    public long onMachines(String jobId) {
        return workers.values().stream()
                .filter(worker -> worker.up)
                .flatMap(worker -> worker.tasks.values().stream())
                .filter(task -> task.jobId.equals(jobId) && task.state != TaskState.ENDED)
                .count();
    }
}
