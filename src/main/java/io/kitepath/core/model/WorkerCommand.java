package io.kitepath.core.model;

/**
 * A command to a worker about one attempt of one task. {@code graceSeconds} matters to STOP only.
 */
public record WorkerCommand(
        Action action, String jobId, int task, long attempt, double graceSeconds) {
    public enum Action {
        START,
        STOP,
        FORGET
    }
}
