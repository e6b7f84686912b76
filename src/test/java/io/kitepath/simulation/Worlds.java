package io.kitepath.simulation;

import io.kitepath.core.port.Timers;

/** Worlds in which stories begin. */
public final class Worlds {
    private Worlds() {}

    /**
     * So many nodes and machines, of which one leads and all have reported; the lease is five
     * reports long.
     */
    public static SimulatedCluster settled(int nodes, int machines) {
        SimulatedCluster w = new SimulatedCluster();
        w.reportS = 2;
        w.leaseS = 10;
        w.reportsChanges = true;
        for (int i = 0; i < nodes; i++) {
            w.siblings.add("k" + i);
        }
        w.siblings.forEach(w::node);
        for (int i = 0; i < machines; i++) {
            w.worker(String.format("i-%06d", i), i % 2 == 0 ? "a" : "b");
        }
        w.run(12);
        return w;
    }

    /**
     * All troubles end but those of nodes that are down, which are for the caller to bring back.
     */
    public static void endTroubles(SimulatedCluster w) {
        w.store.out = false;
        w.store.hangs = n -> false;
        w.store.late = t -> 0;
        w.store.unheard = t -> false;
        w.directHeldS = () -> 0;
        w.copyAfterS = () -> 0;
        w.keeps = r -> false;
        w.cancelsAtEnd = t -> false;
        w.workers
                .values()
                .forEach(
                        x -> {
                            x.cut = false;
                            x.deaf = false;
                            x.mute = false;
                        });
        w.nodes
                .values()
                .forEach(
                        n -> {
                            n.cutFromStore = false;
                            n.cutFrom.clear();
                            n.frozenUntil = 0;
                        });
    }

    /** The world's time, for a part that is tried by itself. */
    public static Timers timers(SimulatedCluster w) {
        return new Timers() {
            @Override
            public double now() {
                return w.clock.now;
            }

            @Override
            public double wallMs() {
                return w.clock.now * 1000;
            }

            @Override
            public void after(double seconds, Runnable run) {
                w.after(seconds, run);
            }
        };
    }
}
