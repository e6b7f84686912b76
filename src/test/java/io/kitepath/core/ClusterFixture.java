package io.kitepath.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.port.Store;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import java.util.List;
import org.junit.jupiter.api.AfterEach;

/**
 * A simulated cluster in memory for tests of whole controllers. After each test, nothing in it may
 * have broken an invariant (a task started twice, a cancelled task running on, ...).
 */
abstract class ClusterFixture {
    final SimulatedCluster cluster = new SimulatedCluster();

    @AfterEach
    void noInvariantWasViolated() {
        assertEquals(List.of(), cluster.violations);
    }

    /** Starts nodes and machines, alternately in zones a and b, and returns the leader. */
    SimulatedNode settled(int nodes, int machines) {
        for (int i = 0; i < nodes; i++) {
            cluster.node("k" + i);
        }
        for (int i = 0; i < machines; i++) {
            cluster.worker(String.format("i-%06d", i), i % 2 == 0 ? "a" : "b");
        }
        cluster.run(8);
        return cluster.leader();
    }

    /** Attempts that the node has stopped to make room for others. */
    long evictions(SimulatedNode node) {
        return node.controller.scheduler.preemption().evictions();
    }

    /** The first node that is not the given one. */
    SimulatedNode otherThan(SimulatedNode leader) {
        return cluster.nodes.values().stream()
                .filter(node -> node != leader)
                .findFirst()
                .orElseThrow();
    }

    /** The transaction by which a node accepts a job. */
    Store.Transaction submission(JobSpec spec) {
        var record = spec.toRecord();
        record.put("submittedMs", cluster.clock.now * 1000);
        return new Store.Transaction()
                .requireRevision(StoreKeys.OPEN_JOBS + spec.id(), 0)
                .put(StoreKeys.OPEN_JOBS + spec.id(), record);
    }
}
