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
    private record ScheduledAction(double at, long order, Runnable run) {}

    private final PriorityQueue<ScheduledAction> scheduledActions =
            new PriorityQueue<>(
                    Comparator.comparingDouble(ScheduledAction::at)
                            .thenComparingLong(ScheduledAction::order));
    private long scheduledCount;
    public double now = 100;
    public final List<SimulatedCluster> clusters = new ArrayList<>();

    /** By job and task: what was started last. */
    public final Map<String, SimulatedTask> lastStarts = new HashMap<>();

    /** Sees every start. */
    public Consumer<SimulatedTask> onTaskStart = task -> {};

    /** Sees every task that completed, or failed. */
    public Consumer<SimulatedTask> onTaskEnd = task -> {};

    /** Tells the listener that a task ended. */
    public void ended(SimulatedTask task) {
        onTaskEnd.accept(task);
    }

    /** Tells the listener that a task started on its machine. */
    public void started(SimulatedTask task) {
        onTaskStart.accept(task);
    }

    /**
     * Schedules an action, in seconds from now; those of the same moment run in the order in which
     * they were scheduled.
     */
    public void after(double s, Runnable r) {
        scheduledActions.add(new ScheduledAction(now + s, scheduledCount++, r));
    }

    /** Advances the time by so many seconds and runs what is due. */
    public void run(double seconds) {
        double until = now + seconds;
        while (!scheduledActions.isEmpty() && scheduledActions.peek().at <= until) {
            ScheduledAction d = scheduledActions.poll();
            now = Math.max(now, d.at);
            d.run.run();
        }
        now = until;
    }
}
