package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** How a new leader learns from the records how the dependencies of waiting jobs have ended. */
class DependencyOutcomesTest extends JobDependenciesFixture {
    private static final int ENDED_JOBS = 4000;
    private static final int WAITING_JOBS = 200;
    private static final int DEPENDENCIES_PER_JOB = 60;

    private SimulatedNode restart(SimulatedNode node) {
        node.kill();
        return cluster.node(node.name);
    }

    private void putEndedJob(String id) {
        Map<String, Object> record = Map.of("status", "done", "done", 1L, "endedMs", 1000L);
        cluster.store.put(StoreKeys.ENDED_JOBS + id, record, 0, ++cluster.store.revision);
    }

    /**
     * Guards against waiting jobs without an answer, for longer than the 75 s after which they
     * count as forgotten, while a new leader reads thousands of outcomes one by one.
     */
    @Test
    void thousandsOfOutcomesAreReadSoonEnoughToAnswerAboutTheirDependents() {
        cluster.requestsPerSecond = 150;
        cluster.valueKilobytes = 8;
        SimulatedNode node = startCluster(1);
        List<String> endedIds = new ArrayList<>();
        for (int i = 0; i < ENDED_JOBS; i++) {
            String id = String.format("j-%06d", i);
            putEndedJob(id);
            endedIds.add(id);
        }
        Random random = new Random(1);
        cluster.submit(node, job("j-900000", Shape.ARRAY, 1, 1000));
        for (int i = 0; i < WAITING_JOBS; i++) {
            Collections.shuffle(endedIds, random);
            List<String> dependencies = new ArrayList<>(endedIds.subList(0, DEPENDENCIES_PER_JOB));
            dependencies.add("j-900000");
            JobSpec spec = job("j-" + (910000 + i), Shape.ARRAY, 1, 1);
            node.controller.jobApi().submit(spec, dependencies, response -> {});
            cluster.run(0.5);
        }
        SimulatedNode next = restart(node);
        double startedAt = cluster.clock.now;
        while (next.controller.shard.jobs().isEmpty()
                || next.controller.shard.jobDependencies().unresolvedJobCount() > 0) {
            cluster.run(1);
            assertTrue(cluster.clock.now - startedAt < 60, "not read after 60 s");
        }
        for (int i = 0; i < WAITING_JOBS; i += 10) {
            assertEquals("pending", awaitStatus(next, "j-" + (910000 + i)));
        }
    }

    /** Guards against unreadable records that keep the outcomes of all others from being read. */
    @Test
    void dependenciesThatAreOpenAndUnreadableDoNotHoldUpOtherJobs() {
        SimulatedNode node = startCluster(2);
        cluster.submit(node, arrayJob("j-1", 1));
        cluster.submit(node, job("j-2", Shape.ARRAY, 1, 1000));
        for (int i = 10; i < 30; i++) {
            cluster.store.put(
                    StoreKeys.OPEN_JOBS + "j-" + i,
                    Map.of("shape", "ARRAY/9"),
                    0,
                    ++cluster.store.revision);
            JobSpec urgent =
                    SimulatedCluster.with(
                            arrayJob("j-1" + i, 1), "red", JobSpec.Priority.HIGH, false);
            cluster.submit(node, urgent, "j-" + i);
        }
        cluster.run(40);
        assertEquals("done", awaitStatus(node, "j-1"));
        SimulatedNode next = restart(node);
        cluster.submit(next, arrayJob("j-3", 1), "j-1");
        cluster.run(60);
        assertEquals("done", awaitStatus(next, "j-3"));
        checkInvariants();
    }
}
