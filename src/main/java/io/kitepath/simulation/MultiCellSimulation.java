package io.kitepath.simulation;

import io.kitepath.core.model.CellDirectory;
import io.kitepath.core.model.CellMessage;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.Heartbeat.TaskState;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.port.Store;
import io.kitepath.core.service.JobSubmissionService;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Several cells, each a {@link SimulatedCluster} of its own, on one clock, with a network between
 * them that loses, doubles, delays and cuts. It watches the rules over all of them, knowing nothing
 * of how they are kept.
 */
public final class MultiCellSimulation {
    /**
     * Seconds that a task may still be on a machine once its user was told that it is cancelled.
     */
    private static final double CANCEL_SECONDS = 30;

    private static final Map<String, ClusterSettings.Team> TEAMS =
            Map.of(
                    "red",
                    new ClusterSettings.Team("red", 0, 0, 0, 0),
                    "blue",
                    new ClusterSettings.Team("blue", 0, 0, 0, 0));

    public final SimulatedClock clock = new SimulatedClock();

    /** Seconds between looks at every task on every machine. */
    public double checkIntervalSeconds = 0.25;

    public final Map<String, SimulatedCluster> clusters = new LinkedHashMap<>();

    /** "a>b": nothing gets from a to b. */
    public final Set<String> cutConnections = new HashSet<>();

    /** Shares of messages, with a seed. */
    public double lossProbability;

    public double duplicationProbability;
    public double delayProbability;
    public Predicate<CellMessage> loses = message -> false;

    /** Messages that the network keeps, to be delivered at some other time. */
    public Predicate<CellMessage> holdsBack = message -> false;

    public final List<Runnable> heldBackDeliveries = new ArrayList<>();
    public final List<CellMessage> heldBackMessages = new ArrayList<>();
    private final Random random;
    private final Map<String, Double> limits;

    /** The most CPUs that a team had on machines at once. */
    public final Map<String, Double> mostUsed = new HashMap<>();

    public final Map<String, JobSpec> specs = new HashMap<>();
    public final List<String> violations = new ArrayList<>();
    private final Map<String, String> reportedStatus = new HashMap<>();
    private final Map<String, Double> cancelledAt = new HashMap<>();
    private final Set<String> accepted = new HashSet<>();
    public long messages;

    /**
     * Cells that are homes, by name, and after them in the second list cells that only lend their
     * room.
     */
    public MultiCellSimulation(long seed, List<String> homes, List<String> rooms) {
        this(seed, homes, rooms, false);
    }

    /** {@code apart}: the cells know nothing of each other. */
    public MultiCellSimulation(long seed, List<String> homes, List<String> rooms, boolean apart) {
        this(seed, homes, rooms, apart, Map.of());
    }

    /** {@code limits}: CPUs of each team, of which every cell has an equal part at first. */
    public MultiCellSimulation(
            long seed,
            List<String> homes,
            List<String> rooms,
            boolean apart,
            Map<String, Double> limits) {
        this.limits = limits;
        this.random = new Random(seed);
        List<String> names = new ArrayList<>(homes);
        names.addAll(rooms);
        Map<String, ClusterSettings.Team> wholes = new LinkedHashMap<>(TEAMS);
        Map<String, ClusterSettings.Team> parts = new LinkedHashMap<>(TEAMS);
        limits.forEach(
                (t, cpus) -> {
                    wholes.put(t, new ClusterSettings.Team(t, 0, cpus, 0, 0));
                    parts.put(t, new ClusterSettings.Team(t, 0, cpus / names.size(), 0, 0));
                });
        for (String own : names) {
            Map<String, CellDirectory.Cell> cells = new LinkedHashMap<>();
            for (String n : names) {
                cells.put(
                        n,
                        new CellDirectory.Cell(
                                n,
                                homes.contains(n),
                                false,
                                List.of(n + "1", n + "2"),
                                Map.of(),
                                parts));
            }
            SimulatedCluster cluster =
                    new SimulatedCluster(
                            clock, this, apart ? null : new CellDirectory(1, own, cells));
            cluster.teams.putAll(apart ? parts : wholes);
            cluster.specs = specs;
            cluster.zones = List.of(own + "1", own + "2");
            cluster.type = new MachineType("m4", 4, 0, 16, 50, 1, 1.0, 0.4, 1000, cluster.zones);
            clusters.put(own, cluster);
        }
        checkInvariants();
    }

    public SimulatedCluster cluster(String cell) {
        return clusters.get(cell);
    }

    /** Nodes and machines of a cell. */
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

    public SimulatedNode anyAliveNode(String cell) {
        return clusters.get(cell).nodes.values().stream()
                .filter(node -> node.alive)
                .findFirst()
                .orElseThrow();
    }

    public SimulatedNode leader(String cell) {
        return clusters.get(cell).leader();
    }

    /** The process ends, and starts again after some seconds. */
    public void restart(SimulatedNode node, double afterS) {
        SimulatedCluster w =
                clusters.values().stream()
                        .filter(x -> x.nodes.get(node.name) == node)
                        .findFirst()
                        .orElseThrow();
        node.crash();
        clock.after(afterS, () -> w.node(node.name));
    }

    public void run(double s) {
        clock.run(s);
    }

    /** Runs until that holds, at most so long; returns the seconds, or fails. */
    public double runUntil(double mostS, BooleanSupplier holds) {
        double from = clock.now;
        while (!holds.getAsBoolean()) {
            if (clock.now - from > mostS) {
                throw new AssertionError("not within " + mostS + " s");
            }
            run(0.25);
        }
        return clock.now - from;
    }

    // ---- the network ----------------------------------------------------------------------------

    public void cutBetween(String a, String b) {
        cutConnections.add(a + ">" + b);
        cutConnections.add(b + ">" + a);
    }

    public void ask(
            SimulatedCluster from,
            SimulatedNode by,
            String cell,
            String node,
            CellMessage m,
            Consumer<CellMessage> answer) {
        messages++;
        SimulatedCluster cluster = clusters.get(cell);
        boolean[] heard = new boolean[1];
        Consumer<CellMessage> once =
                a ->
                        by.deliver(
                                () -> {
                                    if (!heard[0]) {
                                        heard[0] = true;
                                        answer.accept(a);
                                    }
                                });
        clock.after(1, () -> once.accept(null));
        String out = from.cellDirectory.ownCellName() + ">" + cell;
        String back = cell + ">" + from.cellDirectory.ownCellName();
        List<SimulatedNode> up = cluster.nodes.values().stream().filter(n -> n.alive).toList();
        SimulatedNode asked =
                node != null
                        ? cluster.nodes.get(node)
                        : up.isEmpty() ? null : up.get(random.nextInt(up.size()));
        if (asked == null || cutConnections.contains(out)) {
            return;
        }
        Consumer<SimulatedNode> deliver =
                n ->
                        n.deliver(
                                () ->
                                        n.controller
                                                .otherCells()
                                                .onMessage(
                                                        m,
                                                        a -> {
                                                            if (!cutConnections.contains(back)
                                                                    && !(a != null && loses.test(a))
                                                                    && random.nextDouble()
                                                                            >= lossProbability) {
                                                                clock.after(
                                                                        0.002,
                                                                        () -> once.accept(a));
                                                            }
                                                        }));
        if (holdsBack.test(m)) {
            // Late, it may reach whoever listens by then, the holder among them.
            heldBackDeliveries.add(() -> List.copyOf(cluster.nodes.values()).forEach(deliver));
            heldBackMessages.add(m);
            return;
        }
        // Whoever listens under that name by then gets it.
        Runnable delivery = () -> deliver.accept(cluster.nodes.get(asked.name));
        if (loses.test(m) || random.nextDouble() < lossProbability) {
            return;
        }
        clock.after(0.002, delivery);
        if (random.nextDouble() < duplicationProbability) {
            clock.after(0.002 + 5 * random.nextDouble(), delivery);
        }
        if (random.nextDouble() < delayProbability) {
            clock.after(60 * random.nextDouble(), delivery);
        }
    }

    // ---- users ----------------------------------------------------------------------------------

    /** An id whose home is that cell. */
    public String id(String home, int n) {
        CellDirectory directory = clusters.get(home).cellDirectory;
        for (int i = 1000 * n; ; i++) {
            if (directory == null || directory.homeCellOf("j-" + i).equals(home)) {
                return "j-" + i;
            }
        }
    }

    public Verdict submit(SimulatedNode node, JobSpec spec) {
        specs.put(spec.id(), spec);
        JobSubmissionService.JobResponse[] got = new JobSubmissionService.JobResponse[1];
        node.controller.jobApi().submit(spec, response -> got[0] = response);
        run(0.2);
        if (got[0] == null) {
            return Verdict.LATER;
        }
        checkAnswer(spec.id(), got[0]);
        return got[0].verdict();
    }

    /** As users do: again until there is an answer. */
    public void submitUntilAccepted(String cell, JobSpec spec) {
        runUntil(
                60,
                () -> {
                    Verdict v = submit(anyAliveNode(cell), spec);
                    return v == Verdict.CREATED || v == Verdict.KNOWN;
                });
    }

    public String status(SimulatedNode node, String id) {
        JobSubmissionService.JobResponse[] got = new JobSubmissionService.JobResponse[1];
        node.controller.jobApi().status(id, response -> got[0] = response);
        run(0.2);
        if (got[0] == null) {
            return "no answer";
        }
        checkAnswer(id, got[0]);
        return got[0].verdict() == Verdict.KNOWN
                ? got[0].jobStatus().status()
                : got[0].verdict().toString();
    }

    public String cancel(SimulatedNode node, String id) {
        JobSubmissionService.JobResponse[] got = new JobSubmissionService.JobResponse[1];
        node.controller.jobApi().cancel(id, response -> got[0] = response);
        run(0.2);
        if (got[0] == null) {
            return "no answer";
        }
        checkAnswer(id, got[0]);
        return got[0].verdict() == Verdict.KNOWN
                ? got[0].jobStatus().status()
                : got[0].verdict().toString();
    }

    // ---- the rules ------------------------------------------------------------------------------

    private void checkAnswer(String id, JobSubmissionService.JobResponse response) {
        if (response.verdict() == Verdict.NOT_FOUND && accepted.contains(id)) {
            violations.add("forgotten: " + id);
        }
        if (response.jobStatus() == null || response.verdict() == Verdict.LATER) {
            return;
        }
        accepted.add(id);
        String now = response.jobStatus().status();
        String before = reportedStatus.get(id);
        if (before != null && !before.equals(now)) {
            violations.add("went back: " + id + " was " + before + ", is " + now);
        }
        if (now.equals("done") || now.equals("cancelled")) {
            reportedStatus.put(id, now);
        }
        if (now.equals("cancelled")) {
            cancelledAt.putIfAbsent(id, clock.now);
        }
        if (now.equals("done") && tasksDone(id) < specs.get(id).taskCount()) {
            violations.add("not done: " + id);
        }
    }

    /** Tasks that have completed on some machine at some time. */
    public int tasksDone(String id) {
        Set<Integer> done = new HashSet<>();
        clusters.values()
                .forEach(cluster -> done.addAll(cluster.completedTasks.getOrDefault(id, Set.of())));
        return done.size();
    }

    public long tasksOnMachines(String id) {
        return clusters.values().stream().mapToLong(cluster -> cluster.onMachines(id)).sum();
    }

    private void checkInvariants() {
        Map<String, String> where = new HashMap<>();
        Map<String, Double> used = new HashMap<>();
        for (SimulatedCluster cluster : clusters.values()) {
            for (SimulatedWorker worker : cluster.workers.values()) {
                for (SimulatedTask task : worker.tasks.values()) {
                    if (!worker.up || task.state == TaskState.ENDED) {
                        continue;
                    }
                    String other = where.put(task.jobId + "/" + task.number, worker.id);
                    if (other != null) {
                        violations.add(
                                "twice: "
                                        + task.jobId
                                        + "/"
                                        + task.number
                                        + " on "
                                        + other
                                        + " and "
                                        + worker.id);
                    }
                    JobSpec spec = specs.get(task.jobId);
                    used.merge(spec.team(), spec.cpusPerTask(), Double::sum);
                    Double at = cancelledAt.get(task.jobId);
                    if (at != null && clock.now > at + CANCEL_SECONDS) {
                        violations.add(
                                "ran cancelled: "
                                        + task.jobId
                                        + "/"
                                        + task.number
                                        + " on "
                                        + worker.id);
                    }
                }
            }
        }
        used.forEach(
                (team, cpus) -> {
                    mostUsed.merge(team, cpus, Math::max);
                    if (cpus > limits.getOrDefault(team, Double.MAX_VALUE) + 1e-6) {
                        violations.add("quota: team " + team + " has " + cpus + " CPUs");
                    }
                });
        clock.after(checkIntervalSeconds, this::checkInvariants);
    }

    /** All that broke, in any cell. */
    public List<String> violations() {
        List<String> all = new ArrayList<>(violations);
        clusters.values().forEach(cluster -> all.addAll(cluster.violations));
        return all;
    }

    /** Records of jobs that are left in the stores, those of jobs that are over apart. */
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
     * What the stores say has come to cells and gone from them of all limits: nothing in all, once
     * all has arrived.
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
     * Sees every transaction that changes something about loans, with the cell and the node that
     * wrote it.
     */
    public void onLoanWrites(LoanWriteListener seen) {
        clusters.forEach(
                (c, cluster) ->
                        cluster.store.onCommit =
                                (client, transaction) -> {
                                    if (client instanceof SimulatedNode node
                                            && transaction.writes().stream()
                                                    .map(Store.Write::key)
                                                    .anyMatch(
                                                            key ->
                                                                    key.startsWith("jobs/lent/")
                                                                            || key.startsWith(
                                                                                    "jobs/guest/")
                                                                            || key.startsWith(
                                                                                    "kitepath/share/")
                                                                            || key.startsWith(
                                                                                    "jobs/leave/")
                                                                            || key.startsWith(
                                                                                    "kitepath/void/"))) {
                                        seen.written(c, node, transaction);
                                    }
                                });
    }

    public interface LoanWriteListener {
        void written(String cell, SimulatedNode node, Store.Transaction transaction);
    }
}
