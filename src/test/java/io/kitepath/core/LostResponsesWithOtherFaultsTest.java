package io.kitepath.core;

import static io.kitepath.core.ConcurrentFaultsTest.sessions;
import static io.kitepath.core.LostResponsesTest.ends;
import static io.kitepath.core.LostResponsesTest.handIn;
import static io.kitepath.simulation.SimulatedCluster.job;
import static io.kitepath.simulation.SimulatedClusters.settled;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import io.kitepath.simulation.TransactionKeys;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/**
 * Lost answers where they meet something else: claims that are won unawares, cancellations and ends
 * that only others know of, comparisons, records that are laid out anew. The days are in {@link
 * LostResponsesTest}.
 */
class LostResponsesWithOtherFaultsTest {
    // ---- claims ---------------------------------------------------------------------------------

    /**
     * A claim is written and its response lost, a few times in a row, also while the store refuses
     * the requests that would release it.
     */
    @Test
    void leaseClaimsWhoseResponsesWereLostExpireAndALaterOneIsConfirmed() {
        for (String key :
                List.of(StoreKeys.LEADER, StoreKeys.ROLES + "cloud", StoreKeys.ROLES + "cleanup")) {
            for (int times = 1; times <= 4; times++) {
                for (double refused : new double[] {0, 0.7, 1.6, 3}) {
                    loseResponsesOfClaims(key, times, refused);
                }
            }
        }
    }

    private static void loseResponsesOfClaims(String key, int times, double refused) {
        SimulatedCluster cluster = settled(3, 4);
        cluster.pollsRightAfterAnswers = true;
        cluster.cloud.capacity = 4;
        cluster.taskSeconds = id -> 25;
        handIn(cluster, 0, job("j-1", Shape.ARRAY, 8, 2));
        cluster.run(3);
        int[] claimsToLose = {times};
        loseClaims(cluster, key, claimsToLose, refused);
        long before = cluster.store.leaderFencingToken();
        restartLeaderAndRoleHolders(cluster);
        handIn(cluster, 1, job("j-2", Shape.GANG, 2, 1));
        cluster.run(1);
        cluster.loadGenerator.cancel(cluster.nodes.get("k1"), "j-2");
        handIn(cluster, 2, job("j-3", Shape.ARRAY, 30, 4));
        cluster.run(20);
        String at = key + " won unawares " + times + " times, refused for " + refused;
        cluster.invariants.troublesAreOver();
        cluster.run(160);
        assertTrue(claimsToLose[0] < times, at);
        assertTrue(cluster.store.leaderFencingToken() > before, at);
        checkOneLeaderAndAllJobsOver(cluster, at);
    }

    /** The node whose claim is lost is refused by the store for so many seconds as well. */
    private static void loseClaims(
            SimulatedCluster cluster, String key, int[] claimsToLose, double refused) {
        cluster.store.losesResponseOf =
                transaction -> {
                    var claim =
                            transaction.writes().stream()
                                    .filter(
                                            write ->
                                                    write.key().equals(key)
                                                            && write.value() != null)
                                    .findFirst();
                    if (claim.isEmpty() || claimsToLose[0] == 0) {
                        return false;
                    }
                    claimsToLose[0]--;
                    SimulatedNode node =
                            cluster.nodes.get(
                                    (String) ((Map<?, ?>) claim.get().value()).get("node"));
                    node.cutFromStore = refused > 0;
                    cluster.after(refused, () -> node.cutFromStore = false);
                    return true;
                };
    }

    private static void restartLeaderAndRoleHolders(SimulatedCluster cluster) {
        SimulatedNode old = cluster.leader();
        cluster.nodes.values().stream()
                .filter(
                        node ->
                                node.controller.roles().stream()
                                        .anyMatch(role -> role.isHeldHere()))
                .forEach(SimulatedNode::kill);
        old.kill();
        cluster.after(
                0.4,
                () ->
                        List.copyOf(cluster.nodes.values()).stream()
                                .filter(node -> !node.alive)
                                .forEach(node -> cluster.node(node.name)));
    }

    private static void checkOneLeaderAndAllJobsOver(SimulatedCluster cluster, String at) {
        assertEquals(
                0,
                cluster.nodes.values().stream()
                        .filter(
                                node ->
                                        node != cluster.leader()
                                                && node.controller.fencingTokenIfLeading() > 0)
                        .count(),
                at);
        for (String role : List.of("cloud", "cleanup")) {
            assertEquals(
                    1,
                    cluster.nodes.values().stream()
                            .filter(node -> node.controller.holdsRole(role))
                            .count(),
                    at);
        }
        for (String id : List.of("j-1", "j-2", "j-3")) {
            for (SimulatedNode node : cluster.nodes.values()) {
                assertEquals(
                        id.equals("j-2") ? "cancelled" : "done",
                        cluster.status(node, id),
                        at + ": " + id);
            }
        }
        assertEquals(List.of(), cluster.violations, at);
    }

    // ---- cancellations and ends
    // -------------------------------------------------------------------

    /**
     * Nobody hears that a cancellation was carried out, other users read it at once; its node ends,
     * or the holder does, or hears of it by none of the quick ways.
     */
    @Test
    void aCancellationThatItsNodeDidNotHearOfIsHonouredLikeAnyOther() {
        int runs = 0;
        for (double at = 0.2; at < 5; at += 0.25) {
            for (int how = 0; how < 6; how++) {
                SimulatedCluster cluster = settled(3, 4);
                cluster.pollsRightAfterAnswers = true;
                cluster.taskSeconds = id -> 90;
                handIn(cluster, 0, job("j-1", how % 2 == 0 ? Shape.ARRAY : Shape.GANG, 4, 2));
                cluster.run(at);
                SimulatedNode holder = cluster.leader();
                SimulatedNode by = how < 2 ? holder : ConcurrentFaultsTest.other(cluster, holder);
                int[] lost = {0};
                cluster.store.losesResponseOf =
                        transaction ->
                                TransactionKeys.writes(transaction, StoreKeys.ENDED_JOBS + "j-1")
                                        && lost[0]++ < 1;
                if (how >= 2) {
                    cluster.store.ignoresRequestsOf = client -> client == holder;
                    cluster.nodes.values().forEach(node -> node.losesPeerMessages = true);
                }
                cluster.loadGenerator.cancel(by, "j-1");
                cluster.run(0.02);
                if (how >= 4) {
                    by.kill();
                    cluster.after(3, () -> cluster.node(by.name));
                }
                for (SimulatedNode node : cluster.nodes.values()) {
                    cluster.loadGenerator.queryStatus(node, "j-1");
                }
                cluster.run(1.5);
                if (how == 3 || how == 5) {
                    ends(cluster, 0.3);
                }
                cluster.run(45);
                cluster.store.ignoresRequestsOf = client -> false;
                String when = "cancelled after " + at + ", way " + how;
                assertTrue(lost[0] > 0 && cluster.reportedCancelledAt.containsKey("j-1"), when);
                cluster.run(10);
                assertEquals(0, cluster.onMachines("j-1"), when);
                cluster.nodes
                        .values()
                        .forEach(
                                node ->
                                        assertEquals(
                                                "cancelled", cluster.status(node, "j-1"), when));
                assertEquals(List.of(), cluster.violations, when);
                assertEquals(0, cluster.invariants.startsAfterCancellation(), when);
                runs++;
            }
        }
        System.out.println("unheard cancellations: " + runs);
    }

    /**
     * Users call jobs off as they end, and whoever moves the job first, nobody hears that it did.
     */
    @Test
    void completionsRacingCancellationsMayBothLoseTheirResponses() {
        int done = 0;
        int cancelled = 0;
        for (int i = 0; i < 40; i++) {
            SimulatedCluster cluster = settled(3, 4);
            cluster.pollsRightAfterAnswers = true;
            cluster.cancelsOnCompletion = task -> true;
            double longer = i * 0.05;
            cluster.taskSeconds = id -> 3 + longer;
            // The moves themselves take a while, so that either may be first.
            cluster.store.extraLatencySeconds = i % 4 * 0.03;
            int[] lost = {0};
            cluster.store.losesResponseOf =
                    transaction ->
                            TransactionKeys.writesUnder(transaction, StoreKeys.ENDED_JOBS)
                                    && lost[0]++ < 8;
            for (int j = 0; j < 4; j++) {
                handIn(cluster, j, job("j-1" + j, j % 2 == 0 ? Shape.ARRAY : Shape.GANG, 1 + j, 1));
            }
            cluster.run(12);
            cluster.invariants.troublesAreOver();
            cluster.run(100);
            String at = "run " + i;
            assertTrue(lost[0] >= 4, at);
            for (int j = 0; j < 4; j++) {
                String id = "j-1" + j;
                Set<String> said =
                        cluster.nodes.values().stream()
                                .map(node -> cluster.status(node, id))
                                .collect(Collectors.toSet());
                assertTrue(
                        said.equals(Set.of("done")) || said.equals(Set.of("cancelled")),
                        at + ": " + id + " " + said);
                done += said.contains("done") ? 1 : 0;
                cancelled += said.contains("cancelled") ? 1 : 0;
            }
            assertEquals(List.of(), cluster.violations, at);
        }
        System.out.println(
                "ends and cancellations unheard: " + done + " done, " + cancelled + " cancelled");
        assertTrue(done > 0 && cancelled > 0);
    }

    // ---- comparisons ----------------------------------------------------------------------------

    /**
     * Answers of comparisons are lost, all or some: the holder's proof comes by the siblings' word,
     * or not at all.
     */
    @Test
    void answersOfComparisonsAreLost() {
        for (double lasts : new double[] {1, 4, 9, 20, 45}) {
            for (int how = 0; how < 4; how++) {
                SimulatedCluster cluster = settled(3, 4);
                Random random = new Random(how);
                cluster.taskSeconds = id -> 70;
                handIn(cluster, 0, job("j-1", Shape.ARRAY, 4, 1));
                handIn(cluster, 1, job("j-2", Shape.GANG, 4, 1));
                cluster.run(4);
                cluster.pollsRightAfterAnswers = true;
                boolean some = how == 1;
                int[] lost = {0};
                cluster.store.losesResponseOf =
                        transaction ->
                                transaction.writes().isEmpty()
                                        && (!some || random.nextInt(3) > 0)
                                        && ++lost[0] > 0;
                SimulatedNode holder = cluster.leader();
                if (how >= 2) {
                    cluster.nodes.values().stream()
                            .filter(node -> node != holder)
                            .forEach(node -> holder.cutFrom.add(node.name));
                }
                if (how == 3) {
                    cluster.store.ignoresRequestsOf = client -> client == holder;
                }
                cluster.run(0.5);
                cluster.loadGenerator.cancel(ConcurrentFaultsTest.other(cluster, holder), "j-1");
                for (double passed = 0; passed < lasts; passed += 0.5) {
                    cluster.nodes
                            .values()
                            .forEach(node -> cluster.loadGenerator.queryStatus(node, "j-2"));
                    cluster.run(0.5);
                }
                cluster.store.losesResponseOf = transaction -> false;
                cluster.store.ignoresRequestsOf = client -> false;
                holder.cutFrom.clear();
                cluster.invariants.troublesAreOver();
                cluster.run(130);
                String at = "comparisons unheard for " + lasts + ", way " + how;
                assertTrue(lost[0] > 0, at);
                cluster.nodes
                        .values()
                        .forEach(
                                node -> {
                                    assertEquals("cancelled", cluster.status(node, "j-1"), at);
                                    assertEquals("done", cluster.status(node, "j-2"), at);
                                });
                if (how < 2) {
                    assertEquals(cluster.workers.size(), sessions(cluster), at);
                }
                assertEquals(List.of(), cluster.violations, at);
            }
        }
    }

    // ---- records laid out anew
    // --------------------------------------------------------------------

    /**
     * A gang's records are laid out anew, and its holder hears nothing of it; some end over that.
     */
    @Test
    void aGangWhoseRecordsAreLaidOutAnewWithLostResponsesStartsWholeAndOnce() {
        for (int times = 1; times <= 3; times++) {
            for (double ends : new double[] {0, 0.1, 0.5, 2}) {
                SimulatedCluster cluster = new SimulatedCluster();
                SimulatedNode old = cluster.node("k0");
                cluster.run(3);
                cluster.submit(old, job("j-1", Shape.GANG, 200, 2));
                old.crash();
                cluster.announcedStoreLimits = new ClusterSettings.StoreLimits(1000, 1000, 2, 13);
                int[] lost = {0};
                int most = times;
                cluster.store.losesResponseOf =
                        transaction -> {
                            boolean anew =
                                    transaction.conditions().stream()
                                                    .anyMatch(
                                                            condition ->
                                                                    condition
                                                                                    .key()
                                                                                    .equals(
                                                                                            StoreKeys
                                                                                                            .OPEN_JOBS
                                                                                                    + "j-1")
                                                                            && condition.revision()
                                                                                    > 0)
                                            && transaction.writes().stream()
                                                    .anyMatch(
                                                            write ->
                                                                    write.key()
                                                                                    .equals(
                                                                                            StoreKeys
                                                                                                            .OPEN_JOBS
                                                                                                    + "j-1")
                                                                            && write.value()
                                                                                    != null);
                            return anew && lost[0]++ < most;
                        };
                SimulatedNode node = cluster.node("k1");
                cluster.run(4);
                for (int i = 0; i < 150; i++) {
                    cluster.worker(String.format("i-%06d", i), i % 2 == 0 ? "a" : "b");
                }
                while (lost[0] == 0 && cluster.clock.now < 200) {
                    cluster.run(0.1);
                }
                if (ends > 0) {
                    cluster.run(ends - 0.1);
                    node.kill();
                }
                cluster.node("k2");
                cluster.run(80);
                String at = "laid out anew unheard " + times + " times, holder ends after " + ends;
                assertTrue(lost[0] > 0, at);
                assertEquals("done", cluster.status(cluster.nodes.get("k2"), "j-1"), at);
                assertEquals(200, ConcurrentFaultsTest.starts(cluster), at);
                assertEquals(List.of(), cluster.violations, at);
            }
        }
    }
}
