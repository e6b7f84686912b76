package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** How a new leader learns from the records how the dependencies of waiting jobs have ended. */
class DependencyOutcomesTest extends JobDependenciesFixture {
    private SimulatedNode restart(SimulatedNode node) {
        node.kill();
        return cluster.node(node.name);
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
