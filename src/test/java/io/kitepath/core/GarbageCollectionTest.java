package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * What nothing refers to any more is removed, whatever ends meanwhile; what should not be is said
 * and left.
 */
class GarbageCollectionTest {
    private final SimulatedCluster cluster = new SimulatedCluster();

    private static void settle(SimulatedCluster cluster) {
        cluster.leaseSeconds = 5;
        cluster.heartbeatIntervalSeconds = 1;
        List.of("k0", "k1", "k2").forEach(cluster.siblings::add);
        cluster.siblings.forEach(cluster::node);
        cluster.worker("i-000000", "a");
        cluster.run(4);
    }

    @AfterEach
    void rules() {
        assertEquals(List.of(), cluster.violations);
    }

    private static void put(SimulatedCluster cluster, String key, Map<String, Object> value) {
        cluster.store.put(key, value, 0, ++cluster.store.revision);
    }

    private static Map<String, Object> part(Map<String, Object> live) {
        return Map.of("next", 2L, "done", "", "live", live);
    }

    /**
     * Parts of jobs that nobody knows, acts of a holder that is gone, one that is unreadable, and
     * good records.
     */
    private static void litter(SimulatedCluster cluster) {
        cluster.submit(cluster.leader(), job("j-1", Shape.ARRAY, 4, 1));
        cluster.submit(cluster.leader(), job("j-2", Shape.ARRAY, 400, 1));
        for (int i = 0; i < 30; i++) {
            put(cluster, StoreKeys.partKey("j-9" + i, 0), part(Map.of()));
        }
        put(cluster, StoreKeys.partKey("j-800", 0), part(Map.of("i-000777", List.of(0L, 1L))));
        put(
                cluster,
                StoreKeys.CLOUD_INTENTS + "rent/r-old",
                Map.of(
                        "type",
                        "m4",
                        "zone",
                        "a",
                        "spot",
                        false,
                        "count",
                        1L,
                        "token",
                        1L,
                        "askedMs",
                        1.0,
                        "machines",
                        List.of("i-000555")));
        put(
                cluster,
                StoreKeys.CLOUD_INTENTS + "going/old",
                Map.of("machines", List.of("i-000556"), "token", 1L, "gone", true));
        put(cluster, StoreKeys.CLOUD_INTENTS + "going/odd", Map.of("machines", 7L));
    }

    private static boolean there(SimulatedCluster cluster, String key) {
        return cluster.store.entries.containsKey(key);
    }

    private SimulatedNode sweeper(SimulatedCluster cluster) {
        return cluster.nodes.values().stream()
                .filter(node -> node.alive && node.controller.holdsRole("cleanup"))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void orphanedRecordsAreRemovedAndOthersAreLeft() {
        settle(cluster);
        litter(cluster);
        cluster.run(200);
        for (int i = 0; i < 30; i++) {
            assertFalse(there(cluster, StoreKeys.partKey("j-9" + i, 0)));
        }
        assertFalse(there(cluster, StoreKeys.CLOUD_INTENTS + "rent/r-old"));
        assertFalse(there(cluster, StoreKeys.CLOUD_INTENTS + "going/old"));
        assertTrue(
                there(cluster, StoreKeys.partKey("j-800", 0)),
                "it says that something is on a machine");
        assertTrue(there(cluster, StoreKeys.CLOUD_INTENTS + "going/odd"));
        assertEquals(2, sweeper(cluster).controller.garbageCollector.inconsistentCount());
        assertEquals(30, sweeper(cluster).controller.garbageCollector.removedCount());
        assertEquals("done", cluster.status(cluster.leader(), "j-1"));
        assertTrue(there(cluster, StoreKeys.partKey("j-2", 0)));
    }

    @Test
    void aJobThatIsJustBeingAcceptedKeepsItsParts() {
        settle(cluster);
        put(cluster, StoreKeys.partKey("j-5", 0), part(Map.of()));
        // In the moment of the removal, the job is there.
        boolean[] once = {true};
        cluster.store.holdsBack =
                transaction -> {
                    if (once[0]
                            && transaction.writes().stream()
                                    .anyMatch(
                                            write ->
                                                    write.key().equals(StoreKeys.partKey("j-5", 0))
                                                            && write.value() == null)) {
                        once[0] = false;
                        put(cluster, StoreKeys.OPEN_JOBS + "j-5", Map.of("unreadable", true));
                    }
                    return false;
                };
        cluster.run(60);
        assertFalse(once[0]);
        assertTrue(there(cluster, StoreKeys.partKey("j-5", 0)));
    }

    @Test
    void aLeaderLoadsDespiteAPartWithoutAJob() {
        settle(cluster);
        put(cluster, StoreKeys.partKey("j-9", 0), part(Map.of()));
        cluster.nodes.values().forEach(SimulatedNode::crash);
        cluster.run(0.3);
        cluster.siblings.forEach(cluster::node);
        cluster.run(6);
        assertTrue(cluster.leader().controller.isServingShard());
    }

    @Test
    void aCrashAfterAnyRequestOfASweepDoesNoHarm() {
        int points = 0;
        TreeSet<String> clean = new TreeSet<>();
        for (int n = 0; n < 45; n += n < 10 ? 1 : 5) {
            SimulatedCluster cluster = new SimulatedCluster();
            settle(cluster);
            litter(cluster);
            int[] ends = new int[1];
            if (n > 0) {
                SimulatedNode node = sweeper(cluster);
                node.crashAfterRequests(
                        n,
                        () -> {
                            ends[0]++;
                            cluster.after(0.3, () -> cluster.node(node.name));
                        });
            }
            cluster.run(280);
            // Work waits, so that machines are asked for again and again: one such act may be under
            // way just now.
            for (int i = 0;
                    i < 10
                            && cluster.store.entries.keySet().stream()
                                    .anyMatch(
                                            key ->
                                                    key.startsWith(
                                                            StoreKeys.CLOUD_INTENTS + "rent/"));
                    i++) {
                cluster.run(0.5);
            }
            points += ends[0];
            TreeSet<String> left = new TreeSet<>(cluster.store.entries.keySet());
            left.removeIf(
                    key -> key.startsWith("kitepath/") && !key.startsWith(StoreKeys.CLOUD_INTENTS));
            if (n == 0) {
                clean = left;
            }
            assertEquals(clean, left, "after request " + n);
            assertEquals(List.of(), cluster.violations);
        }
        System.out.println("cleanup: " + points + " nodes ended at one of their requests");
        assertTrue(points >= 15, "points: " + points);
    }

    /**
     * One that ends while the clean-up looks is in one place at a time; one that is in both is said
     * to be.
     */
    @Test
    void aJobThatEndsDuringASweepIsNotReportedAsInconsistent() {
        settle(cluster);
        for (String id : List.of("j-5", "j-6")) {
            put(cluster, StoreKeys.OPEN_JOBS + id, Map.of("unreadable", true));
        }
        put(cluster, StoreKeys.ENDED_JOBS + "j-6", Map.of("status", "done", "done", 1L));
        boolean[] once = {true};
        cluster.store.holdsBack =
                transaction -> {
                    if (once[0]
                            && transaction.writes().isEmpty()
                            && transaction.conditions().stream()
                                    .anyMatch(
                                            condition ->
                                                    condition
                                                            .key()
                                                            .equals(
                                                                    StoreKeys.ENDED_JOBS
                                                                            + "j-5"))) {
                        once[0] = false;
                        cluster.store.put(
                                StoreKeys.OPEN_JOBS + "j-5", null, 0, ++cluster.store.revision);
                        put(
                                cluster,
                                StoreKeys.ENDED_JOBS + "j-5",
                                Map.of("status", "done", "done", 1L));
                    }
                    return false;
                };
        long most = 0;
        for (int i = 0; i < 120; i++) {
            cluster.run(0.5);
            most = Math.max(most, sweeper(cluster).controller.garbageCollector.inconsistentCount());
        }
        assertFalse(once[0]);
        assertEquals(1, most);
    }
}
