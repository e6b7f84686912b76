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
class SweepTest {
    private final SimulatedCluster w = new SimulatedCluster();

    private static void settle(SimulatedCluster w) {
        w.leaseS = 5;
        w.reportS = 1;
        List.of("k0", "k1", "k2").forEach(w.siblings::add);
        w.siblings.forEach(w::node);
        w.worker("i-000000", "a");
        w.run(4);
    }

    @AfterEach
    void rules() {
        assertEquals(List.of(), w.broken);
    }

    private static void put(SimulatedCluster w, String key, Map<String, Object> value) {
        w.store.put(key, value, 0, ++w.store.revision);
    }

    private static Map<String, Object> part(Map<String, Object> live) {
        return Map.of("next", 2L, "done", "", "live", live);
    }

    /**
     * Parts of jobs that nobody knows, acts of a holder that is gone, one that is unreadable, and
     * good records.
     */
    private static void litter(SimulatedCluster w) {
        w.submit(w.leader(), job("j-1", Shape.ARRAY, 4, 1));
        w.submit(w.leader(), job("j-2", Shape.ARRAY, 400, 1));
        for (int i = 0; i < 30; i++) {
            put(w, StoreKeys.part("j-9" + i, 0), part(Map.of()));
        }
        put(w, StoreKeys.part("j-800", 0), part(Map.of("i-000777", List.of(0L, 1L))));
        put(
                w,
                StoreKeys.ACT + "rent/r-old",
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
                w,
                StoreKeys.ACT + "going/old",
                Map.of("machines", List.of("i-000556"), "token", 1L, "gone", true));
        put(w, StoreKeys.ACT + "going/odd", Map.of("machines", 7L));
    }

    private static boolean there(SimulatedCluster w, String key) {
        return w.store.keys.containsKey(key);
    }

    private SimulatedNode sweeper(SimulatedCluster x) {
        return x.nodes.values().stream()
                .filter(n -> n.alive && n.controller.entitled("cleanup"))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void rubbishIsRemovedAndTheRestIsLeft() {
        settle(w);
        litter(w);
        w.run(200);
        for (int i = 0; i < 30; i++) {
            assertFalse(there(w, StoreKeys.part("j-9" + i, 0)));
        }
        assertFalse(there(w, StoreKeys.ACT + "rent/r-old"));
        assertFalse(there(w, StoreKeys.ACT + "going/old"));
        assertTrue(there(w, StoreKeys.part("j-800", 0)), "it says that something is on a machine");
        assertTrue(there(w, StoreKeys.ACT + "going/odd"));
        assertEquals(2, sweeper(w).controller.sweep.strange());
        assertEquals(30, sweeper(w).controller.sweep.removed());
        assertEquals("done", w.status(w.leader(), "j-1"));
        assertTrue(there(w, StoreKeys.part("j-2", 0)));
    }

    @Test
    void aJobThatIsJustBeingAcceptedKeepsItsParts() {
        settle(w);
        put(w, StoreKeys.part("j-5", 0), part(Map.of()));
        // In the moment of the removal, the job is there.
        boolean[] once = {true};
        w.store.withheld =
                t -> {
                    if (once[0]
                            && t.writes().stream()
                                    .anyMatch(
                                            x ->
                                                    x.key().equals(StoreKeys.part("j-5", 0))
                                                            && x.value() == null)) {
                        once[0] = false;
                        put(w, StoreKeys.OPEN + "j-5", Map.of("unreadable", true));
                    }
                    return false;
                };
        w.run(60);
        assertFalse(once[0]);
        assertTrue(there(w, StoreKeys.part("j-5", 0)));
    }

    @Test
    void aHolderBeginsThoughAPartHasNoJob() {
        settle(w);
        put(w, StoreKeys.part("j-9", 0), part(Map.of()));
        w.nodes.values().forEach(SimulatedNode::crash);
        w.run(0.3);
        w.siblings.forEach(w::node);
        w.run(6);
        assertTrue(w.leader().controller.holds());
    }

    @Test
    void everyRequestOfASweepMayBeTheLastOfItsNode() {
        int points = 0;
        TreeSet<String> clean = new TreeSet<>();
        for (int n = 0; n < 45; n += n < 10 ? 1 : 5) {
            SimulatedCluster x = new SimulatedCluster();
            settle(x);
            litter(x);
            int[] ends = new int[1];
            if (n > 0) {
                SimulatedNode s = sweeper(x);
                s.endAfter(
                        n,
                        () -> {
                            ends[0]++;
                            x.after(0.3, () -> x.node(s.name));
                        });
            }
            x.run(280);
            // Work waits, so that machines are asked for again and again: one such act may be under
            // way just now.
            for (int i = 0;
                    i < 10
                            && x.store.keys.keySet().stream()
                                    .anyMatch(k -> k.startsWith(StoreKeys.ACT + "rent/"));
                    i++) {
                x.run(0.5);
            }
            points += ends[0];
            TreeSet<String> left = new TreeSet<>(x.store.keys.keySet());
            left.removeIf(k -> k.startsWith("kitepath/") && !k.startsWith(StoreKeys.ACT));
            if (n == 0) {
                clean = left;
            }
            assertEquals(clean, left, "after request " + n);
            assertEquals(List.of(), x.broken);
        }
        System.out.println("cleanup: " + points + " nodes ended at one of their requests");
        assertTrue(points >= 15, "points: " + points);
    }

    /**
     * One that ends while the clean-up looks is in one place at a time; one that is in both is said
     * to be.
     */
    @Test
    void aJobThatEndsWhileItIsLookedAtIsNotCalledStrange() {
        settle(w);
        for (String id : List.of("j-5", "j-6")) {
            put(w, StoreKeys.OPEN + id, Map.of("unreadable", true));
        }
        put(w, StoreKeys.OVER + "j-6", Map.of("status", "done", "done", 1L));
        boolean[] once = {true};
        w.store.withheld =
                t -> {
                    if (once[0]
                            && t.writes().isEmpty()
                            && t.conditions().stream()
                                    .anyMatch(c -> c.key().equals(StoreKeys.OVER + "j-5"))) {
                        once[0] = false;
                        w.store.put(StoreKeys.OPEN + "j-5", null, 0, ++w.store.revision);
                        put(w, StoreKeys.OVER + "j-5", Map.of("status", "done", "done", 1L));
                    }
                    return false;
                };
        long most = 0;
        for (int i = 0; i < 120; i++) {
            w.run(0.5);
            most = Math.max(most, sweeper(w).controller.sweep.strange());
        }
        assertFalse(once[0]);
        assertEquals(1, most);
    }
}
