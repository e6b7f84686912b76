package io.kitepath.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Priority;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against the largest jobs of a class not starting during floods of other jobs. */
class LargestJobStartTest {
    private static final String LARGEST = "j-99999";
    private static final int MACHINE_COUNT = 8;
    private static final int SMALL_GANG_COUNT = 400;
    private static final int SMALL_GANGS_BEFORE_LARGEST = 100;

    /**
     * Interval between gangs that each use one machine for 20 s: more than the machines can run.
     */
    private static final double SECONDS_BETWEEN_GANGS = 0.7;

    private static JobSpec gang(String id, int tasks, Priority priority, boolean oneZone) {
        return SimulatedCluster.with(
                SimulatedCluster.job(id, Shape.GANG, tasks, 4), "red", priority, oneZone);
    }

    /**
     * Submits a gang that fills a whole zone while small jobs of the same priority, or of the next
     * higher one, arrive without end.
     */
    @Test
    void startsLargestGangWithin240SecondsDuringFloodOfSmallGangs() {
        for (Priority floodPriority : List.of(Priority.NORMAL, Priority.HIGH)) {
            SimulatedCluster cluster = new SimulatedCluster();
            cluster.reportsChangesImmediately = true;
            cluster.cloud.capacity = 0;
            SimulatedNode node = cluster.node("k0");
            for (int i = 0; i < MACHINE_COUNT; i++) {
                cluster.worker("i-" + i, i % 2 == 0 ? "a" : "b");
            }
            cluster.run(5);
            double[] startedAt = {0};
            cluster.clock.onTaskStart =
                    task -> {
                        if (task.jobId.equals(LARGEST) && startedAt[0] == 0) {
                            startedAt[0] = cluster.clock.now;
                        }
                    };
            double submittedAt = 0;
            for (int i = 0; i < SMALL_GANG_COUNT; i++) {
                cluster.submit(node, gang("j-" + (1000 + i), 1, floodPriority, false));
                if (i == SMALL_GANGS_BEFORE_LARGEST) {
                    submittedAt = cluster.clock.now;
                    cluster.submit(node, gang(LARGEST, 4, Priority.NORMAL, true));
                }
                cluster.run(SECONDS_BETWEEN_GANGS);
            }
            assertTrue(
                    startedAt[0] > 0 && startedAt[0] - submittedAt < 240,
                    "took " + (startedAt[0] - submittedAt) + " among " + floodPriority);
            assertEquals(List.of(), cluster.violations);
        }
    }
}
