package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static io.kitepath.simulation.Worlds.settled;
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
class SoundMachinesTest {
    /**
     * A holder adopts what was placed and never launched, and may launch nothing, since the store
     * is out.
     */
    @Test
    void anOutageAfterATakeoverMakesNoMachineDeaf() {
        int adopted = 0;
        for (double out = 0.2; out < 6; out += 0.2) {
            SimulatedCluster w = settled(3, 4);
            w.submit(w.leader(), job("j-1", Shape.ARRAY, 4, 4));
            SimulatedNode n = w.leader();
            n.kill();
            w.after(0.3, () -> w.node(n.name));
            w.after(out, () -> w.store.outage(14));
            boolean placedAndNotSeen = false;
            for (int i = 0; i < 36; i++) {
                w.run(0.5);
                for (SimulatedNode x : w.nodes.values()) {
                    for (Machine m : x.controller.block.machines().values()) {
                        assertFalse(m.deafToAnswers(), "out after " + out + ": " + m.id);
                        placedAndNotSeen |=
                                w.store.out
                                        && m.proven()
                                        && m.attempts().stream().anyMatch(a -> !a.seen());
                    }
                }
            }
            adopted += placedAndNotSeen ? 1 : 0;
            w.run(60);
            assertEquals(List.of(), w.broken, "out after " + out);
            assertEquals("done", w.status(w.leader(), "j-1"), "out after " + out);
        }
        assertTrue(adopted >= 10, "in the meeting: " + adopted);
    }
}
