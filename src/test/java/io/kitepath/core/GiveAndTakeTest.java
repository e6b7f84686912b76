package io.kitepath.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Priority;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.Worlds;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Urgent work of one team and guaranteed work of another want the same machine: neither stops the
 * other without end.
 */
class GiveAndTakeTest {
    @Test
    void urgentWorkAndAGuaranteeDontStopEachOtherForEver() {
        int met = 0;
        for (boolean oneZone : new boolean[] {true, false}) {
            for (boolean urgentFirst : new boolean[] {true, false}) {
                for (int cpus = 1; cpus <= 4; cpus *= 2) {
                    SimulatedCluster w = Worlds.settled(3, 1);
                    w.teams.put("blue", new ClusterSettings.Team("blue", 4, 8, 0, 0));
                    w.nodes.values().forEach(n -> n.crash());
                    w.siblings.forEach(w::node);
                    w.run(12);
                    w.runsFor = id -> 30;
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
                    w.submit(w.leader(), urgentFirst ? urgent : guaranteed);
                    w.run(7);
                    w.submit(w.leader(), urgentFirst ? guaranteed : urgent);
                    w.rules.calm();
                    w.run(200);
                    String at =
                            "urgent of "
                                    + cpus
                                    + (oneZone ? " in one zone" : "")
                                    + (urgentFirst ? ", first" : ", second");
                    long evicted = w.leader().controller.placer.preemption().evictions();
                    met += evicted > 0 ? 1 : 0;
                    assertEquals("done", w.status(w.leader(), "j-1"), at);
                    assertEquals("done", w.status(w.leader(), "j-2"), at);
                    assertTrue(evicted <= 8, at + ": " + evicted + " stopped");
                    assertEquals(List.of(), w.broken, at);
                }
            }
        }
        assertTrue(met > 0, "nothing gave way");
    }
}
