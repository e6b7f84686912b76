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
class StoreLimitChangesTest {
    private static final ClusterSettings.StoreLimits LOW =
            new ClusterSettings.StoreLimits(1000, 1000, 2, 13);
    private final SimulatedCluster cluster = new SimulatedCluster();

    private void workers(int n) {
        for (int i = 0; i < n; i++) {
            cluster.worker("i-" + String.format("%06d", i), "a").taskSeconds = 20 + i % 9 * 5;
        }
    }

    private void fall() {
        cluster.store.largestValueBytes = 2048;
        cluster.store.largestTransactionOperations = 13;
    }

    private void largestIs(int bytes) {
        cluster.store.entries.forEach(
                (key, entry) ->
                        assertTrue(
                                JsonSize.sizeInBytes(entry.value()) <= bytes,
                                key + " has " + JsonSize.sizeInBytes(entry.value())));
    }

    @Test
    void whatIsAnnouncedIsKeptToFromTheStart() {
        cluster.announcedStoreLimits = LOW;
        SimulatedNode node = cluster.node("k0");
        workers(150);
        cluster.run(5);
        cluster.submit(node, SimulatedCluster.job("j-1", Shape.ARRAY, 500, 1));
        cluster.submit(node, SimulatedCluster.job("j-2", Shape.GANG, 100, 1));
        cluster.submit(node, SimulatedCluster.job("j-3", Shape.SERVICE, 120, 0.1));
        cluster.run(10);
        largestIs(2048);
        fall();
        assertEquals(100, cluster.onMachines("j-2"));
        assertEquals(120, cluster.onMachines("j-3"));
        assertTrue(cluster.onMachines("j-1") > 150, "only " + cluster.onMachines("j-1"));
        cluster.run(90);
        assertEquals("done", cluster.status(node, "j-1"));
        assertEquals("done", cluster.status(node, "j-2"));
        assertEquals(0, cluster.store.transactionsOverLimits);
        assertEquals(List.of(), cluster.violations);
    }

    /** One job whose records are full says nothing about whether there is room for others. */
    @Test
    void aJobWhoseRecordsAreFullKeepsNobodyWaiting() {
        cluster.announcedStoreLimits = LOW;
        SimulatedNode node = cluster.node("k0");
        workers(250);
        cluster.run(5);
        cluster.taskSeconds = id -> id.equals("j-1") ? 1000 : 20;
        cluster.submit(node, SimulatedCluster.job("j-1", Shape.ARRAY, 256, 3));
        cluster.run(10);
        assertTrue(cluster.onMachines("j-1") < 200, "records take " + cluster.onMachines("j-1"));
        cluster.submit(node, SimulatedCluster.job("j-2", Shape.ARRAY, 30, 3));
        cluster.run(5);
        assertEquals(30, cluster.onMachines("j-2"));
    }

    /** Written by a holder that knew nothing of lower limits, as production does. */
    @Test
    void whatWasWrittenBeforeIsGoneOnWith() {
        SimulatedNode old = cluster.node("k0");
        workers(400);
        cluster.run(5);
        java.util.Random random = new java.util.Random(2);
        cluster.taskSeconds = id -> id.equals("j-3") ? 10_000 : 20 + random.nextInt(40);
        cluster.submit(old, SimulatedCluster.job("j-1", Shape.ARRAY, 250, 3));
        cluster.submit(old, SimulatedCluster.job("j-3", Shape.SERVICE, 250, 0.5));
        cluster.run(5);
        assertTrue(
                JsonSize.sizeInBytes(cluster.store.entries.get(StoreKeys.partKey("j-1", 0)).value())
                        > 2048);
        old.crash();
        cluster.announcedStoreLimits = LOW;
        fall();
        SimulatedNode node = cluster.node("k1");
        cluster.run(20);
        // The machines of a fifth of the service's replicas go.
        List<String> some = new ArrayList<>(cluster.workers.keySet());
        Collections.shuffle(some, new java.util.Random(5));
        some.subList(0, 80)
                .forEach(
                        id -> {
                            cluster.workers.get(id).die();
                            cluster.cloud.machines.remove(id);
                        });
        cluster.submit(node, SimulatedCluster.job("j-4", Shape.GANG, 150, 1));
        cluster.run(200);
        assertEquals(250, cluster.onMachines("j-3"));
        assertEquals("done", cluster.status(node, "j-1"));
        assertEquals("done", cluster.status(node, "j-4"));
        assertEquals(List.of(), cluster.violations);
        assertEquals(0, cluster.store.transactionsOverLimits);
        // Takes over what it laid out anew.
        node.crash();
        SimulatedNode next = cluster.node("k2");
        cluster.run(20);
        assertEquals(250, cluster.onMachines("j-3"));
        cluster.cancel(next, "j-3");
        cluster.run(20);
        assertEquals(0, cluster.onMachines("j-3"));
        cluster.run(60);
        assertEquals(
                List.of(),
                cluster.store.entries.keySet().stream()
                        .filter(key -> key.startsWith(StoreKeys.JOB_PARTS))
                        .toList());
        assertEquals(List.of(), cluster.violations);
    }

    /**
     * A gang that has not begun when the limits fall is laid out anew, by the holder and after its
     * end.
     */
    @Test
    void aGangTooLargeForItsPartsStartsWholeWhereverTheLeaderCrashes() {
        for (int at = 0; at < 8; at++) {
            StoreLimitChangesTest t = new StoreLimitChangesTest();
            SimulatedNode old = t.cluster.node("k0");
            t.cluster.run(3);
            t.cluster.submit(old, SimulatedCluster.job("j-1", Shape.GANG, 200, 2));
            assertNull(
                    ((Map<?, ?>) t.cluster.store.entries.get(StoreKeys.OPEN_JOBS + "j-1").value())
                            .get("partTasks"));
            old.crash();
            t.cluster.announcedStoreLimits = LOW;
            t.fall();
            SimulatedNode node = t.cluster.node("k1");
            t.cluster.run(4);
            t.workers(150);
            if (at > 0) {
                node.crashAfterRequests(at, () -> {});
            }
            t.cluster.run(1);
            SimulatedNode other = t.cluster.node("k2");
            t.cluster.run(60);
            assertEquals("done", t.cluster.status(other, "j-1"), "ended at " + at);
            assertEquals(List.of(), t.cluster.violations);
        }
    }

    @Test
    void limitsLowerThanAnnouncedSlowDownButDontStop() {
        cluster.announcedStoreLimits = LOW;
        SimulatedNode node = cluster.node("k0");
        workers(60);
        cluster.taskSeconds = id -> 20;
        cluster.run(5);
        cluster.store.largestTransactionOperations = 5;
        cluster.store.largestValueBytes = 900;
        for (int i = 0; i < 30; i++) {
            // All at once, so that there is much to write in one transaction.
            node.controller
                    .jobApi()
                    .submit(
                            SimulatedCluster.job("j-" + (100 + i), Shape.ARRAY, 4, 1),
                            response -> {});
        }
        cluster.run(60);
        for (int i = 0; i < 30; i++) {
            assertEquals("done", cluster.status(node, "j-" + (100 + i)));
        }
        assertTrue(cluster.store.transactionsOverLimits > 0);
        assertTrue(
                cluster.store.transactionsOverLimits < 60,
                cluster.store.transactionsOverLimits + " refused");
        assertEquals(List.of(), cluster.violations);
    }

    @Test
    void aJobThatCanNotBeStoredIsRefusedAtOnce() {
        cluster.announcedStoreLimits = LOW;
        SimulatedNode node = cluster.node("k0");
        cluster.run(3);
        JobSpec spec = SimulatedCluster.job("j-1", Shape.ARRAY, 1, 1);
        List<String> types = new ArrayList<>(List.of("m4"));
        for (int i = 0; i < 300; i++) {
            types.add("type-" + i);
        }
        JobSpec large = spec.toBuilder().machineTypes(types).build();
        assertEquals(Verdict.INVALID, cluster.submit(node, large).verdict());
        cluster.store.largestValueBytes = 100;
        assertEquals(Verdict.INVALID, cluster.submit(node, spec).verdict());
    }

    @Test
    void aJobAcceptedWhenRecordsCouldBeLargerEndsAllTheSame() {
        SimulatedNode old = cluster.node("k0");
        cluster.run(3);
        List<String> types = new ArrayList<>(List.of("m4"));
        for (int i = 0; i < 250; i++) {
            types.add("type-" + i);
        }
        for (String id : List.of("j-1", "j-2")) {
            JobSpec spec = SimulatedCluster.job(id, Shape.ARRAY, 1, 1);
            cluster.submit(old, spec.toBuilder().machineTypes(types).build());
        }
        cluster.announcedStoreLimits = LOW;
        fall();
        old.crash();
        SimulatedNode node = cluster.node("k1");
        cluster.run(10);
        assertEquals("cancelled", cluster.cancel(node, "j-2").jobStatus().status());
        workers(1);
        cluster.run(40);
        assertEquals("done", cluster.status(node, "j-1"));
        assertEquals(0, cluster.store.transactionsOverLimits);
    }

    /**
     * The settings name the fallen limit as the one in force, without a word of what was before.
     */
    @Test
    void settingsThatChangeDontChangeWhatAPartsKeyMeans() {
        SimulatedNode old = cluster.node("k0");
        workers(100);
        cluster.run(5);
        cluster.submit(old, SimulatedCluster.job("j-1", Shape.ARRAY, 300, 1));
        cluster.run(5);
        assertEquals(300, cluster.onMachines("j-1"));
        cluster.run(25); // Some of it is done by now.
        old.crash();
        cluster.valueKilobytes = 2;
        fall();
        SimulatedNode node = cluster.node("k1");
        cluster.run(1);
        // What ran on them has to run once more, and nothing that has not run may count as done.
        cluster.workers.values().stream()
                .limit(60)
                .toList()
                .forEach(
                        worker -> {
                            worker.die();
                            cluster.cloud.machines.remove(worker.id);
                        });
        cluster.run(250);
        assertEquals("done", cluster.status(node, "j-1"));
        assertEquals(300, cluster.completedTasks.get("j-1").size());
        assertEquals(List.of(), cluster.violations);
    }

    /** What earlier versions would take for something else they can't read at all. */
    @Test
    void earlierVersionsCantReadWhatWouldMislead() {
        JobSpec spec = SimulatedCluster.job("j-1", Shape.ARRAY, 300, 1);
        assertEquals(
                spec.toRecord().get("shape"),
                new JobRecord(spec, 5, List.of(), 0, 0).toRecord().get("shape"));
        for (JobRecord record :
                List.of(
                        new JobRecord(spec, 5, List.of("j-2"), 0, 0),
                        new JobRecord(spec, 5, List.of(), 64, 7))) {
            Object shape = record.toRecord().get("shape");
            assertTrue(
                    java.util.Arrays.stream(Shape.values()).noneMatch(x -> x.name().equals(shape)));
            assertEquals(record, JobRecord.fromRecord("j-1", record.toRecord()));
        }
    }
}
