package io.kitepath.core;

import static io.kitepath.simulation.SimulatedCluster.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.core.state.StoreKeys;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedNode;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Renting and returning on a bad network: messages to store and cloud take any time up to seconds,
 * so that they pass each other, answers are lost, requests to the cloud run a minute late, while
 * nodes end, stand still and lose the store.
 */
class DutySeedsTest {
    private final class Run {
        final SimulatedCluster w = new SimulatedCluster();
        final Random random;
        int needed;
        int faults;

        Run(long seed) {
            random = new Random(seed);
            w.reportS = 2;
            w.leaseS = 40;
            w.cloud.capacity = 1000;
            w.cloud.listLagS = 8;
            w.cloud.bootS = n -> 5;
            for (int i = 0; i < 2 + seed % 2; i++) {
                w.siblings.add("k" + i);
            }
            w.siblings.forEach(w::node);
            w.run(6);
        }

        void badNetwork(boolean so) {
            w.latencyS =
                    so
                            ? () ->
                                    random.nextInt(20) == 0
                                            ? random.nextDouble() * 1.5
                                            : 0.002 + random.nextDouble() * 0.05
                            : null;
            w.losesAnswer = so ? () -> random.nextInt(25) == 0 : () -> false;
            w.cloud.withheld = so ? n -> random.nextInt(6) == 0 : n -> false;
        }

        void late() {
            List<Runnable> held = List.copyOf(w.cloud.heldBack);
            w.cloud.heldBack.clear();
            held.forEach(r -> w.after(30 + random.nextDouble() * 60, r));
        }

        void fault() {
            SimulatedNode n = w.nodes.get("k" + random.nextInt(w.siblings.size()));
            faults++;
            switch (random.nextInt(5)) {
                case 0, 1 -> {
                    if (n.alive) {
                        n.crash();
                        w.after(new double[] {0, 0.3, 6}[random.nextInt(3)], () -> w.node(n.name));
                    }
                }
                case 2 -> n.frozenUntil = w.clock.now + random.nextDouble() * 8;
                case 3 -> {
                    n.cutFromStore = true;
                    w.after(random.nextDouble() * 8, () -> n.cutFromStore = false);
                }
                default -> w.store.outage(random.nextDouble() * 5);
            }
        }

        /**
         * One gang that needs so many machines, of a fleet that has none, with failures while it is
         * served.
         */
        void serve(String id, int machines) {
            needed += machines;
            // Only work comes through the good network; what is tested is what it sets off.
            badNetwork(false);
            while (w.submit(w.nodes.get("k0"), job(id, Shape.GANG, machines, 4)) == null) {
                w.run(1);
            }
            badNetwork(true);
            for (int i = 0; i < 8; i++) {
                w.run(random.nextDouble() * 4);
                fault();
                late();
            }
            w.run(10);
            badNetwork(false);
            late();
            w.run(220);
        }
    }

    @Test
    void noNeedIsRentedTwiceAndNothingIsTakenFromWork() {
        int faults = 0;
        for (long seed = 0; seed < 60; seed++) {
            Run r = new Run(seed);
            for (int i = 1; i <= 2; i++) {
                r.serve("j-" + i, 2 + r.random.nextInt(5));
                String at = "seed " + seed + ", job " + i;
                assertEquals("done", r.w.status(r.w.leader(), "j-" + i), at);
                assertEquals(r.needed, r.w.cloud.named, at);
                assertEquals(r.needed, r.w.cloud.released.stream().distinct().count(), at);
                assertEquals(
                        0,
                        r.w.store.keys.keySet().stream()
                                .filter(k -> k.startsWith(StoreKeys.ACT))
                                .count(),
                        at);
            }
            assertEquals(List.of(), r.w.broken, "seed " + seed);
            assertEquals(
                    r.needed,
                    r.w.workers.values().stream().mapToInt(x -> x.started).sum(),
                    "seed " + seed);
            faults += r.faults;
        }
        System.out.println(
                "renting and returning on a bad network: 60 runs, "
                        + faults
                        + " failures of nodes");
        assertTrue(faults >= 900);
    }
}
