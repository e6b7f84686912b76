package io.kitepath.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A class's largest jobs under floods of others. */
class LargestTest {
    /**
     * A gang over the whole of a zone, while small jobs of its class and of one above come without
     * an end.
     */
    @Test
    void theLargestGangBeginsWithinFourMinutesOfAFlood() {
        for (JobSpec.Priority flood : List.of(JobSpec.Priority.NORMAL, JobSpec.Priority.HIGH)) {
            SimulatedCluster cluster = new SimulatedCluster();
            cluster.reportsChangesImmediately = true;
            cluster.cloud.capacity = 0;
            SimulatedNode node = cluster.node("k0");
            for (int i = 0; i < 8; i++) {
                cluster.worker("i-" + i, i % 2 == 0 ? "a" : "b");
            }
            cluster.run(5);
            double[] began = {0};
            cluster.clock.onTaskStart =
                    task ->
                            began[0] =
                                    task.jobId.equals("j-99999") && began[0] == 0
                                            ? cluster.clock.now
                                            : began[0];
            double since = 0;
            for (int i = 0; i < 400; i++) {
                // Two gangs of a machine each a second, of 20 s: more than there is room for.
                cluster.submit(
                        node,
                        SimulatedCluster.with(
                                SimulatedCluster.job("j-" + (1000 + i), Shape.GANG, 1, 4),
                                "red",
                                flood,
                                false));
                if (i == 100) {
                    since = cluster.clock.now;
                    cluster.submit(
                            node,
                            SimulatedCluster.with(
                                    SimulatedCluster.job("j-99999", Shape.GANG, 4, 4),
                                    "red",
                                    JobSpec.Priority.NORMAL,
                                    true));
                }
                cluster.run(0.7);
            }
            assertTrue(
                    began[0] > 0 && began[0] - since < 240,
                    "took " + (began[0] - since) + " among " + flood);
            assertEquals(List.of(), cluster.violations);
        }
    }
}
