package io.kitepath.core;

import static io.kitepath.core.MeetingsTest.starts;
import static io.kitepath.core.OneZoneTest.bound;
import static io.kitepath.core.OneZoneTest.spread;
import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * New machines are up within two seconds, long before a list shows them, and get work at once,
 * while writes lag or are not answered, and the leader ends: what was asked of the cloud is rented
 * once, what was launched runs once, and nothing stays rented for nothing.
 */
class FastBootsTest {
    private static final int TASKS = 9;
    private int runs;

    /** Nodes without machines, and a cloud whose machines are up at once and listed late. */
    private static SimulatedCluster world() {
        SimulatedCluster w = new SimulatedCluster();
        w.reportS = 2;
        w.leaseS = 10;
        w.reportsChanges = true;
        w.cloud.listLagS = 8;
        w.cloud.capacity = 30;
        w.cloud.bootS = n -> 0.2 + n * 0.7 % 1.8;
        w.runsFor = id -> id.equals("j-2") ? 1e6 : 22;
        for (int i = 0; i < 3; i++) {
            w.siblings.add("k" + i);
        }
        w.siblings.forEach(w::node);
        w.run(12);
        return w;
    }

    private static void handIn(SimulatedCluster w) {
        for (JobSpec s :
                List.of(
                        bound(job("j-1", Shape.GANG, 4, 2)),
                        spread(job("j-2", Shape.SERVICE, 2, 2)),
                        bound(job("j-3", Shape.ARRAY, 3, 2)))) {
            while (!w.accepted.containsKey(s.id())) {
                w.submit(
                        w.nodes.values().stream().filter(n -> n.alive).findFirst().orElseThrow(),
                        s);
            }
        }
    }

    /** Rentals on record that are not known to be settled, while a machine of theirs is up. */
    private static boolean upBeforeKnown(SimulatedCluster w) {
        return !w.workers.isEmpty()
                && w.store.keys.subMap(StoreKeys.RENT, StoreKeys.RENT + "~").values().stream()
                        .anyMatch(e -> !((Map<?, ?>) e.value()).containsKey("machines"));
    }

    private static boolean launchedBeforeListed(SimulatedCluster w) {
        return w.workers.values().stream().anyMatch(x -> !x.tasks.isEmpty());
    }

    /** One that leads, or would, ends and is back a second later. */
    private static void ends(SimulatedCluster w, SimulatedNode n) {
        if (n.alive) {
            n.kill();
            w.after(1, () -> w.node(n.name));
        }
    }

    private static SimulatedNode holder(SimulatedCluster w) {
        return w.nodes.values().stream()
                .filter(n -> n.alive && n.controller.leadership.leading())
                .findFirst()
                .orElse(w.nodes.get("k0"));
    }

    /** All done, started {@code starts} times, on {@code most} machines, and none is left. */
    private void rests(SimulatedCluster w, int starts, int most, String at) {
        w.run(30);
        w.cancel(w.leader(), "j-2");
        w.run(90);
        assertEquals("done", w.status(w.leader(), "j-1"), at);
        assertEquals("done", w.status(w.leader(), "j-3"), at);
        assertEquals(List.of(), w.broken, at);
        if (starts > 0) {
            assertEquals(starts, starts(w), at);
        }
        assertTrue(w.cloud.named <= most, at + ": rented " + w.cloud.named);
        assertEquals(Map.of(), w.cloud.machines, at);
        assertEquals(
                List.of(),
                w.store.keys.keySet().stream().filter(k -> k.startsWith(StoreKeys.ACT)).toList(),
                at);
        runs++;
    }

    /**
     * A day on which nothing goes wrong: how many machines it takes, which the other days are
     * measured by.
     */
    private int usual() {
        SimulatedCluster w = world();
        handIn(w);
        w.run(10);
        assertEquals(TASKS, w.onMachines("j-1") + w.onMachines("j-2") + w.onMachines("j-3"));
        rests(w, TASKS, 12, "nothing goes wrong");
        return w.cloud.named;
    }

    // ---- each write, as the leader ends
    // ------------------------------------------------------------

    private enum Lag {
        LATE,
        UNHEARD,
        LOST
    }

    /**
     * The n-th write from the first rental on is late, or carried out without an answer, or lost,
     * and whoever leads ends at that moment or a little later. Answers false if there are fewer
     * writes.
     */
    private boolean writeLags(
            int n, Lag lag, double endsAfter, boolean cut, int usual, Map<String, Integer> met) {
        SimulatedCluster w = world();
        int[] count = new int[1];
        Consumer<Transaction> meets =
                t -> {
                    t.writes()
                            .forEach(
                                    x ->
                                            met.merge(
                                                    x.key().replaceAll("[0-9].*", "")
                                                            + (x.value() instanceof Map<?, ?> m
                                                                            && m.containsKey(
                                                                                    "machines")
                                                                    ? "with machines"
                                                                    : ""),
                                                    1,
                                                    Integer::sum));
                    w.after(
                            endsAfter,
                            () -> {
                                met.merge(
                                        upBeforeKnown(w) ? "up before known" : "-",
                                        1,
                                        Integer::sum);
                                met.merge(
                                        launchedBeforeListed(w) ? "launched before listed" : "-",
                                        1,
                                        Integer::sum);
                                if (cut) {
                                    w.workers.values().forEach(x -> x.cut = true);
                                    w.after(
                                            4,
                                            () -> w.workers.values().forEach(x -> x.cut = false));
                                }
                                ends(w, holder(w));
                            });
                };
        w.store.unheard =
                t -> {
                    boolean rents =
                            t.writes().stream().anyMatch(x -> x.key().startsWith(StoreKeys.RENT));
                    if (lag == Lag.UNHEARD
                            && (count[0] > 0 && !t.writes().isEmpty() || rents)
                            && count[0]++ == n) {
                        meets.accept(t);
                        return true;
                    }
                    return false;
                };
        w.store.late =
                t -> {
                    boolean rents =
                            t.writes().stream().anyMatch(x -> x.key().startsWith(StoreKeys.RENT));
                    if (lag != Lag.UNHEARD && (count[0] > 0 || rents) && count[0]++ == n) {
                        meets.accept(t);
                        return lag == Lag.LATE ? 3.5 : 1e6;
                    }
                    return 0;
                };
        handIn(w);
        w.run(14);
        String at =
                lag
                        + " write "
                        + n
                        + ", the leader ends "
                        + endsAfter
                        + " s later"
                        + (cut ? ", machines cut" : "");
        rests(w, TASKS, 2 * usual, at);
        return count[0] > n && w.cloud.named > 0;
    }

    @Test
    void eachWriteLagsAsTheLeaderEnds() {
        int usual = usual();
        Map<String, Integer> met = new TreeMap<>();
        for (Lag lag : Lag.values()) {
            for (int n = 0; n < 12; n++) {
                for (double ends : new double[] {0.001, 0.7, 1.6}) {
                    assertTrue(writeLags(n, lag, ends, (n + runs) % 2 == 0, usual, met));
                }
            }
        }
        System.out.println("fast boots: " + runs + " runs, met " + met);
        assertTrue(
                met.get("up before known") > 3 && met.get("launched before listed") > 10,
                met.toString());
        assertTrue(
                met.containsKey(StoreKeys.RENT + "r-with machines")
                        && met.containsKey(StoreKeys.PART + "j-"),
                met.toString());
    }

    // ---- a name whose answer was lost
    // ---------------------------------------------------------------

    /**
     * What came of a rental is not heard, and the leader, or who asked for it, or both end in one
     * of the next seconds.
     */
    @Test
    void aRentalWhoseAnswerIsLostIsOfOneNameWhoeverEnds() {
        int usual = usual();
        int unsettled = 0;
        for (int who = 0; who < 3; who++) {
            for (double ends = 0.02; ends < 4; ends += 0.4) {
                SimulatedCluster w = world();
                w.cloud.swallow = 3;
                w.store.withheld =
                        t ->
                                t.writes().stream()
                                        .anyMatch(
                                                x ->
                                                        x.key().startsWith(StoreKeys.RENT)
                                                                && x.value() instanceof Map<?, ?> m
                                                                && m.containsKey("machines"));
                handIn(w);
                w.run(ends);
                SimulatedNode leader = holder(w);
                SimulatedNode carrier =
                        w.nodes.values().stream()
                                .filter(n -> n.controller.entitled("cloud"))
                                .findFirst()
                                .orElseThrow();
                unsettled += upBeforeKnown(w) ? 1 : 0;
                if (who != 1) {
                    ends(w, leader);
                }
                if (who != 0) {
                    ends(w, carrier);
                }
                w.run(4);
                // What came of it can be put down from now on; what was withheld is carried out
                // late.
                w.store.withheld = t -> false;
                w.run(2);
                w.store.heldBack.forEach(w.store::execute);
                w.run(10);
                rests(w, TASKS, 2 * usual, "end " + who + " after " + ends);
            }
        }
        assertTrue(unsettled > 10, "up before it was known: " + unsettled);
    }

    // ---- two nodes in turn
    // ----------------------------------------------------------------------------

    /**
     * Of the answers that workers get some are lost, so they go from node to node; writes lag, and
     * leaders end.
     */
    @Test
    void aMachineThatReportsToOneNodeAfterTheOtherRunsNothingTwice() {
        int turns = 0;
        int ended = 0;
        for (long seed = 0; seed < 40; seed++) {
            Random random = new Random(seed);
            SimulatedCluster w = world();
            Map<String, String> last = new TreeMap<>();
            int[] moved = new int[1];
            boolean[] calm = new boolean[1];
            SimulatedCluster.Reach plain = w.reach;
            w.reach =
                    new SimulatedCluster.Reach() {
                        @Override
                        public List<String> up() {
                            return plain.up();
                        }

                        @Override
                        public void heartbeat(
                                String node, Heartbeat report, Consumer<HeartbeatResponse> answer) {
                            moved[0] += node.equals(last.put(report.machine(), node)) ? 0 : 1;
                            boolean lost = !calm[0] && random.nextInt(4) == 0;
                            plain.heartbeat(node, report, lost ? a -> {} : answer);
                        }
                    };
            w.store.late =
                    t -> !calm[0] && random.nextInt(4) == 0 ? 1 + random.nextDouble() * 5 : 0;
            w.store.unheard = t -> !calm[0] && random.nextInt(6) == 0;
            handIn(w);
            for (int i = 0; i < 3; i++) {
                w.run(0.5 + random.nextDouble() * 5);
                ended += launchedBeforeListed(w) ? 1 : 0;
                ends(w, holder(w));
            }
            w.run(4);
            calm[0] = true;
            turns += moved[0] - w.workers.size();
            w.run(45);
            rests(w, 0, 30, "seed " + seed);
        }
        assertTrue(turns > 100 && ended > 50, "turns " + turns + ", ends with work " + ended);
    }
}
