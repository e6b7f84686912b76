package io.kitepath.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * The time, and what is due when, for one world or for several that have something to do with each
 * other.
 */
public final class SimulatedClock {
    private record Due(double at, long order, Runnable run) {}

    private final PriorityQueue<Due> due =
            new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::order));
    private long ordered;
    public double now = 100;
    public final List<SimulatedCluster> worlds = new ArrayList<>();

    /** By job and task: what was started last. */
    public final Map<String, SimulatedTask> lastStarts = new HashMap<>();

    /** Sees every start. */
    public Consumer<SimulatedTask> starts = task -> {};

    /** Sees every task that completed, or failed. */
    public Consumer<SimulatedTask> ends = task -> {};

    public void ended(SimulatedTask task) {
        ends.accept(task);
    }

    public void started(SimulatedTask task) {
        starts.accept(task);
    }

    public void after(double s, Runnable r) {
        due.add(new Due(now + s, ordered++, r));
    }

    public void run(double seconds) {
        double until = now + seconds;
        while (!due.isEmpty() && due.peek().at <= until) {
            Due d = due.poll();
            now = Math.max(now, d.at);
            d.run.run();
        }
        now = until;
    }
}
