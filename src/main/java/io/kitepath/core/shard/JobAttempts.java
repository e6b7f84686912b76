package io.kitepath.core.shard;

import io.kitepath.core.model.Heartbeat.TaskState;
import java.util.Collection;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/** A job's live attempts, at most one of each task: those that nothing has proven over. */
final class JobAttempts {
    private final TreeMap<Integer, Attempt> live = new TreeMap<>();
    private final SortedMap<Integer, Attempt> liveView = Collections.unmodifiableSortedMap(live);

    /** By task, as they are now; read only. */
    SortedMap<Integer, Attempt> live() {
        return liveView;
    }

    /** Of the tasks from {@code firstTask} to before {@code endTask}; read only. */
    Collection<Attempt> liveBetween(int firstTask, int endTask) {
        return liveView.subMap(firstTask, endTask).values();
    }

    void add(Attempt attempt) {
        live.put(attempt.task, attempt);
    }

    /** Returns whether it was the live attempt of its task. */
    boolean remove(Attempt attempt) {
        return live.remove(attempt.task, attempt);
    }

    /** How many run, as far as reports have shown. */
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
