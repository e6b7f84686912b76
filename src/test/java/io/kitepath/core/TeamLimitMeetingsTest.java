package io.kitepath.core;

import static io.kitepath.core.MeetingsTest.other;
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
class TeamLimitMeetingsTest {
    static final List<String> TEAMS = List.of("red", "blue", "green");

    /** Longer than any story. */
    private static final double ALWAYS = 1000;

    /** How machines can't be asked. */
    enum Lost {
        HUNG,
        CUT,
        DEAF,
        MUTE;

        void begins(SimulatedCluster w, SimulatedWorker x, double lastsS) {
            set(x, true);
            x.hangsUntil = this == HUNG ? w.clock.now + lastsS : 0;
            w.after(lastsS, () -> set(x, false));
        }

        private void set(SimulatedWorker x, boolean so) {
            x.cut = this == CUT && so;
            x.deaf = this == DEAF && so;
            x.mute = this == MUTE && so;
        }
    }

    private SimulatedCluster w;
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
        SimulatedCluster w = new SimulatedCluster();
        w.reportS = 2;
        w.leaseS = 5 * w.reportS;
        w.cancelS = 2 * w.leaseS + 1;
        w.reportsChanges = true;
        w.type = new MachineType("m4", 4, 2, 16, 50, 1, 1.0, 0.4, 40, List.of("a", "b"));
        w.teams.put("red", new ClusterSettings.Team("red", 0, 8, 0, 0));
        w.teams.put("blue", new ClusterSettings.Team("blue", 0, 0, 0, 3));
        w.teams.put("green", new ClusterSettings.Team("green", 0, 5, 0, 4));
        w.runsFor = id -> ALWAYS;
        w.siblings.addAll(List.of("k0", "k1", "k2"));
        w.siblings.forEach(w::node);
        for (int i = 0; i < machines; i++) {
            w.worker(String.format("i-%06d", i), i % 2 == 0 ? "a" : "b");
        }
        w.run(12);
        return w;
    }

    /** A job that takes its team's whole limit: an array, a gang by its GPUs, a service. */
    static JobSpec whole(String team, int n) {
        Shape shape = Shape.values()[TEAMS.indexOf(team)];
        boolean gang = shape == Shape.GANG;
        int tasks = gang ? 3 : shape == Shape.ARRAY ? 4 : 5;
        JobSpec s =
                job(
                        "j-" + (1 + TEAMS.indexOf(team)) + n,
                        shape,
                        tasks,
                        shape == Shape.SERVICE ? 1 : 2);
        return new JobSpec(
                s.id(),
                s.jobClass(),
                team,
                shape,
                s.priority(),
                tasks,
                s.cpus(),
                gang ? 1 : 0,
                1,
                null,
                null,
                gang,
                false,
                false,
                s.image(),
                s.imageGb(),
                ALWAYS,
                0,
                0,
                null);
    }

    /** Whether the team uses its limit, and how much it is by the leader's count. */
    private void atItsLimit(String team, String when) {
        ClusterSettings.Team t = w.teams.get(team);
        double[] used = w.rules.onMachines(team);
        assertTrue(
                t.cpusMax() == 0 || used[0] == t.cpusMax(), team + " " + used[0] + " CPUs " + when);
        assertTrue(
                t.gpusMax() == 0 || t.cpusMax() > 0 || used[1] == t.gpusMax(),
                team + " " + used[1] + " GPUs " + when);
        assertEquals(
                used[0], w.leader().controller.block.teamUse().cpus(team), 1e-6, team + " " + when);
        assertEquals(
                used[1], w.leader().controller.block.teamUse().gpus(team), 1e-6, team + " " + when);
    }

    /** All teams at their limits with a first job, a second one of each waits beside room. */
    private void full(int machines) {
        w = limited(machines);
        TEAMS.forEach(t -> w.submit(w.leader(), whole(t, 1)));
        w.run(4);
        TEAMS.forEach(t -> w.submit(w.leader(), whole(t, 2)));
        w.run(4);
        TEAMS.forEach(
                t -> {
                    atItsLimit(t, "before");
                    assertEquals(0, w.onMachines(whole(t, 2).id()));
                });
        met = 0;
        fullAt = Double.NaN;
    }

    private List<SimulatedWorker> withTasks() {
        return w.workers.values().stream()
                .filter(x -> x.tasks.values().stream().anyMatch(SimulatedTask::on))
                .toList();
    }

    /** The process of whoever leads by then is killed, and another one comes up. */
    private void leaderEnds() {
        w.nodes.values().stream()
                .filter(n -> n.alive && n.controller.leadsWith() > 0)
                .findFirst()
                .ifPresent(
                        n -> {
                            n.kill();
                            w.after(0.3, () -> w.node(n.name));
                        });
    }

    private long first() {
        return TEAMS.stream().mapToLong(t -> w.onMachines(whole(t, 1).id())).sum();
    }

    /** Looks each quarter second where it stands. */
    private void watch(double seconds) {
        long before = w.store.token();
        for (double until = w.clock.now + seconds; w.clock.now < until; ) {
            w.run(0.25);
            if (met == 0
                    && w.nodes.values().stream()
                            .anyMatch(n -> n.alive && n.controller.leadsWith() > before)) {
                met +=
                        lost.stream()
                                .flatMap(x -> x.tasks.values().stream())
                                .filter(
                                        t ->
                                                t.on()
                                                        && w.toldCancelled.containsKey(t.job)
                                                        && t.worker.token <= before)
                                .count();
            }
            goneAt = first() > 0 ? w.clock.now : goneAt;
            if (Double.isNaN(fullAt)
                    && TEAMS.stream()
                            .allMatch(t -> w.onMachines(whole(t, 2).id()) == whole(t, 2).tasks())) {
                fullAt = w.clock.now;
            }
        }
    }

    private void cancelAll() {
        TEAMS.forEach(t -> w.users.cancel(other(w, null), whole(t, 1).id()));
    }

    /**
     * Nothing broke, the first jobs are gone, the second ones have all that the limits allow, and
     * it is counted right.
     */
    private void settledAgain(String when) {
        assertEquals(List.of(), w.broken, when);
        assertEquals(0, w.rules.startsAfterCancellation(), when);
        assertEquals(0, first(), when);
        TEAMS.forEach(
                t -> {
                    assertEquals(
                            whole(t, 2).tasks(), w.onMachines(whole(t, 2).id()), t + " " + when);
                    atItsLimit(t, when);
                });
    }

    private void meeting(Lost how, double lasts, double leaderEnds, double cancelled, String when) {
        full(12);
        lost = withTasks().stream().limit(3).toList();
        lost.forEach(x -> how.begins(w, x, lasts));
        w.after(leaderEnds, this::leaderEnds);
        w.after(cancelled, this::cancelAll);
        troublesEnd = w.clock.now + Math.max(lasts, Math.max(leaderEnds, cancelled));
        watch(Math.max(lasts, leaderEnds) + 2.5 * w.leaseS);
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
                    meeting(how, lasts, ends, Math.max(0, ends + after), when);
                    tasks.merge(how, met, Integer::sum);
                    assertTrue(
                            fullAt <= troublesEnd + w.leaseS,
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
                    w.cloud.capacity = 12;
                    lost = withTasks().stream().limit(2).toList();
                    lost.forEach(x -> how.begins(w, x, ALWAYS));
                    w.after(ends, this::leaderEnds);
                    w.after(ends + 0.5, this::cancelAll);
                    if (twice) {
                        w.after(ends + 5, this::leaderEnds);
                    }
                    watch(9 * w.leaseS);
                    String when = how + " for good, leader ends " + ends + (twice ? " twice" : "");
                    assertTrue(met > 0, when);
                    assertTrue(lost.stream().noneMatch(x -> x.up), when + ": not released");
                    settledAgain(when);
                    gone.merge(how, goneAt - toldAt(), Math::max);
                }
            }
        }
        System.out.println("limits: off lost machines, s after the word: " + gone);
    }

    private double toldAt() {
        return TEAMS.stream()
                .mapToDouble(t -> w.toldCancelled.get(whole(t, 1).id()))
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
                w.cloud.capacity = 8;
                lost = withTasks();
                lost.forEach(x -> Lost.HUNG.begins(w, x, lasts));
                cancelAll();
                w.after(ends, this::leaderEnds);
                watch(Math.max(lasts, ends) + 2.5 * w.leaseS);
                String when = "hung for " + lasts + ", leader ends " + ends;
                assertTrue(met > 0 || lasts < ends + 4, when);
                over += w.rules.hungWithCancelled();
                settledAgain(when);
            }
        }
        assertTrue(over > 0, "none hung for longer than cancel_s");
    }
}
