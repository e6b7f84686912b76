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
    private final int count;
    private final BitSet done = new BitSet();
    private final BitSet elsewhere = new BitSet();
    private final SortedMap<Integer, Attempt> live;

    /**
     * @param live a view of the job's live attempts by task
     */
    JobTasks(int count, SortedMap<Integer, Attempt> live) {
        this.count = count;
        this.live = live;
    }

    // ---- done -----------------------------------------------------------------------------------

    void markDone(int task) {
        done.set(task);
    }

    void markAllDone() {
        done.set(0, count);
    }

    boolean isDone(int task) {
        return done.get(task);
    }

    int doneCount() {
        return done.cardinality();
    }

    /**
     * One bit per task from {@code firstTask} (inclusive) to {@code endTask} (exclusive), set if
     * the task is done; bit 0 is the first task.
     */
    BitSet doneBetween(int firstTask, int endTask) {
        return done.get(firstTask, endTask);
    }

    boolean isAnyDoneBetween(int firstTask, int endTask) {
        int next = done.nextSetBit(firstTask);
        return next >= 0 && next < endTask;
    }

    // ---- elsewhere ------------------------------------------------------------------------------

    void markElsewhere(int firstTask, int endTask) {
        elsewhere.set(firstTask, endTask);
    }

    void markHere(int firstTask, int endTask) {
        elsewhere.clear(firstTask, endTask);
    }

    int elsewhereCount() {
        return elsewhere.cardinality();
    }

    // ---- waiting --------------------------------------------------------------------------------

    /** Whether the task is placed by this cell and neither done nor live. */
    boolean isWaiting(int task) {
        return !done.get(task) && !elsewhere.get(task) && !live.containsKey(task);
    }

    int waitingCount() {
        return count - done.cardinality() - elsewhere.cardinality() - live.size();
    }

    /** The first waiting task at or after {@code firstTask}, or -1. */
    int nextWaiting(int firstTask) {
        for (int task = done.nextClearBit(firstTask);
                task < count;
                task = done.nextClearBit(task + 1)) {
            if (!live.containsKey(task) && !elsewhere.get(task)) {
                return task;
            }
        }
        return -1;
    }
}
