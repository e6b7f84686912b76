package io.kitepath.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Priority;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedClusters;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Urgent work of one team and guaranteed work of another want the same machine: neither stops the
 * other without end.
 */
class MutualPreemptionTest {
    @Test
    void urgentWorkAndAGuaranteeDontStopEachOtherForEver() {
        int met = 0;
        for (boolean oneZone : new boolean[] {true, false}) {
            for (boolean urgentFirst : new boolean[] {true, false}) {
                for (int cpus = 1; cpus <= 4; cpus *= 2) {
                    SimulatedCluster cluster = SimulatedClusters.settled(3, 1);
                    cluster.teams.put("blue", new ClusterSettings.Team("blue", 4, 8, 0, 0));
                    cluster.nodes.values().forEach(node -> node.crash());
                    cluster.siblings.forEach(cluster::node);
                    cluster.run(12);
                    cluster.taskSeconds = id -> 30;
                    JobSpec urgent =
                            SimulatedCluster.with(
                                    SimulatedCluster.job("j-1", Shape.ARRAY, 4 / cpus, cpus),
                                    "red",
                                    Priority.HIGH,
                                    oneZone);
                    JobSpec guaranteed =
                            SimulatedCluster.with(
                                    SimulatedCluster.job("j-2", Shape.ARRAY, 2, 2),
                                    "blue",
                                    Priority.NORMAL,
                                    false);
                    cluster.submit(cluster.leader(), urgentFirst ? urgent : guaranteed);
                    cluster.run(7);
                    cluster.submit(cluster.leader(), urgentFirst ? guaranteed : urgent);
                    cluster.invariants.troublesAreOver();
                    cluster.run(200);
                    String at =
                            "urgent of "
                                    + cpus
                                    + (oneZone ? " in one zone" : "")
                                    + (urgentFirst ? ", first" : ", second");
                    long evicted = cluster.leader().controller.scheduler.preemption().evictions();
                    met += evicted > 0 ? 1 : 0;
                    assertEquals("done", cluster.status(cluster.leader(), "j-1"), at);
                    assertEquals("done", cluster.status(cluster.leader(), "j-2"), at);
                    assertTrue(evicted <= 8, at + ": " + evicted + " stopped");
                    assertEquals(List.of(), cluster.violations, at);
                }
            }
        }
        assertTrue(met > 0, "nothing gave way");
    }
}
