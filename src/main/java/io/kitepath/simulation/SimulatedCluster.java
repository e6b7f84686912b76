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
 * A small world in memory for stories: a clock, a store, a cloud, workers and up to three
 * controllers. Nothing here waits for real time, and nothing is random without a seed.
 */
public final class SimulatedCluster {
    /** Users wait so long for an answer about a job; what comes later is told to nobody. */
    private static final double USER_TIMEOUT_SECONDS = 2;

    /**
     * Seconds between a worker's reports, those of its lease, and those that tasks of a cancelled
     * job may take to go.
     */
    public double heartbeatIntervalSeconds = 1;

    public double leaseSeconds = 10;
    public double cancelSeconds = 30;

    public final SimulatedClock clock;

    /** The cells that this world is one of, or null. */
    public final MultiCellSimulation multiCell;

    public final CellDirectory cellDirectory;

    /** Requests and changes a second that the settings allow. */
    public double requestsPerSecond = 1000;

    public double writesPerSecond = 1000;

    /** And the size of values. */
    public double valueKilobytes = 8;

    public final Map<String, ClusterSettings.Team> teams = new LinkedHashMap<>();

    /** What the settings name as siblings, whether or not they run. */
    public final List<String> siblings = new ArrayList<>();

    public final List<ClusterSettings.Objective> objectives = new ArrayList<>();
    public final InMemoryStore store = new InMemoryStore(this);
    public final InMemoryCloud cloud = new InMemoryCloud();
    public final Map<String, SimulatedNode> nodes = new LinkedHashMap<>();

    /** How many processes have been started under each node's name. */
    final Map<String, Integer> processStarts = new HashMap<>();

    public final Map<String, SimulatedWorker> workers = new TreeMap<>();

    /** Jobs that fail on every machine. */
    public final Set<String> jobsThatFailEverywhere = new HashSet<>();

    /**
     * How long a request to the store or the cloud takes to get there, and its answer back; fixed
     * unless it is set.
     */
    public DoubleSupplier latencySeconds;

    /**
     * Whether the next answer of store or cloud is lost, which its node takes for an unknown
     * outcome.
     */
    public BooleanSupplier losesNextResponse = () -> false;

    /** How workers reach nodes. */
    public interface WorkerNetwork {
        /** The names of nodes that a worker may try. */
        List<String> aliveNodes();

        /** Reports to a node; there may be no answer. */
        void heartbeat(String node, Heartbeat heartbeat, Consumer<HeartbeatResponse> answer);
    }

    /** Reports of which a copy is kept until another node leads. */
    public Predicate<Heartbeat> copiesHeartbeat = heartbeat -> false;

    /**
     * Whether the copies come to every node as soon as it leads, else to itself once it has acted;
     * and how long after.
     */
    public boolean deliversCopiesToAllNodes;

    public double copyDeliveryDelaySeconds = 0.001;
    private final List<Heartbeat> copiedHeartbeats = new ArrayList<>();

    /** Copies that came that way. */
    public int copiesDelivered;

    private long leads;
    private long acts;

    /** How late a copy of the next report comes to some node; 0: there is none. */
    public DoubleSupplier duplicateDelaySeconds = () -> 0;

    /** To the nodes in memory, unless it is set to something else. */
    public WorkerNetwork workerNetwork =
            new WorkerNetwork() {
                @Override
                public List<String> aliveNodes() {
                    return nodes.values().stream().filter(n -> n.alive).map(n -> n.name).toList();
                }

                @Override
                public void heartbeat(
                        String node, Heartbeat heartbeat, Consumer<HeartbeatResponse> answer) {
                    SimulatedNode n = nodes.get(node);
                    if (copiesHeartbeat.test(heartbeat)) {
                        copiedHeartbeats.add(heartbeat);
                    }
                    double late = duplicateDelaySeconds.getAsDouble();
                    if (late > 0) {
                        // Whoever answers a copy is not heard.
                        after(
                                late,
                                () ->
                                        nodes.values().stream()
                                                .filter(x -> x.alive)
                                                .skip((long) (late * 7) % nodes.size())
                                                .findFirst()
                                                .ifPresent(
                                                        x ->
                                                                x.deliver(
                                                                        () ->
                                                                                x.controller
                                                                                        .onHeartbeat(
                                                                                                heartbeat,
                                                                                                response -> {}))));
                    }
                    after(
                            0.002,
                            () ->
                                    n.deliver(
                                            () ->
                                                    n.controller.onHeartbeat(
                                                            heartbeat,
                                                            response ->
                                                                    after(
                                                                            0.002,
                                                                            () ->
                                                                                    answer.accept(
                                                                                            response)))));
                }
            };

    /** Is told of every worker that there is from now on. */
    public Consumer<SimulatedWorker> onWorkerCreated = worker -> {};

    /** Workers get no direct commands. */
    public boolean refusesDirectCommands;

    /** Which worker a node's direct commands reach, and its answer that node. */
    public BiPredicate<SimulatedNode, SimulatedWorker> directCommandReaches =
            (node, worker) -> true;

    /** How late they come. */
    public double directCommandDelaySeconds = 0.002;

    /**
     * How late the next one comes on a connection that its sender has given up by then; 0: it is
     * not held up.
     */
    public DoubleSupplier directCommandHoldSeconds = () -> 0;

    /** Answers that workers had to drop, as their token was lower than one that they had seen. */
    public int responsesDropped;

    /**
     * How long a machine fetches an image that it does not have, by its name; with this set, the
     * tasks of a gang wait for each other, and give up after the settings' time.
     */
    public ToDoubleFunction<String> imageFetchSeconds;

    public Map<String, JobSpec> specs = new HashMap<>();

    /**
     * After an answer that a job is accepted, done or cancelled, users ask at all nodes, and
     * repeat, within milliseconds.
     */
    public boolean pollsRightAfterAnswers;

    /** Whether users call off the job whose last task completes, in that moment. */
    public Predicate<SimulatedTask> cancelsOnCompletion = task -> false;

    public final InvariantChecker invariants = new InvariantChecker(this);
    public final LoadGenerator loadGenerator = new LoadGenerator(this);

    /** How long a job's tasks run, by its id; null: as long as the machine's tasks do. */
    public ToDoubleFunction<String> taskSeconds;

    /** Whether workers report as soon as a task ends, as they do outside. */
    public boolean reportsChangesImmediately;

    /** Tasks that completed, by job. */
    public final Map<String, Set<Integer>> completedTasks = new HashMap<>();

    /** What broke: a task that starts while it is on another machine. */
    public final List<String> violations = new ArrayList<>();

    public MachineType type =
            new MachineType("m4", 4, 0, 16, 50, 1, 1.0, 0.4, 40, List.of("a", "b"));
    public List<String> zones = List.of("a", "b");

    public SimulatedCluster() {
        this(new SimulatedClock(), null, null);
    }

    /** One cell among others, which share a clock. */
    public SimulatedCluster(
            SimulatedClock clock, MultiCellSimulation around, CellDirectory cellDirectory) {
        this.clock = clock;
        this.multiCell = around;
        this.cellDirectory = cellDirectory;
        clock.clusters.add(this);
        teams.put("red", new ClusterSettings.Team("red", 0, 0, 0, 0));
    }

    public void after(double s, Runnable r) {
        clock.after(s, r);
    }

    /** What a message takes that usually takes so long. */
    double messageLatencySeconds(double usualS) {
        return latencySeconds == null ? usualS : latencySeconds.getAsDouble();
    }

    public void run(double seconds) {
        clock.run(seconds);
    }

    /** Limits of the store that the settings announce, or null. */
    public ClusterSettings.StoreLimits announcedStoreLimits;

    /** What jobs need that were handed in here, by id. */
    public final Map<String, List<String>> dependencies = new HashMap<>();

    /** When they were accepted. */
    public final Map<String, Double> acceptedAt = new HashMap<>();

    /** When users were told that a job is cancelled, by id. */
    public final Map<String, Double> reportedCancelledAt = new HashMap<>();

    /** And that it is done. */
    public final Set<String> reportedDone = new HashSet<>();

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

    public SimulatedNode node(String name) {
        SimulatedNode node = new SimulatedNode(this, name);
        nodes.put(name, node);
        node.controller.start();
        return node;
    }

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

    public SimulatedWorker worker(String id, String zone) {
        SimulatedWorker worker = new SimulatedWorker(this, id, zone);
        workers.put(id, worker);
        onWorkerCreated.accept(worker);
        cloud.machines.put(
                id, new Cloud.ListedMachine(id, type.name(), zone, false, "running", 60));
        after(0, worker::report);
        return worker;
    }

    public SimulatedWorker spotWorker(String id, String zone) {
        SimulatedWorker worker = worker(id, zone);
        worker.spot = true;
        cloud.machines.put(id, new Cloud.ListedMachine(id, type.name(), zone, true, "running", 60));
        return worker;
    }

    public static JobSpec onSpot(JobSpec spec, double estimateS) {
        return new JobSpec(
                spec.id(),
                spec.jobClass(),
                spec.team(),
                spec.shape(),
                spec.priority(),
                spec.taskCount(),
                spec.cpusPerTask(),
                spec.gpusPerTask(),
                spec.memoryGigabytesPerTask(),
                spec.machineTypes(),
                spec.zone(),
                spec.isSingleZone(),
                spec.isSpreadAcrossZones(),
                true,
                spec.image(),
                spec.imageGigabytes(),
                estimateS,
                spec.checkpointIntervalSeconds(),
                spec.checkpointSaveSeconds(),
                spec.deadlineSeconds());
    }

    public static JobSpec job(String id, JobSpec.Shape shape, int tasks, double cpus) {
        return new JobSpec(
                id,
                "work",
                "red",
                shape,
                JobSpec.Priority.NORMAL,
                tasks,
                cpus,
                0,
                1,
                null,
                null,
                false,
                false,
                false,
                "img",
                1,
                20,
                0,
                0,
                null);
    }

    public static JobSpec with(
            JobSpec spec, String team, JobSpec.Priority priority, boolean oneZone) {
        return new JobSpec(
                spec.id(),
                spec.jobClass(),
                team,
                spec.shape(),
                priority,
                spec.taskCount(),
                spec.cpusPerTask(),
                spec.gpusPerTask(),
                spec.memoryGigabytesPerTask(),
                spec.machineTypes(),
                spec.zone(),
                oneZone,
                spec.isSpreadAcrossZones(),
                spec.allowsSpot(),
                spec.image(),
                spec.imageGigabytes(),
                spec.estimatedSeconds(),
                spec.checkpointIntervalSeconds(),
                spec.checkpointSaveSeconds(),
                spec.deadlineSeconds());
    }

    public JobSubmissionService.JobResponse submit(
            SimulatedNode node, JobSpec spec, String... itsNeeds) {
        JobSubmissionService.JobResponse[] got = new JobSubmissionService.JobResponse[1];
        double asked = clock.now;
        specs.put(spec.id(), spec);
        dependencies.putIfAbsent(spec.id(), List.of(itsNeeds));
        node.controller
                .jobApi()
                .submit(
                        spec,
                        List.of(itsNeeds),
                        response -> {
                            if (response.verdict() == JobSubmissionService.Verdict.CREATED
                                    || response.verdict() == JobSubmissionService.Verdict.KNOWN) {
                                invariants.accepted(spec.id());
                            }
                            got[0] = heard(spec.id(), response, asked);
                        });
        run(0.1);
        return got[0];
    }

    public JobSubmissionService.JobResponse cancel(SimulatedNode node, String id) {
        invariants.cancellationRequested(id);
        return told(id, answer -> node.controller.jobApi().cancel(id, answer));
    }

    /**
     * So many jobs that run are called off within a fifth of a second; up to eight of their
     * machines hang so long.
     */
    public List<String> cancelNow(int count, double hangS, Random random) {
        return loadGenerator.cancelSome(count, hangS, random);
    }

    public JobSubmissionService.JobResponse ask(SimulatedNode node, String id) {
        return told(id, answer -> node.controller.jobApi().status(id, answer));
    }

    /**
     * What a user hears counts from the moment in which it does, also if that is later than the
     * caller waits here.
     */
    private JobSubmissionService.JobResponse told(
            String id, Consumer<Consumer<JobSubmissionService.JobResponse>> question) {
        JobSubmissionService.JobResponse[] got = new JobSubmissionService.JobResponse[1];
        double asked = clock.now;
        question.accept(
                response -> {
                    if (clock.now - asked <= USER_TIMEOUT_SECONDS) {
                        got[0] = heard(id, response, asked);
                    }
                });
        run(0.1);
        return got[0];
    }

    /** A user hears that; {@code asked}: when it asked. */
    JobSubmissionService.JobResponse heard(
            String id, JobSubmissionService.JobResponse response, double asked) {
        invariants.checkAnswer(id, response, asked);
        if (response != null) {
            loadGenerator.onFinalAnswer(id, response);
        }
        return response;
    }

    // ---- reports that are kept for another leader
    // -------------------------------------------------

    /** The node says that it leads with that token. */
    void leads(long token) {
        if (token > leads) {
            leads = token;
            if (deliversCopiesToAllNodes) {
                bringKept(List.copyOf(nodes.values()));
            }
        }
    }

    /** A worker was answered with that token. */
    void acts(String node, long token) {
        if (token > acts) {
            acts = token;
            if (!deliversCopiesToAllNodes && nodes.get(node) != null) {
                bringKept(List.of(nodes.get(node)));
            }
        }
    }

    private void bringKept(List<SimulatedNode> to) {
        List<Heartbeat> copies = List.copyOf(copiedHeartbeats);
        copiedHeartbeats.clear();
        after(
                copyDeliveryDelaySeconds,
                () ->
                        copies.forEach(
                                heartbeat ->
                                        to.stream()
                                                .filter(node -> node.alive)
                                                .forEach(
                                                        node -> {
                                                            copiesDelivered++;
                                                            node.deliver(
                                                                    () ->
                                                                            node.controller
                                                                                    .onHeartbeat(
                                                                                            heartbeat,
                                                                                            response -> {}));
                                                        })));
    }

    public String status(SimulatedNode node, String id) {
        JobSubmissionService.JobResponse response = ask(node, id);
        return response.verdict() == JobSubmissionService.Verdict.KNOWN
                ? response.jobStatus().status()
                : response.verdict().toString();
    }

    /** How many tasks of the job are on machines. */
    public long onMachines(String jobId) {
        return workers.values().stream()
                .filter(worker -> worker.up)
                .flatMap(worker -> worker.tasks.values().stream())
                .filter(task -> task.jobId.equals(jobId) && task.state != TaskState.ENDED)
                .count();
    }
}
