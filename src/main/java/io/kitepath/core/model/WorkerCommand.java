package io.kitepath.core.model;

/**
 * A command to a worker about one attempt of one task.
 *
 * @param task the task's number within the job
 * @param graceSeconds for {@link Action#STOP} only: how long the task has to save its progress
 */
public record WorkerCommand(
        Action action, String jobId, int task, long attempt, double graceSeconds) {
    /** The action to execute. The order is part of the format of messages between nodes. */
    public enum Action {
        START,
        STOP,
        /** Deletes the worker's state of an ended attempt, whose end is recorded. */
        FORGET
    }
}
