package io.kitepath.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobRecord;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.model.JsonSize;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * The state service's limits fall: before, while it happens, and for what was written when they
 * were higher.
 */
class LimitsTest {
    private static final ClusterSettings.StoreLimits LOW =
            new ClusterSettings.StoreLimits(1000, 1000, 2, 13);
    private final SimulatedCluster w = new SimulatedCluster();

    private void workers(int n) {
        for (int i = 0; i < n; i++) {
            w.worker("i-" + String.format("%06d", i), "a").runsFor = 20 + i % 9 * 5;
        }
    }

    private void fall() {
        w.store.valueBytes = 2048;
        w.store.txnOps = 13;
    }

    private void largestIs(int bytes) {
        w.store.keys.forEach(
                (k, e) ->
                        assertTrue(
                                JsonSize.size(e.value()) <= bytes,
                                k + " has " + JsonSize.size(e.value())));
    }

    @Test
    void whatIsAnnouncedIsKeptToFromTheStart() {
        w.next = LOW;
        SimulatedNode n = w.node("k0");
        workers(150);
        w.run(5);
        w.submit(n, SimulatedCluster.job("j-1", Shape.ARRAY, 500, 1));
        w.submit(n, SimulatedCluster.job("j-2", Shape.GANG, 100, 1));
        w.submit(n, SimulatedCluster.job("j-3", Shape.SERVICE, 120, 0.1));
        w.run(10);
        largestIs(2048);
        fall();
        assertEquals(100, w.onMachines("j-2"));
        assertEquals(120, w.onMachines("j-3"));
        assertTrue(w.onMachines("j-1") > 150, "only " + w.onMachines("j-1"));
        w.run(90);
        assertEquals("done", w.status(n, "j-1"));
        assertEquals("done", w.status(n, "j-2"));
        assertEquals(0, w.store.overLimits);
        assertEquals(List.of(), w.broken);
    }

    /** One job whose records are full says nothing about whether there is room for others. */
    @Test
    void aJobWhoseRecordsAreFullKeepsNobodyWaiting() {
        w.next = LOW;
        SimulatedNode n = w.node("k0");
        workers(250);
        w.run(5);
        w.runsFor = id -> id.equals("j-1") ? 1000 : 20;
        w.submit(n, SimulatedCluster.job("j-1", Shape.ARRAY, 256, 3));
        w.run(10);
        assertTrue(w.onMachines("j-1") < 200, "records take " + w.onMachines("j-1"));
        w.submit(n, SimulatedCluster.job("j-2", Shape.ARRAY, 30, 3));
        w.run(5);
        assertEquals(30, w.onMachines("j-2"));
    }

    /** Written by a holder that knew nothing of lower limits, as production does. */
    @Test
    void whatWasWrittenBeforeIsGoneOnWith() {
        SimulatedNode old = w.node("k0");
        workers(400);
        w.run(5);
        java.util.Random random = new java.util.Random(2);
        w.runsFor = id -> id.equals("j-3") ? 10_000 : 20 + random.nextInt(40);
        w.submit(old, SimulatedCluster.job("j-1", Shape.ARRAY, 250, 3));
        w.submit(old, SimulatedCluster.job("j-3", Shape.SERVICE, 250, 0.5));
        w.run(5);
        assertTrue(JsonSize.size(w.store.keys.get(StoreKeys.part("j-1", 0)).value()) > 2048);
        old.crash();
        w.next = LOW;
        fall();
        SimulatedNode n = w.node("k1");
        w.run(20);
        // The machines of a fifth of the service's replicas go.
        List<String> some = new ArrayList<>(w.workers.keySet());
        Collections.shuffle(some, new java.util.Random(5));
        some.subList(0, 80)
                .forEach(
                        id -> {
                            w.workers.get(id).die();
                            w.cloud.machines.remove(id);
                        });
        w.submit(n, SimulatedCluster.job("j-4", Shape.GANG, 150, 1));
        w.run(200);
        assertEquals(250, w.onMachines("j-3"));
        assertEquals("done", w.status(n, "j-1"));
        assertEquals("done", w.status(n, "j-4"));
        assertEquals(List.of(), w.broken);
        assertEquals(0, w.store.overLimits);
        // Takes over what it laid out anew.
        n.crash();
        SimulatedNode next = w.node("k2");
        w.run(20);
        assertEquals(250, w.onMachines("j-3"));
        w.cancel(next, "j-3");
        w.run(20);
        assertEquals(0, w.onMachines("j-3"));
        w.run(60);
        assertEquals(
                List.of(),
                w.store.keys.keySet().stream().filter(k -> k.startsWith(StoreKeys.PART)).toList());
        assertEquals(List.of(), w.broken);
    }

    /**
     * A gang that has not begun when the limits fall is laid out anew, by the holder and after its
     * end.
     */
    @Test
    void aGangTooWideForItsPartsStartsWholeWhereverTheHolderEnds() {
        for (int at = 0; at < 8; at++) {
            LimitsTest t = new LimitsTest();
            SimulatedNode old = t.w.node("k0");
            t.w.run(3);
            t.w.submit(old, SimulatedCluster.job("j-1", Shape.GANG, 200, 2));
            assertNull(
                    ((Map<?, ?>) t.w.store.keys.get(StoreKeys.OPEN + "j-1").value())
                            .get("partTasks"));
            old.crash();
            t.w.next = LOW;
            t.fall();
            SimulatedNode n = t.w.node("k1");
            t.w.run(4);
            t.workers(150);
            if (at > 0) {
                n.endAfter(at, () -> {});
            }
            t.w.run(1);
            SimulatedNode other = t.w.node("k2");
            t.w.run(60);
            assertEquals("done", t.w.status(other, "j-1"), "ended at " + at);
            assertEquals(List.of(), t.w.broken);
        }
    }

    @Test
    void limitsLowerThanAnnouncedSlowDownButDontStop() {
        w.next = LOW;
        SimulatedNode n = w.node("k0");
        workers(60);
        w.runsFor = id -> 20;
        w.run(5);
        w.store.txnOps = 5;
        w.store.valueBytes = 900;
        for (int i = 0; i < 30; i++) {
            // All at once, so that there is much to write in one transaction.
            n.controller
                    .registry()
                    .submit(SimulatedCluster.job("j-" + (100 + i), Shape.ARRAY, 4, 1), a -> {});
        }
        w.run(60);
        for (int i = 0; i < 30; i++) {
            assertEquals("done", w.status(n, "j-" + (100 + i)));
        }
        assertTrue(w.store.overLimits > 0);
        assertTrue(w.store.overLimits < 60, w.store.overLimits + " refused");
        assertEquals(List.of(), w.broken);
    }

    @Test
    void whatCantBeKeptIsRefusedAtOnceAndNotForEver() {
        w.next = LOW;
        SimulatedNode n = w.node("k0");
        w.run(3);
        JobSpec s = SimulatedCluster.job("j-1", Shape.ARRAY, 1, 1);
        List<String> types = new ArrayList<>(List.of("m4"));
        for (int i = 0; i < 300; i++) {
            types.add("type-" + i);
        }
        JobSpec large =
                new JobSpec(
                        s.id(),
                        s.jobClass(),
                        s.team(),
                        s.shape(),
                        s.priority(),
                        1,
                        1,
                        0,
                        1,
                        types,
                        null,
                        false,
                        false,
                        false,
                        "img",
                        1,
                        20,
                        0,
                        0,
                        null);
        assertEquals(Verdict.INVALID, w.submit(n, large).verdict());
        w.store.valueBytes = 100;
        assertEquals(Verdict.INVALID, w.submit(n, s).verdict());
    }

    @Test
    void aJobAcceptedWhenRecordsCouldBeLargerEndsAllTheSame() {
        SimulatedNode old = w.node("k0");
        w.run(3);
        List<String> types = new ArrayList<>(List.of("m4"));
        for (int i = 0; i < 250; i++) {
            types.add("type-" + i);
        }
        for (String id : List.of("j-1", "j-2")) {
            JobSpec s = SimulatedCluster.job(id, Shape.ARRAY, 1, 1);
            w.submit(
                    old,
                    new JobSpec(
                            s.id(),
                            s.jobClass(),
                            s.team(),
                            s.shape(),
                            s.priority(),
                            1,
                            1,
                            0,
                            1,
                            types,
                            null,
                            false,
                            false,
                            false,
                            "img",
                            1,
                            20,
                            0,
                            0,
                            null));
        }
        w.next = LOW;
        fall();
        old.crash();
        SimulatedNode n = w.node("k1");
        w.run(10);
        assertEquals("cancelled", w.cancel(n, "j-2").state().status());
        workers(1);
        w.run(40);
        assertEquals("done", w.status(n, "j-1"));
        assertEquals(0, w.store.overLimits);
    }

    /**
     * The settings name the fallen limit as the one in force, without a word of what was before.
     */
    @Test
    void settingsThatChangeDontChangeWhatAPartsKeyMeans() {
        SimulatedNode old = w.node("k0");
        workers(100);
        w.run(5);
        w.submit(old, SimulatedCluster.job("j-1", Shape.ARRAY, 300, 1));
        w.run(5);
        assertEquals(300, w.onMachines("j-1"));
        w.run(25); // Some of it is done by now.
        old.crash();
        w.valueKb = 2;
        fall();
        SimulatedNode n = w.node("k1");
        w.run(1);
        // What ran on them has to run once more, and nothing that has not run may count as done.
        w.workers.values().stream()
                .limit(60)
                .toList()
                .forEach(
                        x -> {
                            x.die();
                            w.cloud.machines.remove(x.id);
                        });
        w.run(250);
        assertEquals("done", w.status(n, "j-1"));
        assertEquals(300, w.completed.get("j-1").size());
        assertEquals(List.of(), w.broken);
    }

    /** What earlier versions would take for something else they can't read at all. */
    @Test
    void earlierVersionsCantReadWhatWouldMislead() {
        JobSpec s = SimulatedCluster.job("j-1", Shape.ARRAY, 300, 1);
        assertEquals(
                s.toRecord().get("shape"),
                new JobRecord(s, 5, List.of(), 0, 0).toMap().get("shape"));
        for (JobRecord r :
                List.of(
                        new JobRecord(s, 5, List.of("j-2"), 0, 0),
                        new JobRecord(s, 5, List.of(), 64, 7))) {
            Object shape = r.toMap().get("shape");
            assertTrue(
                    java.util.Arrays.stream(Shape.values()).noneMatch(x -> x.name().equals(shape)));
            assertEquals(r, JobRecord.of("j-1", r.toMap()));
        }
    }
}
