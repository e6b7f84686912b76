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
class CloudIntentsRandomizedTest {
    private final class Run {
        final SimulatedCluster cluster = new SimulatedCluster();
        final Random random;
        int needed;
        int faults;

        Run(long seed) {
            random = new Random(seed);
            cluster.heartbeatIntervalSeconds = 2;
            cluster.leaseSeconds = 40;
            cluster.cloud.capacity = 1000;
            cluster.cloud.listLagSeconds = 8;
            cluster.cloud.bootSeconds = n -> 5;
            for (int i = 0; i < 2 + seed % 2; i++) {
                cluster.siblings.add("k" + i);
            }
            cluster.siblings.forEach(cluster::node);
            cluster.run(6);
        }

        void badNetwork(boolean so) {
            cluster.latencySeconds =
                    so
                            ? () ->
                                    random.nextInt(20) == 0
                                            ? random.nextDouble() * 1.5
                                            : 0.002 + random.nextDouble() * 0.05
                            : null;
            cluster.losesNextResponse = so ? () -> random.nextInt(25) == 0 : () -> false;
            cluster.cloud.holdsBackRequestsOf =
                    so ? client -> random.nextInt(6) == 0 : client -> false;
        }

        void late() {
            List<Runnable> held = List.copyOf(cluster.cloud.heldBackRequests);
            cluster.cloud.heldBackRequests.clear();
            held.forEach(r -> cluster.after(30 + random.nextDouble() * 60, r));
        }

        void fault() {
            SimulatedNode node = cluster.nodes.get("k" + random.nextInt(cluster.siblings.size()));
            faults++;
            switch (random.nextInt(5)) {
                case 0, 1 -> {
                    if (node.alive) {
                        node.crash();
                        cluster.after(
                                new double[] {0, 0.3, 6}[random.nextInt(3)],
                                () -> cluster.node(node.name));
                    }
                }
                case 2 -> node.frozenUntil = cluster.clock.now + random.nextDouble() * 8;
                case 3 -> {
                    node.cutFromStore = true;
                    cluster.after(random.nextDouble() * 8, () -> node.cutFromStore = false);
                }
                default -> cluster.store.outage(random.nextDouble() * 5);
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
            while (cluster.submit(cluster.nodes.get("k0"), job(id, Shape.GANG, machines, 4))
                    == null) {
                cluster.run(1);
            }
            badNetwork(true);
            for (int i = 0; i < 8; i++) {
                cluster.run(random.nextDouble() * 4);
                fault();
                late();
            }
            cluster.run(10);
            badNetwork(false);
            late();
            cluster.run(220);
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
                assertEquals("done", r.cluster.status(r.cluster.leader(), "j-" + i), at);
                assertEquals(r.needed, r.cluster.cloud.nameCount, at);
                assertEquals(r.needed, r.cluster.cloud.released.stream().distinct().count(), at);
                assertEquals(
                        0,
                        r.cluster.store.entries.keySet().stream()
                                .filter(key -> key.startsWith(StoreKeys.CLOUD_INTENTS))
                                .count(),
                        at);
            }
            assertEquals(List.of(), r.cluster.violations, "seed " + seed);
            assertEquals(
                    r.needed,
                    r.cluster.workers.values().stream().mapToInt(worker -> worker.started).sum(),
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
