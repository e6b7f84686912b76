package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static io.kitepath.simulation.SimulatedClusters.settled;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.shard.Machine;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A machine that was told nothing is not one that hears nothing. */
class HealthyMachinesTest {
    /**
     * A holder adopts what was placed and never launched, and may launch nothing, since the store
     * is out.
     */
    @Test
    void anOutageAfterAFailoverMarksNoMachineAsMissingAnswers() {
        int adopted = 0;
        for (double out = 0.2; out < 6; out += 0.2) {
            SimulatedCluster cluster = settled(3, 4);
            cluster.submit(cluster.leader(), job("j-1", Shape.ARRAY, 4, 4));
            SimulatedNode n = cluster.leader();
            n.kill();
            cluster.after(0.3, () -> cluster.node(n.name));
            cluster.after(out, () -> cluster.store.outage(14));
            boolean placedAndNotSeen = false;
            for (int i = 0; i < 36; i++) {
                cluster.run(0.5);
                for (SimulatedNode x : cluster.nodes.values()) {
                    for (Machine machine : x.controller.shard.machines().values()) {
                        assertFalse(
                                machine.isMissingResponses(),
                                "out after " + out + ": " + machine.id);
                        placedAndNotSeen |=
                                cluster.store.unavailable
                                        && machine.isTokenConfirmed()
                                        && machine.attempts().stream()
                                                .anyMatch(attempt -> !attempt.isSeen());
                    }
                }
            }
            adopted += placedAndNotSeen ? 1 : 0;
            cluster.run(60);
            assertEquals(List.of(), cluster.violations, "out after " + out);
            assertEquals("done", cluster.status(cluster.leader(), "j-1"), "out after " + out);
        }
        assertTrue(adopted >= 10, "in the meeting: " + adopted);
    }
}
