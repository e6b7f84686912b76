package io.kitepath.core.model;

/** A command to a worker about one attempt of one task. {@code graceS} matters to STOP only. */
public record WorkerCommand(Action verb, String job, int task, long attempt, double graceS) {
    public enum Action {
        START,
        STOP,
        FORGET
    }
}
