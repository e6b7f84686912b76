package io.kitepath.simulation;

import io.kitepath.core.port.Timers;

/** Simulated clusters in the state in which tests begin. */
public final class SimulatedClusters {
    private SimulatedClusters() {}

    /**
     * So many nodes and machines, of which one leads and all have reported; the lease is five
     * reports long.
     */
    public static SimulatedCluster settled(int nodes, int machines) {
        SimulatedCluster cluster = new SimulatedCluster();
        cluster.heartbeatIntervalSeconds = 2;
        cluster.leaseSeconds = 10;
        cluster.reportsChangesImmediately = true;
        for (int i = 0; i < nodes; i++) {
            cluster.siblings.add("k" + i);
        }
        cluster.siblings.forEach(cluster::node);
        for (int i = 0; i < machines; i++) {
            cluster.worker(String.format("i-%06d", i), i % 2 == 0 ? "a" : "b");
        }
        cluster.run(12);
        return cluster;
    }

    /**
     * All troubles end but those of nodes that are down, which are for the caller to bring back.
     */
    public static void endTroubles(SimulatedCluster cluster) {
        cluster.store.unavailable = false;
        cluster.store.ignoresRequestsOf = client -> false;
        cluster.store.executionDelaySeconds = transaction -> 0;
        cluster.store.losesResponseOf = transaction -> false;
        cluster.directCommandHoldSeconds = () -> 0;
        cluster.duplicateDelaySeconds = () -> 0;
        cluster.copiesHeartbeat = heartbeat -> false;
        cluster.cancelsOnCompletion = task -> false;
        cluster.workers
                .values()
                .forEach(
                        worker -> {
                            worker.isCutOff = false;
                            worker.receivesNothing = false;
                            worker.sendsNothing = false;
                        });
        cluster.nodes
                .values()
                .forEach(
                        node -> {
                            node.cutFromStore = false;
                            node.cutFrom.clear();
                            node.frozenUntil = 0;
                        });
    }

    /** The world's time, for a part that is tried by itself. */
    public static Timers timers(SimulatedCluster cluster) {
        return new Timers() {
            @Override
            public double nowSeconds() {
                return cluster.clock.now;
            }

            @Override
            public double wallClockMillis() {
                return cluster.clock.now * 1000;
            }

            @Override
            public void schedule(double seconds, Runnable run) {
                cluster.after(seconds, run);
            }
        };
    }
}
