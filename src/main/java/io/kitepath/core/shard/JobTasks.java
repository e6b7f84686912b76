package io.kitepath.core.shard;

import java.util.BitSet;
import java.util.SortedMap;

/**
 * The state of each task of a job: done, live, elsewhere or waiting.
 *
 * <p>A task is elsewhere if it is not placed by this cell: it is lent to another cell, or it
 * belongs to a borrowed job and was not lent to this cell.
 */
final class JobTasks {
    private final int taskCount;
    private final BitSet doneTasks = new BitSet();
    private final BitSet elsewhereTasks = new BitSet();
    private final SortedMap<Integer, Attempt> liveAttempts;

    /**
     * @param liveAttempts a view of the job's live attempts by task
     */
    JobTasks(int taskCount, SortedMap<Integer, Attempt> liveAttempts) {
        this.taskCount = taskCount;
        this.liveAttempts = liveAttempts;
    }

    // ---- done -----------------------------------------------------------------------------------

    void markDone(int task) {
        doneTasks.set(task);
    }

    void markAllDone() {
        doneTasks.set(0, taskCount);
    }

    boolean isDone(int task) {
        return doneTasks.get(task);
    }

    int doneCount() {
        return doneTasks.cardinality();
    }

    /**
     * One bit per task from {@code firstTask} (inclusive) to {@code endTask} (exclusive), set if
     * the task is done; bit 0 is the first task.
     */
    BitSet doneBetween(int firstTask, int endTask) {
        return doneTasks.get(firstTask, endTask);
    }

    boolean isAnyDoneBetween(int firstTask, int endTask) {
        int nextDoneTask = doneTasks.nextSetBit(firstTask);
        return nextDoneTask >= 0 && nextDoneTask < endTask;
    }

    // ---- elsewhere ------------------------------------------------------------------------------

    void markElsewhere(int firstTask, int endTask) {
        elsewhereTasks.set(firstTask, endTask);
    }

    void markHere(int firstTask, int endTask) {
        elsewhereTasks.clear(firstTask, endTask);
    }

    int elsewhereCount() {
        return elsewhereTasks.cardinality();
    }

    // ---- waiting --------------------------------------------------------------------------------

    /** Whether the task is placed by this cell and neither done nor live. */
    boolean isWaiting(int task) {
        return !doneTasks.get(task) && !elsewhereTasks.get(task) && !liveAttempts.containsKey(task);
    }

    int waitingCount() {
        return taskCount
                - doneTasks.cardinality()
                - elsewhereTasks.cardinality()
                - liveAttempts.size();
    }

    /** The first waiting task at or after {@code firstTask}, or -1. */
    int nextWaiting(int firstTask) {
        for (int task = doneTasks.nextClearBit(firstTask);
                task < taskCount;
                task = doneTasks.nextClearBit(task + 1)) {
            if (!liveAttempts.containsKey(task) && !elsewhereTasks.get(task)) {
                return task;
            }
        }
        return -1;
    }
}
