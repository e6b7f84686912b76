package io.kitepath.simulation;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * One rehearsal: several cells under load, with failures, in simulated time; what their users got,
 * what it cost, and whether a rule broke. The same plan gives the same result.
 */
public final class Rehearsal {
    /**
     * Cells apart, cells that hand work to each other, or one cell with all the machines of all.
     */
    public enum Topology {
        APART,
        CELLS,
        WHOLE
    }

    /**
     * What breaks.
     *
     * @param kind {@code nodes} end, {@code store} is away, {@code network} to the other cells is
     *     cut, {@code holder} ends, {@code freeze}: the holder stands still, {@code zone}: half of
     *     the machines are cut off
     * @param cell which one, from 0
     * @param atSeconds after the load began, in seconds
     * @param durationSeconds how long, in seconds
     */
    public record Fault(String kind, int cell, double atSeconds, double durationSeconds) {}

    /**
     * What is played.
     *
     * @param cells how many
     * @param machines in each, of 16 CPUs
     * @param load what each cell is asked for, of what its machines can do
     * @param hotCellShare how many times as much the first cell is asked for
     * @param durationSeconds for how long jobs come, in seconds
     * @param networkFaultProbability shares of messages between cells that are lost, doubled and
     *     late
     */
    public record Plan(
            int cells,
            int machines,
            double load,
            double hotCellShare,
            double durationSeconds,
            double networkFaultProbability,
            long seed,
            List<Fault> faults) {}

    /**
     * What came of it.
     *
     * @param hot milliseconds from submission to the first start of each task, of the first cell
     * @param others the same of the other cells
     * @param served by class and team: jobs that were done in time, and all
     * @param handOvers loans, {@code messages} between cells, {@code changes} of the stores
     * @param refusals tries to submit that were not accepted at once
     * @param simulatedSeconds from the end of the load until all was done
     * @param realSeconds of this machine's time
     */
    public record Result(
            long jobs,
            long tasks,
            long starts,
            Histogram hot,
            Histogram others,
            Map<String, int[]> served,
            long handOvers,
            long messages,
            long changes,
            long refusals,
            double simulatedSeconds,
            double realSeconds,
            List<String> violations,
            long unfinished) {
        /** The lowest share served of any class or team. */
        public double leastServedShare() {
            return served.values().stream().mapToDouble(x -> (double) x[0] / x[1]).min().orElse(1);
        }
    }

    private static final double CPUS = 16;

    /** What is expected: done within that time. */
    private static final double WAIT_OBJECTIVE_SECONDS = 120;

    /** How long after the load everything may take. */
    private static final double MAX_DRAIN_SECONDS = 1800;

    private final Plan plan;
    private final Topology topology;
    private final MultiCellSimulation cells;
    private final Random random;
    private final Map<String, PlannedJob> plannedJobs = new HashMap<>();
    private final Histogram hot = new Histogram(3);
    private final Histogram others = new Histogram(3);
    private final Map<String, int[]> served = new TreeMap<>();
    private long starts;
    private long refusals;
    private long tasks;
    private int open;

    /** A job that comes, or has come. */
    private static final class PlannedJob {
        private final JobSpec spec;
        private final int cell;
        private final double runS;
        private double at;
        private final BitSet started = new BitSet();
        private final BitSet done = new BitSet();

        PlannedJob(JobSpec spec, int cell, double runS) {
            this.spec = spec;
            this.cell = cell;
            this.runS = runS;
        }
    }

    /** Prepares the plan; nothing runs until {@link #play}. */
    public Rehearsal(Plan plan, Topology way) {
        this.plan = plan;
        this.topology = way;
        this.random = new Random(plan.seed);
        List<String> names = new ArrayList<>();
        for (int i = 0; i < (way == Topology.WHOLE ? 1 : plan.cells); i++) {
            names.add("c" + i);
        }
        this.cells = new MultiCellSimulation(plan.seed, names, List.of(), way != Topology.CELLS);
        cells.checkIntervalSeconds = 2;
        cells.lossProbability = plan.networkFaultProbability;
        cells.duplicationProbability = plan.networkFaultProbability;
        cells.delayProbability = plan.networkFaultProbability / 2;
        for (String c : names) {
            SimulatedCluster cluster = cells.cluster(c);
            cluster.heartbeatIntervalSeconds = 4;
            cluster.leaseSeconds = 20;
            cluster.reportsChangesImmediately = true;
            cluster.writesPerSecond = 250 * (way == Topology.WHOLE ? plan.cells : 1);
            cluster.type = new MachineType("m16", CPUS, 0, 64, 50, 1, 1.0, 0.4, 1e6, cluster.zones);
            cluster.objectives.add(
                    new ClusterSettings.Objective(
                            "finished", "tiles", WAIT_OBJECTIVE_SECONDS, 1, 0.9));
            cluster.objectives.add(
                    new ClusterSettings.Objective(
                            "finished", "plates", WAIT_OBJECTIVE_SECONDS, 1, 0.9));
            cluster.taskSeconds = id -> plannedJobs.get(id).runS;
            cells.cell(c, 2, plan.machines * (way == Topology.WHOLE ? plan.cells : 1));
        }
        cells.clock.onTaskStart = this::started;
        cells.clock.onTaskEnd = this::ended;
    }

    // ---- load -----------------------------------------------------------------------------------

    private double exponential(double perS) {
        return -Math.log(1 - random.nextDouble()) / perS;
    }

    private void planJobs() {
        int n = 0;
        for (int cell = 0; cell < plan.cells; cell++) {
            double cpus = plan.load * plan.machines * CPUS * (cell == 0 ? plan.hotCellShare : 1);
            // Two thirds of the work are arrays, a third gangs; by their mean work.
            double tilesPerS = cpus * 2 / 3 / (66 * 20);
            double platesPerS = cpus / 3 / (3.75 * 8 * 40);
            for (double t = exponential(tilesPerS);
                    t < plan.durationSeconds;
                    t += exponential(tilesPerS)) {
                int size = (int) Math.max(1, Math.min(1000, 40 * Math.exp(random.nextGaussian())));
                planJob(t, cell, ++n, "tiles", JobSpec.Shape.ARRAY, size, 1, 20);
            }
            for (double t = exponential(platesPerS);
                    t < plan.durationSeconds;
                    t += exponential(platesPerS)) {
                planJob(t, cell, ++n, "plates", JobSpec.Shape.GANG, 1 << random.nextInt(4), 8, 40);
            }
        }
    }

    private void planJob(
            double t,
            int cell,
            int n,
            String jobClass,
            JobSpec.Shape shape,
            int size,
            double cpus,
            double estimateS) {
        String home = "c" + (topology == Topology.WHOLE ? 0 : cell);
        JobSpec spec =
                JobSpec.builder(cells.id(home, n))
                        .jobClass(jobClass)
                        .team(random.nextBoolean() ? "red" : "blue")
                        .shape(shape)
                        .priority(
                                shape == JobSpec.Shape.GANG
                                        ? JobSpec.Priority.HIGH
                                        : JobSpec.Priority.NORMAL)
                        .taskCount(size)
                        .cpusPerTask(cpus)
                        .memoryGigabytesPerTask(2)
                        .image("img")
                        .imageGigabytes(1)
                        .estimatedSeconds(estimateS)
                        .build();
        PlannedJob arrival =
                new PlannedJob(spec, cell, estimateS * (0.8 + 0.4 * random.nextDouble()));
        plannedJobs.put(spec.id(), arrival);
        open++;
        tasks += size;
        cells.specs.put(spec.id(), spec);
        cells.clock.after(
                t,
                () -> {
                    arrival.at = cells.clock.now;
                    submit(arrival, home);
                });
    }

    private void submit(PlannedJob arrival, String home) {
        List<SimulatedNode> up =
                cells.cluster(home).nodes.values().stream().filter(node -> node.alive).toList();
        boolean[] heard = new boolean[1];
        Runnable again =
                () -> {
                    if (!heard[0]) {
                        heard[0] = true;
                        refusals++;
                        cells.clock.after(1 + random.nextDouble(), () -> submit(arrival, home));
                    }
                };
        cells.clock.after(5, again);
        if (up.isEmpty()) {
            again.run();
            return;
        }
        up.get(random.nextInt(up.size()))
                .controller
                .jobApi()
                .submit(
                        arrival.spec,
                        response -> {
                            if (response.verdict() == Verdict.LATER) {
                                again.run();
                            } else {
                                heard[0] = true;
                            }
                        });
    }

    private void started(SimulatedTask task) {
        starts++;
        PlannedJob arrival = plannedJobs.get(task.jobId);
        if (!arrival.started.get(task.number)) {
            arrival.started.set(task.number);
            (arrival.cell == 0 ? hot : others)
                    .recordValue(Math.max(0, Math.round(1000 * (cells.clock.now - arrival.at))));
        }
    }

    private void ended(SimulatedTask task) {
        PlannedJob arrival = plannedJobs.get(task.jobId);
        if (arrival.done.cardinality() == arrival.spec.taskCount()) {
            return;
        }
        if (arrival.spec.isGang()) {
            arrival.done.set(0, arrival.spec.taskCount()); // They complete together.
        }
        arrival.done.set(task.number);
        if (arrival.done.cardinality() == arrival.spec.taskCount()) {
            open--;
            boolean inTime = cells.clock.now - arrival.at <= WAIT_OBJECTIVE_SECONDS;
            countServed("class " + arrival.spec.jobClass(), inTime);
            countServed("team " + arrival.spec.team(), inTime);
        }
    }

    private void countServed(String group, boolean inTime) {
        int[] x = served.computeIfAbsent(group, key -> new int[2]);
        x[0] += inTime ? 1 : 0;
        x[1]++;
    }

    // ---- failures -------------------------------------------------------------------------------

    private void scheduleFault(Fault fault) {
        String cell = "c" + fault.cell;
        SimulatedCluster cluster = cells.cluster(cell);
        if (cluster != null) {
            cells.clock.after(fault.atSeconds, () -> injectFault(fault, cell, cluster));
        }
    }

    private void injectFault(Fault fault, String cell, SimulatedCluster cluster) {
        double seconds = fault.durationSeconds;
        List<SimulatedNode> alive =
                cluster.nodes.values().stream().filter(node -> node.alive).toList();
        Optional<SimulatedNode> leader =
                alive.stream()
                        .filter(node -> node.controller.fencingTokenIfLeading() > 0)
                        .findFirst();
        switch (fault.kind) {
            case "nodes" -> alive.forEach(node -> cells.restart(node, seconds));
            case "store" -> cluster.store.outage(seconds);
            case "network" -> cutNetwork(cell, seconds);
            case "holder" -> leader.ifPresent(node -> cells.restart(node, seconds));
            case "freeze" -> leader.ifPresent(node -> node.frozenUntil = cells.clock.now + seconds);
            case "zone" -> cutFirstZone(cell, cluster, seconds);
            default -> throw new IllegalArgumentException("no such fault: " + fault.kind);
        }
    }

    private void cutNetwork(String cell, double seconds) {
        for (String other : cells.clusters.keySet()) {
            cells.cutBetween(cell, other);
        }
        cells.clock.after(
                seconds,
                () ->
                        cells.cutConnections.removeIf(
                                cut -> cut.startsWith(cell + ">") || cut.endsWith(">" + cell)));
    }

    private void cutFirstZone(String cell, SimulatedCluster cluster, double seconds) {
        List<SimulatedWorker> workers =
                cluster.workers.values().stream()
                        .filter(worker -> worker.zone.equals(cell + "1"))
                        .toList();
        workers.forEach(worker -> worker.isCutOff = true);
        cells.clock.after(seconds, () -> workers.forEach(worker -> worker.isCutOff = false));
    }

    // ---- the whole ------------------------------------------------------------------------------

    /** Plays it. */
    public Result play() {
        long began = System.nanoTime();
        cells.run(15);
        planJobs();
        plan.faults.forEach(this::scheduleFault);
        cells.run(plan.durationSeconds);
        double from = cells.clock.now;
        while (open > 0 && cells.clock.now - from < MAX_DRAIN_SECONDS) {
            cells.run(1);
        }
        double tookS = cells.clock.now - from;
        for (PlannedJob arrival : plannedJobs.values()) {
            if (arrival.done.cardinality() < arrival.spec.taskCount()) {
                countServed("class " + arrival.spec.jobClass(), false);
                countServed("team " + arrival.spec.team(), false);
            }
        }
        // What is lent, lost in a message or late has its time to do harm.
        cells.run(90);
        List<String> broken = new ArrayList<>(cells.violations());
        if (topology == Topology.CELLS && open == 0) {
            cells.leftoverRecords().stream()
                    .limit(3)
                    .forEach(key -> broken.add("left over: " + key));
        }
        Collection<SimulatedCluster> all = cells.clusters.values();
        long handOvers = 0;
        for (SimulatedCluster cluster : all) {
            for (SimulatedNode node : cluster.nodes.values()) {
                handOvers += metricValue(node, "cells.lent");
            }
        }
        return new Result(
                plannedJobs.size(),
                tasks,
                starts,
                hot,
                others,
                served,
                handOvers,
                cells.messages,
                all.stream().mapToLong(cluster -> cluster.store.writeCount).sum(),
                refusals,
                tookS,
                (System.nanoTime() - began) / 1e9,
                broken,
                open);
    }

    private static long metricValue(SimulatedNode node, String name) {
        var f = node.controller.metrics().get(name);
        return f == null ? 0 : (long) f.value().getAsDouble();
    }
}
