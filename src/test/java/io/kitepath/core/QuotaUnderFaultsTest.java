package io.kitepath.core;

import static io.kitepath.core.ConcurrentFaultsTest.other;
import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.model.MachineType;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedTask;
import io.kitepath.simulation.SimulatedWorker;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Teams at their limits while jobs of theirs are called off on machines that can't be asked, and
 * the leader changes: what may still run counts until something proves it over, what is proven over
 * is used once and at once, and nothing stays taken for good. {@code cancel_s} is hardly twice the
 * lease, the lease five reports.
 */
class QuotaUnderFaultsTest {
    static final List<String> TEAMS = List.of("red", "blue", "green");

    /** Longer than any test runs, in seconds. */
    private static final double ALWAYS = 1000;

    /** How machines can't be asked. */
    enum Lost {
        HUNG,
        CUT,
        RECEIVES_NOTHING,
        SENDS_NOTHING;

        void begins(SimulatedCluster cluster, SimulatedWorker worker, double lastsS) {
            set(worker, true);
            worker.hangingUntil = this == HUNG ? cluster.clock.now + lastsS : 0;
            cluster.after(lastsS, () -> set(worker, false));
        }

        private void set(SimulatedWorker worker, boolean so) {
            worker.isCutOff = this == CUT && so;
            worker.receivesNothing = this == RECEIVES_NOTHING && so;
            worker.sendsNothing = this == SENDS_NOTHING && so;
        }
    }

    private SimulatedCluster cluster;
    private List<SimulatedWorker> lost;

    /**
     * Tasks of cancelled jobs on machines that could not be asked, when another leader was there.
     */
    private int met;

    /**
     * When all teams were at their limits with their next jobs, the first ones' last task was gone,
     * troubles were over.
     */
    private double fullAt;

    private double goneAt;
    private double troublesEnd;

    static SimulatedCluster limited(int machines) {
        SimulatedCluster cluster = new SimulatedCluster();
        cluster.heartbeatIntervalSeconds = 2;
        cluster.leaseSeconds = 5 * cluster.heartbeatIntervalSeconds;
        cluster.cancelSeconds = 2 * cluster.leaseSeconds + 1;
        cluster.reportsChangesImmediately = true;
        cluster.type = new MachineType("m4", 4, 2, 16, 50, 1, 1.0, 0.4, 40, List.of("a", "b"));
        cluster.teams.put("red", new ClusterSettings.Team("red", 0, 8, 0, 0));
        cluster.teams.put("blue", new ClusterSettings.Team("blue", 0, 0, 0, 3));
        cluster.teams.put("green", new ClusterSettings.Team("green", 0, 5, 0, 4));
        cluster.taskSeconds = id -> ALWAYS;
        cluster.siblings.addAll(List.of("k0", "k1", "k2"));
        cluster.siblings.forEach(cluster::node);
        for (int i = 0; i < machines; i++) {
            cluster.worker(String.format("i-%06d", i), i % 2 == 0 ? "a" : "b");
        }
        cluster.run(12);
        return cluster;
    }

    /** A job that takes its team's whole limit: an array, a gang by its GPUs, a service. */
    static JobSpec whole(String team, int n) {
        Shape shape = Shape.values()[TEAMS.indexOf(team)];
        boolean gang = shape == Shape.GANG;
        int tasks = gang ? 3 : shape == Shape.ARRAY ? 4 : 5;
        JobSpec spec =
                job(
                        "j-" + (1 + TEAMS.indexOf(team)) + n,
                        shape,
                        tasks,
                        shape == Shape.SERVICE ? 1 : 2);
        return spec.toBuilder()
                .team(team)
                .shape(shape)
                .taskCount(tasks)
                .gpusPerTask(gang ? 1 : 0)
                .singleZone(gang)
                .estimatedSeconds(ALWAYS)
                .build();
    }

    /** Whether the team uses its limit, and how much it is by the leader's count. */
    private void atItsLimit(String team, String when) {
        ClusterSettings.Team t = cluster.teams.get(team);
        double[] used = cluster.invariants.usageOnMachines(team);
        assertTrue(
                t.maxCpus() == 0 || used[0] == t.maxCpus(), team + " " + used[0] + " CPUs " + when);
        assertTrue(
                t.maxGpus() == 0 || t.maxCpus() > 0 || used[1] == t.maxGpus(),
                team + " " + used[1] + " GPUs " + when);
        assertEquals(
                used[0],
                cluster.leader().controller.shard.quotaUsage().usedCpus(team),
                1e-6,
                team + " " + when);
        assertEquals(
                used[1],
                cluster.leader().controller.shard.quotaUsage().usedGpus(team),
                1e-6,
                team + " " + when);
    }

    /** All teams at their limits with a first job, a second one of each waits beside room. */
    private void full(int machines) {
        cluster = limited(machines);
        TEAMS.forEach(t -> cluster.submit(cluster.leader(), whole(t, 1)));
        cluster.run(4);
        TEAMS.forEach(t -> cluster.submit(cluster.leader(), whole(t, 2)));
        cluster.run(4);
        TEAMS.forEach(
                t -> {
                    atItsLimit(t, "before");
                    assertEquals(0, cluster.onMachines(whole(t, 2).id()));
                });
        met = 0;
        fullAt = Double.NaN;
    }

    private List<SimulatedWorker> withTasks() {
        return cluster.workers.values().stream()
                .filter(
                        worker ->
                                worker.tasks.values().stream().anyMatch(SimulatedTask::isOnMachine))
                .toList();
    }

    /** The process of whoever leads by then is killed, and another one comes up. */
    private void leaderEnds() {
        cluster.nodes.values().stream()
                .filter(node -> node.alive && node.controller.fencingTokenIfLeading() > 0)
                .findFirst()
                .ifPresent(
                        node -> {
                            node.kill();
                            cluster.after(0.3, () -> cluster.node(node.name));
                        });
    }

    private long first() {
        return TEAMS.stream().mapToLong(t -> cluster.onMachines(whole(t, 1).id())).sum();
    }

    /** Looks each quarter second where it stands. */
    private void watch(double seconds) {
        long before = cluster.store.leaderFencingToken();
        for (double until = cluster.clock.now + seconds; cluster.clock.now < until; ) {
            cluster.run(0.25);
            if (met == 0
                    && cluster.nodes.values().stream()
                            .anyMatch(
                                    node ->
                                            node.alive
                                                    && node.controller.fencingTokenIfLeading()
                                                            > before)) {
                met +=
                        lost.stream()
                                .flatMap(worker -> worker.tasks.values().stream())
                                .filter(
                                        task ->
                                                task.isOnMachine()
                                                        && cluster.reportedCancelledAt.containsKey(
                                                                task.jobId)
                                                        && task.worker.token <= before)
                                .count();
            }
            goneAt = first() > 0 ? cluster.clock.now : goneAt;
            if (Double.isNaN(fullAt)
                    && TEAMS.stream()
                            .allMatch(
                                    t ->
                                            cluster.onMachines(whole(t, 2).id())
                                                    == whole(t, 2).taskCount())) {
                fullAt = cluster.clock.now;
            }
        }
    }

    private void cancelAll() {
        TEAMS.forEach(t -> cluster.loadGenerator.cancel(other(cluster, null), whole(t, 1).id()));
    }

    /**
     * Nothing broke, the first jobs are gone, the second ones have all that the limits allow, and
     * it is counted right.
     */
    private void settledAgain(String when) {
        assertEquals(List.of(), cluster.violations, when);
        assertEquals(0, cluster.invariants.startsAfterCancellation(), when);
        assertEquals(0, first(), when);
        TEAMS.forEach(
                t -> {
                    assertEquals(
                            whole(t, 2).taskCount(),
                            cluster.onMachines(whole(t, 2).id()),
                            t + " " + when);
                    atItsLimit(t, when);
                });
    }

    private void cancelAroundFailover(
            Lost how, double lasts, double leaderEnds, double cancelled, String when) {
        full(12);
        lost = withTasks().stream().limit(3).toList();
        lost.forEach(worker -> how.begins(cluster, worker, lasts));
        cluster.after(leaderEnds, this::leaderEnds);
        cluster.after(cancelled, this::cancelAll);
        troublesEnd = cluster.clock.now + Math.max(lasts, Math.max(leaderEnds, cancelled));
        watch(Math.max(lasts, leaderEnds) + 2.5 * cluster.leaseSeconds);
        settledAgain(when);
    }

    /**
     * Each way of not being asked, each quarter of a lease, cancelled before the leader ends, with
     * it, and after.
     */
    @Test
    void whatNobodyCanAskCountsUntilItIsProvenOverAndIsUsedAtOnceThen() {
        Map<Lost, Integer> tasks = new TreeMap<>();
        double latest = 0;
        int n = 0;
        for (Lost how : Lost.values()) {
            for (double lasts : new double[] {4, 9.5, 12, 21, 32}) {
                for (double ends = 0.1; ends < lasts && ends < 11; ends += 2.5) {
                    double after = new double[] {-0.5, 0.05, 2.5}[n++ % 3];
                    String when =
                            how
                                    + " for "
                                    + lasts
                                    + ", leader ends "
                                    + ends
                                    + ", cancelled "
                                    + (ends + after);
                    cancelAroundFailover(how, lasts, ends, Math.max(0, ends + after), when);
                    tasks.merge(how, met, Integer::sum);
                    assertTrue(
                            fullAt <= troublesEnd + cluster.leaseSeconds,
                            when + ": full " + (fullAt - troublesEnd) + " after");
                    latest = Math.max(latest, fullAt - troublesEnd);
                }
            }
        }
        System.out.println(
                "limits: "
                        + n
                        + " runs, tasks met "
                        + tasks
                        + ", full again within "
                        + latest
                        + " s");
        assertTrue(
                tasks.size() == 4 && tasks.values().stream().allMatch(x -> x > 20),
                tasks.toString());
    }

    /**
     * The machines stay away for good: their way out is the cloud's word, whoever leads by then.
     */
    @Test
    void noLimitStaysTakenForGood() {
        Map<Lost, Double> gone = new TreeMap<>();
        for (Lost how : Lost.values()) {
            for (double ends = 0.1; ends < 9; ends += 2.2) {
                for (boolean twice : new boolean[] {false, true}) {
                    full(12);
                    cluster.cloud.capacity = 12;
                    lost = withTasks().stream().limit(2).toList();
                    lost.forEach(worker -> how.begins(cluster, worker, ALWAYS));
                    cluster.after(ends, this::leaderEnds);
                    cluster.after(ends + 0.5, this::cancelAll);
                    if (twice) {
                        cluster.after(ends + 5, this::leaderEnds);
                    }
                    watch(9 * cluster.leaseSeconds);
                    String when = how + " for good, leader ends " + ends + (twice ? " twice" : "");
                    assertTrue(met > 0, when);
                    assertTrue(
                            lost.stream().noneMatch(worker -> worker.up), when + ": not released");
                    settledAgain(when);
                    gone.merge(how, goneAt - toldAt(), Math::max);
                }
            }
        }
        System.out.println("limits: off lost machines, s after the word: " + gone);
    }

    private double toldAt() {
        return TEAMS.stream()
                .mapToDouble(t -> cluster.reportedCancelledAt.get(whole(t, 1).id()))
                .min()
                .orElseThrow();
    }

    /**
     * Most of the machines stand still with what was called off, for longer than it may be there,
     * while leaders change.
     */
    @Test
    void mostMachinesStandStillWithWhatWasCalledOff() {
        int over = 0;
        for (double lasts : new double[] {6, 9.9, 14, 20.9, 25, 40}) {
            for (double ends : new double[] {0.1, 3, 8, 14}) {
                full(9);
                cluster.cloud.capacity = 8;
                lost = withTasks();
                lost.forEach(worker -> Lost.HUNG.begins(cluster, worker, lasts));
                cancelAll();
                cluster.after(ends, this::leaderEnds);
                watch(Math.max(lasts, ends) + 2.5 * cluster.leaseSeconds);
                String when = "hung for " + lasts + ", leader ends " + ends;
                assertTrue(met > 0 || lasts < ends + 4, when);
                over += cluster.invariants.cancelledTasksOnHungMachines();
                settledAgain(when);
            }
        }
        assertTrue(over > 0, "none hung for longer than cancel_s");
    }
}
