package io.kitepath.core;

import static io.kitepath.core.ConcurrentFaultsTest.sessions;
import static io.kitepath.simulation.SimulatedCluster.job;
import static io.kitepath.simulation.SimulatedClusters.settled;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.port.Store.Write;
import io.kitepath.core.service.JobSubmissionService;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/**
 * A transaction is carried out at once and only its answer is lost, while other nodes read what it
 * wrote and tell users. Whoever wrote comes to the same end as those who read: a repeat finds its
 * own write and does not take it for another's, nobody stands back for it, and nothing that a user
 * has been told is undone.
 */
class LostResponsesTest {
    /**
     * How long after the lost answer a leader ends, and from when on the store is out, in seconds.
     */
    private static final double[] ENDS = {0.1, 0.5, 2};

    private static final double[] OUT = {0.01, 0.8, 1.6};

    /** One of them for each write, in turns; all with -Dkitepath.lost.all=true. */
    private static double[] every(double[] delays, int write) {
        return Boolean.getBoolean("kitepath.lost.all")
                ? delays
                : new double[] {delays[write % delays.length]};
    }

    /** Loses the answers of one write of a day, and of as many as follow to the same keys. */
    private static final class Loss {
        final int which;
        final int times;

        /** What happens in the moment of the first, if anything. */
        final Runnable then;

        int count;
        int lost;
        Set<String> keys;

        Loss(SimulatedCluster cluster, int which, int times, Runnable then) {
            this.which = which;
            this.times = times;
            this.then = then;
            cluster.store.losesResponseOf = this::test;
        }

        private boolean test(Transaction transaction) {
            if (transaction.writes().isEmpty()) {
                return false;
            }
            Set<String> its =
                    transaction.writes().stream().map(Write::key).collect(Collectors.toSet());
            boolean first = count++ == which;
            if (first) {
                keys = its;
                then.run();
            }
            if (first || lost > 0 && lost < times && its.equals(keys)) {
                lost++;
                return true;
            }
            return false;
        }

        boolean wrote(String prefix) {
            return keys.stream().anyMatch(key -> key.startsWith(prefix));
        }
    }

    private static SimulatedNode leading(SimulatedCluster cluster) {
        return cluster.nodes.values().stream()
                .filter(node -> node.alive && node.controller.leadership.isLeading())
                .findFirst()
                .orElse(null);
    }

    static void ends(SimulatedCluster cluster, double backS) {
        SimulatedNode node = leading(cluster);
        if (node != null) {
            node.kill();
            cluster.after(backS, () -> cluster.node(node.name));
        }
    }

    /** A user repeats it, at one node after the other, until it is answered. */
    static void handIn(SimulatedCluster cluster, int at, JobSpec spec, String... needs) {
        for (int i = 0; i < 12; i++) {
            JobSubmissionService.JobResponse response =
                    cluster.submit(cluster.nodes.get("k" + (at + i) % 3), spec, needs);
            if (response != null
                    && (response.verdict() == Verdict.CREATED
                            || response.verdict() == Verdict.KNOWN)) {
                return;
            }
            cluster.run(1.2);
        }
    }

    /**
     * A day in which everybody who writes anything writes something; leaders change in it if {@code
     * handOver} says so.
     */
    private static void day(SimulatedCluster cluster, boolean handOver) {
        cluster.pollsRightAfterAnswers = true;
        cluster.cloud.capacity = 4;
        cluster.taskSeconds = id -> 5;
        handIn(cluster, 0, job("j-1", Shape.ARRAY, 6, 2));
        handIn(cluster, 1, job("j-2", Shape.GANG, 4, 2));
        handIn(cluster, 2, job("j-3", Shape.ARRAY, 2, 1), "j-1");
        handIn(cluster, 0, job("j-4", Shape.ARRAY, 2, 1), "j-2");
        cluster.run(1);
        cluster.loadGenerator.cancel(cluster.nodes.get("k1"), "j-2");
        cluster.run(1);
        if (handOver) {
            SimulatedNode node = leading(cluster);
            if (node != null) {
                node.controller.stop();
                cluster.after(0.2, node::kill);
                cluster.after(0.6, () -> cluster.node(node.name));
            }
            cluster.run(1);
            ends(cluster, 0.3);
        }
        handIn(cluster, 1, job("j-5", Shape.ARRAY, 24, 4));
        cluster.run(3);
        cluster.loadGenerator.cancel(cluster.nodes.get("k2"), "j-1");
        cluster.run(16);
    }

    private static final List<String> JOBS = List.of("j-1", "j-2", "j-3", "j-4", "j-5");

    /**
     * All nodes say the same of each job, the records are struck off, and the holder knows all that
     * is rented.
     */
    private static void oneEnd(SimulatedCluster cluster, String at) {
        cluster.invariants.troublesAreOver();
        cluster.run(100);
        SimulatedNode leader = cluster.leader();
        for (String id : JOBS) {
            Set<String> said =
                    cluster.nodes.values().stream()
                            .map(node -> cluster.status(node, id))
                            .collect(Collectors.toSet());
            assertEquals(1, said.size(), at + ": " + id + " is " + said);
            assertTrue(
                    said.contains("done") || said.contains("cancelled"),
                    at + ": " + id + " is " + said);
        }
        assertEquals("done", cluster.status(leader, "j-5"), at);
        for (String prefix :
                List.of(StoreKeys.OPEN_JOBS, StoreKeys.JOB_PARTS, StoreKeys.CLOUD_INTENTS)) {
            assertEquals(
                    List.of(),
                    cluster.store.entries.keySet().stream()
                            .filter(key -> key.startsWith(prefix))
                            .toList(),
                    at);
        }
        assertTrue(
                leader.controller
                        .shard
                        .machines()
                        .keySet()
                        .containsAll(cluster.cloud.machines.keySet()),
                at);
        assertTrue(
                leader.controller.shard.machines().values().stream()
                        .noneMatch(machine -> machine.isMissingResponses()),
                at);
        assertEquals(List.of(), cluster.violations, at);
    }

    private static int writesOfADay(boolean handOver) {
        SimulatedCluster cluster = settled(3, 4);
        Loss none = new Loss(cluster, -1, 0, () -> {});
        day(cluster, handOver);
        oneEnd(cluster, "no loss");
        return none.count;
    }

    private static void seen(Map<String, Integer> kinds, Set<String> keys) {
        keys.forEach(key -> kinds.merge(key.replaceAll("[0-9]+.*", ""), 1, Integer::sum));
    }

    @Test
    void anyWriteMayLoseItsResponseOnceOrTwice() {
        Map<String, Integer> kinds = new TreeMap<>();
        int days = 0;
        int repeated = 0;
        int all = writesOfADay(false);
        for (int times = 1; times <= 2; times++) {
            for (int i = 0; i < all; i++) {
                SimulatedCluster cluster = settled(3, 4);
                long token = cluster.store.leaderFencingToken();
                Loss loss = new Loss(cluster, i, times, () -> {});
                day(cluster, false);
                String at = "write " + i + " unheard " + times + " times";
                oneEnd(cluster, at);
                assertTrue(loss.lost > 0, at);
                // Nobody takes it for another's and stands back, and no work is lost over it.
                assertEquals(token, cluster.store.leaderFencingToken(), at);
                assertEquals(cluster.workers.size(), sessions(cluster), at);
                seen(kinds, loss.keys);
                repeated += loss.lost > 1 ? 1 : 0;
                days++;
            }
        }
        System.out.println("unheard: " + days + " days, " + repeated + " repeated, keys " + kinds);
        assertTrue(
                kinds.keySet()
                        .containsAll(
                                List.of(
                                        "jobs/open/j-",
                                        "jobs/over/j-",
                                        "jobs/part/j-",
                                        "kitepath/act/rent/r-",
                                        "kitepath/act/going/",
                                        "kitepath/images/",
                                        "kitepath/served")),
                kinds.toString());
        assertTrue(repeated > days / 4, "repeated " + repeated);
    }

    /**
     * Its writer ends right after, or a moment later, and whoever follows goes by what is there.
     * Claims are among them.
     */
    @Test
    void aLeaderMayCrashAfterAnyWriteWhoseResponseWasLost() {
        Map<String, Integer> kinds = new TreeMap<>();
        int all = writesOfADay(true);
        for (int i = 0; i < all; i++) {
            for (double after : every(ENDS, i)) {
                SimulatedCluster cluster = settled(3, 4);
                Loss loss =
                        new Loss(
                                cluster,
                                i,
                                1 + i % 2,
                                () -> cluster.after(after, () -> ends(cluster, 0.3)));
                day(cluster, true);
                String at = "write " + i + " unheard, leader ends after " + after;
                oneEnd(cluster, at);
                assertTrue(loss.lost > 0, at);
                seen(kinds, loss.keys);
            }
        }
        System.out.println("unheard, then an end: " + all + " writes, keys " + kinds);
        assertTrue(
                kinds.keySet()
                        .containsAll(
                                List.of(
                                        "kitepath/leader",
                                        "kitepath/token",
                                        "kitepath/duty/cleanup",
                                        "kitepath/act/rent/r-",
                                        "jobs/over/j-",
                                        "jobs/part/j-")),
                kinds.toString());
    }

    /**
     * The store is out for longer than a lease, from right after the write on or from right after
     * its repeat.
     */
    @Test
    void aStoreOutageMayFollowAnyWriteWhoseResponseWasLost() {
        int all = writesOfADay(false);
        int outages = 0;
        for (int i = 0; i < all; i++) {
            for (double after : every(OUT, i)) {
                SimulatedCluster cluster = settled(3, 4);
                Loss loss =
                        new Loss(
                                cluster,
                                i,
                                1,
                                () -> cluster.after(after, () -> cluster.store.outage(13)));
                day(cluster, false);
                String at = "write " + i + " unheard, store out after " + after;
                oneEnd(cluster, at);
                assertTrue(loss.lost > 0, at);
                assertEquals(cluster.workers.size(), sessions(cluster), at);
                outages++;
            }
        }
        System.out.println("unheard, then an outage: " + outages + " days");
    }
}
