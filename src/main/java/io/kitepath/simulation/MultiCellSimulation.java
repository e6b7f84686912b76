package io.kitepath.simulation;

import io.kitepath.core.model.CellDirectory;
import io.kitepath.core.model.CellMessage;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.port.Store;
import io.kitepath.core.service.JobSubmissionService.JobResponse;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Several cells, each a {@link SimulatedCluster} of its own, on one clock, with a {@link
 * CellNetwork} between them whose faults are set here. {@link MultiCellInvariants} checks the rules
 * over all of them, without knowing how they are kept. All of it runs on one thread.
 */
public final class MultiCellSimulation {
    private static final Map<String, ClusterSettings.Team> TEAMS =
            Map.of(
                    "red",
                    new ClusterSettings.Team("red", 0, 0, 0, 0),
                    "blue",
                    new ClusterSettings.Team("blue", 0, 0, 0, 0));

    private static final List<String> LOAN_PREFIXES =
            List.of(
                    "jobs/lent/",
                    "jobs/guest/",
                    "kitepath/share/",
                    "jobs/leave/",
                    "kitepath/void/");

    /** The clock that all cells share. */
    public final SimulatedClock clock = new SimulatedClock();

    /** How often every task on every machine is checked against the rules. */
    public double checkIntervalSeconds = 0.25;

    /** The cells, by name. */
    public final Map<String, SimulatedCluster> clusters = new LinkedHashMap<>();

    /** Cut directions of the network: with {@code "a>b"} nothing gets from cell a to cell b. */
    public final Set<String> cutConnections = new HashSet<>();

    /** How likely a message or an answer is lost. */
    public double lossProbability;

    /** How likely a message is delivered a second time within seconds. */
    public double duplicationProbability;

    /** How likely a message is delivered once more within a minute. */
    public double delayProbability;

    /** Messages and answers that are lost in any case. */
    public Predicate<CellMessage> loses = message -> false;

    /** Messages that the network holds back until a test delivers them. */
    public Predicate<CellMessage> holdsBack = message -> false;

    /** Delivers a held back message, one entry for each, to all nodes of its cell. */
    public final List<Runnable> heldBackDeliveries = new ArrayList<>();

    public final List<CellMessage> heldBackMessages = new ArrayList<>();
    private final CellNetwork network;
    private final MultiCellInvariants invariants;

    /** The most CPUs that each team had on machines at once, over all cells. */
    public final Map<String, Double> mostUsed = new HashMap<>();

    /** Every job that was submitted, by id; shared by all cells. */
    public final Map<String, JobSpec> specs = new HashMap<>();

    /** Violations of the rules over all cells; {@link #violations()} has those of each cell too. */
    public final List<String> violations = new ArrayList<>();

    /** Messages that cells have sent to each other. */
    public long messages;

    /**
     * Cells without limits for teams.
     *
     * @param homes names of cells that jobs belong to
     * @param rooms names of cells that only run tasks of others
     */
    public MultiCellSimulation(long seed, List<String> homes, List<String> rooms) {
        this(seed, homes, rooms, false);
    }

    /** The same; with {@code apart} the cells know nothing of each other. */
    public MultiCellSimulation(long seed, List<String> homes, List<String> rooms, boolean apart) {
        this(seed, homes, rooms, apart, Map.of());
    }

    /** The same, with a limit of CPUs for each team, of which cells have equal parts at first. */
    public MultiCellSimulation(
            long seed,
            List<String> homes,
            List<String> rooms,
            boolean apart,
            Map<String, Double> limits) {
        this.network = new CellNetwork(this, new Random(seed));
        this.invariants = new MultiCellInvariants(this, limits);
        List<String> names = new ArrayList<>(homes);
        names.addAll(rooms);
        Map<String, ClusterSettings.Team> wholes = new LinkedHashMap<>(TEAMS);
        Map<String, ClusterSettings.Team> parts = new LinkedHashMap<>(TEAMS);
        limits.forEach(
                (team, cpus) -> {
                    wholes.put(team, new ClusterSettings.Team(team, 0, cpus, 0, 0));
                    parts.put(team, new ClusterSettings.Team(team, 0, cpus / names.size(), 0, 0));
                });
        for (String own : names) {
            Map<String, CellDirectory.Cell> cells = directoryCells(names, homes, parts);
            SimulatedCluster cluster =
                    new SimulatedCluster(
                            clock, this, apart ? null : new CellDirectory(1, own, cells));
            cluster.teams.putAll(apart ? parts : wholes);
            cluster.specs = specs;
            cluster.zones = List.of(own + "1", own + "2");
            cluster.type = new MachineType("m4", 4, 0, 16, 50, 1, 1.0, 0.4, 1000, cluster.zones);
            clusters.put(own, cluster);
        }
        invariants.checkPeriodically();
    }

    private static Map<String, CellDirectory.Cell> directoryCells(
            List<String> names, List<String> homes, Map<String, ClusterSettings.Team> parts) {
        Map<String, CellDirectory.Cell> cells = new LinkedHashMap<>();
        for (String name : names) {
            List<String> zones = List.of(name + "1", name + "2");
            cells.put(
                    name,
                    new CellDirectory.Cell(
                            name, homes.contains(name), false, zones, Map.of(), parts));
        }
        return cells;
    }

    /** The cell of that name, or null. */
    public SimulatedCluster cluster(String cell) {
        return clusters.get(cell);
    }

    /** Starts that many nodes and machines in a cell. */
    public void cell(String cell, int nodes, int machines) {
        SimulatedCluster cluster = clusters.get(cell);
        for (int i = 0; i < nodes; i++) {
            cluster.siblings.add(cell + "-k" + i);
        }
        for (int i = 0; i < nodes; i++) {
            cluster.node(cell + "-k" + i);
        }
        for (int i = 0; i < machines; i++) {
            cluster.worker(String.format("i-%s-%04d", cell, i), cell + (1 + i % 2));
        }
    }

    /**
     * The first node of a cell that is alive.
     *
     * @throws java.util.NoSuchElementException if there is none
     */
    public SimulatedNode anyAliveNode(String cell) {
        return clusters.get(cell).nodes.values().stream()
                .filter(node -> node.alive)
                .findFirst()
                .orElseThrow();
    }

    /** The leader of a cell; see {@link SimulatedCluster#leader}. */
    public SimulatedNode leader(String cell) {
        return clusters.get(cell).leader();
    }

    /** Crashes a node and starts it again after some seconds. */
    public void restart(SimulatedNode node, double delaySeconds) {
        SimulatedCluster cluster =
                clusters.values().stream()
                        .filter(candidate -> candidate.nodes.get(node.name) == node)
                        .findFirst()
                        .orElseThrow();
        node.crash();
        clock.after(delaySeconds, () -> cluster.node(node.name));
    }

    /** Lets simulated time pass and runs what falls due. */
    public void run(double seconds) {
        clock.run(seconds);
    }

    /**
     * Lets simulated time pass until a condition holds.
     *
     * @return how many seconds that took
     * @throws AssertionError if it does not hold in time
     */
    public double runUntil(double maxSeconds, BooleanSupplier condition) {
        double start = clock.now;
        while (!condition.getAsBoolean()) {
            if (clock.now - start > maxSeconds) {
                throw new AssertionError("not within " + maxSeconds + " s");
            }
            run(0.25);
        }
        return clock.now - start;
    }

    // ---- the network ----------------------------------------------------------------------------

    /** Cuts the network between two cells in both directions. */
    public void cutBetween(String a, String b) {
        cutConnections.add(a + ">" + b);
        cutConnections.add(b + ">" + a);
    }

    /** Sends a message of a cell's node to another cell; see {@link CellNetwork#ask}. */
    public void ask(
            SimulatedCluster from,
            SimulatedNode sender,
            String cell,
            String node,
            CellMessage message,
            Consumer<CellMessage> answer) {
        network.ask(from, sender, cell, node, message, answer);
    }

    // ---- users ----------------------------------------------------------------------------------

    /** The n-th job id whose home is that cell. */
    public String id(String home, int n) {
        CellDirectory directory = clusters.get(home).cellDirectory;
        for (int i = 1000 * n; ; i++) {
            if (directory == null || directory.homeCellOf("j-" + i).equals(home)) {
                return "j-" + i;
            }
        }
    }

    /** Submits a job; {@link Verdict#LATER} also if there is no answer in time. */
    public Verdict submit(SimulatedNode node, JobSpec spec) {
        specs.put(spec.id(), spec);
        return request(spec.id(), answer -> node.controller.jobApi().submit(spec, answer))
                .map(JobResponse::verdict)
                .orElse(Verdict.LATER);
    }

    /**
     * Submits a job, again and again as users do, until it is accepted.
     *
     * @throws AssertionError if it is not within a minute
     */
    public void submitUntilAccepted(String cell, JobSpec spec) {
        runUntil(
                60,
                () -> {
                    Verdict verdict = submit(anyAliveNode(cell), spec);
                    return verdict == Verdict.CREATED || verdict == Verdict.KNOWN;
                });
    }

    /** The job's status as users read it, or the verdict if it is not known, or "no answer". */
    public String status(SimulatedNode node, String id) {
        return statusText(request(id, answer -> node.controller.jobApi().status(id, answer)));
    }

    /** Cancels a job; what the answer says is as for {@link #status}. */
    public String cancel(SimulatedNode node, String id) {
        return statusText(request(id, answer -> node.controller.jobApi().cancel(id, answer)));
    }

    /** Makes a request as a user and checks the answer, if it comes within a fifth of a second. */
    private Optional<JobResponse> request(String id, Consumer<Consumer<JobResponse>> call) {
        JobResponse[] received = new JobResponse[1];
        call.accept(response -> received[0] = response);
        run(0.2);
        Optional<JobResponse> response = Optional.ofNullable(received[0]);
        response.ifPresent(present -> invariants.checkAnswer(id, present));
        return response;
    }

    private static String statusText(Optional<JobResponse> response) {
        return response.map(
                        present ->
                                present.verdict() == Verdict.KNOWN
                                        ? present.jobStatus().status()
                                        : present.verdict().toString())
                .orElse("no answer");
    }

    // ---- the rules ------------------------------------------------------------------------------

    /** How many tasks of the job have completed, in any cell. */
    public int tasksDone(String id) {
        Set<Integer> done = new HashSet<>();
        clusters.values()
                .forEach(cluster -> done.addAll(cluster.completedTasks.getOrDefault(id, Set.of())));
        return done.size();
    }

    /** How many tasks of the job are on machines and have not ended, in all cells. */
    public long tasksOnMachines(String id) {
        return clusters.values().stream().mapToLong(cluster -> cluster.onMachines(id)).sum();
    }

    /** All violations: those over all cells, then those of each cell. */
    public List<String> violations() {
        List<String> all = new ArrayList<>(violations);
        clusters.values().forEach(cluster -> all.addAll(cluster.violations));
        return all;
    }

    /** Keys of records about jobs in the cells' stores, except those of jobs that have ended. */
    public List<String> leftoverRecords() {
        List<String> out = new ArrayList<>();
        clusters.forEach(
                (c, cluster) ->
                        cluster.store.entries.keySet().stream()
                                .filter(
                                        key ->
                                                key.startsWith("jobs/")
                                                        && !key.startsWith("jobs/over/"))
                                .forEach(key -> out.add(c + ":" + key)));
        return out;
    }

    /**
     * What does not balance in the records of quota shares that cells have lent each other: shares
     * under way, and a sum other than zero.
     */
    public List<String> unbalancedShares() {
        List<String> out = new ArrayList<>();
        long[] sum = new long[1];
        clusters.forEach(
                (c, cluster) ->
                        cluster.store.entries.values().stream()
                                .filter(entry -> entry.key().startsWith("kitepath/share/"))
                                .forEach(
                                        entry -> {
                                            DocumentReader document =
                                                    DocumentReader.of(entry.value());
                                            sum[0] +=
                                                    document.integer(
                                                            "cpus", Long.MIN_VALUE, Long.MAX_VALUE);
                                            if (!document.list("out").isEmpty()) {
                                                out.add(
                                                        c
                                                                + " has "
                                                                + document.list("out")
                                                                + " under way");
                                            }
                                        }));
        if (sum[0] != 0) {
            out.add(sum[0] + " thousandths came from nowhere");
        }
        return out;
    }

    /**
     * Calls the listener for every transaction that changes a record about loans, with the cell and
     * the node that wrote it.
     */
    public void onLoanWrites(LoanWriteListener listener) {
        clusters.forEach(
                (cell, cluster) ->
                        cluster.store.onCommit =
                                (client, transaction) -> {
                                    if (client instanceof SimulatedNode node
                                            && writesLoans(transaction)) {
                                        listener.written(cell, node, transaction);
                                    }
                                });
    }

    private static boolean writesLoans(Store.Transaction transaction) {
        return transaction.writes().stream()
                .map(Store.Write::key)
                .anyMatch(key -> LOAN_PREFIXES.stream().anyMatch(key::startsWith));
    }

    /** Sees writes of records about loans. */
    public interface LoanWriteListener {
        /** A node of that cell has committed that transaction. */
        void written(String cell, SimulatedNode node, Store.Transaction transaction);
    }
}
