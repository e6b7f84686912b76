package io.kitepath.core.shard;

import io.kitepath.core.model.Heartbeat.TaskState;
import java.util.Collection;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/** A job's live attempts, which are not confirmed ended; at most one per task. */
final class JobAttempts {
    private final TreeMap<Integer, Attempt> live = new TreeMap<>();
    private final SortedMap<Integer, Attempt> liveView = Collections.unmodifiableSortedMap(live);

    /** The live attempts by task; a read-only view. */
    SortedMap<Integer, Attempt> live() {
        return liveView;
    }

    /**
     * The live attempts of the tasks from {@code firstTask} (inclusive) to {@code endTask}
     * (exclusive); a read-only view.
     */
    Collection<Attempt> liveBetween(int firstTask, int endTask) {
        return liveView.subMap(firstTask, endTask).values();
    }

    void add(Attempt attempt) {
        live.put(attempt.task, attempt);
    }

    /** Removes the attempt and returns whether it was the live attempt of its task. */
    boolean remove(Attempt attempt) {
        return live.remove(attempt.task, attempt);
    }

    /** The number of attempts that are running according to heartbeats. */
    int runningCount() {
        return (int)
                live.values().stream()
                        .filter(attempt -> attempt.state == TaskState.RUNNING)
                        .count();
    }

    boolean isAnySeen() {
        return live.values().stream().anyMatch(attempt -> attempt.isSeen);
    }
}
