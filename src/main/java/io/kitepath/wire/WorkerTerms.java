package io.kitepath.wire;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.WorkerCommand;

/** The protocol's words for task states, ends of tasks and commands, in both directions. */
final class WorkerTerms {
    private WorkerTerms() {}

    static Heartbeat.TaskState parseTaskState(String text) {
        return switch (text) {
            case "pulling" -> Heartbeat.TaskState.FETCHING_IMAGE;
            case "waiting" -> Heartbeat.TaskState.WAITING_FOR_GANG;
            case "saving" -> Heartbeat.TaskState.SAVING_CHECKPOINT;
            case "ended" -> Heartbeat.TaskState.ENDED;
            // An unknown state is never taken as proof that the task is gone.
            default -> Heartbeat.TaskState.RUNNING;
        };
    }

    static String of(Heartbeat.TaskState state) {
        return switch (state) {
            case FETCHING_IMAGE -> "pulling";
            case WAITING_FOR_GANG -> "waiting";
            case RUNNING -> "running";
            case SAVING_CHECKPOINT -> "saving";
            case ENDED -> "ended";
        };
    }

    static Heartbeat.EndCause parseEndCause(String text) {
        return switch (text) {
            case "done" -> Heartbeat.EndCause.DONE;
            case "halted" -> Heartbeat.EndCause.STOPPED;
            case "peers" -> Heartbeat.EndCause.GANG_PEER_LOST;
            case "alone" -> Heartbeat.EndCause.GANG_START_TIMEOUT;
            case "full" -> Heartbeat.EndCause.INSUFFICIENT_RESOURCES;
            case "in_use" -> Heartbeat.EndCause.OTHER_ATTEMPT_PRESENT;
            case "unknown" -> Heartbeat.EndCause.UNKNOWN_TASK;
            // "error", and any cause that only a later version of the worker knows.
            default -> Heartbeat.EndCause.ERROR;
        };
    }

    static String of(Heartbeat.EndCause cause) {
        return switch (cause) {
            case DONE -> "done";
            case STOPPED -> "halted";
            case GANG_PEER_LOST -> "peers";
            case GANG_START_TIMEOUT -> "alone";
            case ERROR -> "error";
            case INSUFFICIENT_RESOURCES -> "full";
            case OTHER_ATTEMPT_PRESENT -> "in_use";
            case UNKNOWN_TASK -> "unknown";
        };
    }

    static WorkerCommand.Action parseAction(String text) {
        return switch (text) {
            case "launch" -> WorkerCommand.Action.START;
            case "halt" -> WorkerCommand.Action.STOP;
            default -> WorkerCommand.Action.FORGET;
        };
    }

    static String of(WorkerCommand.Action action) {
        return switch (action) {
            case START -> "launch";
            case STOP -> "halt";
            case FORGET -> "clear";
        };
    }
}
