package io.kitepath.core.model;

import java.util.List;

/**
 * A worker's report of its machine and tasks. Of two reports of one machine, the one with the
 * larger ({@code agentIncarnation}, {@code sequence}) is the newer.
 *
 * @param machineId the machine's id, as the cloud gave it
 * @param address where the worker takes direct commands, empty if it does not
 * @param machineType name of the machine's type
 * @param spot whether it is a spot instance
 * @param agentIncarnation rises each time the worker's lease expires, and its tasks are gone then;
 *     from 1
 * @param sequence rises with every report and every answer to a direct command
 * @param fencingToken the highest that the worker has seen; it ignores commands with a lower one
 * @param noticeSeconds in how many seconds the cloud takes the machine back, or null if it gave no
 *     notice
 */
public record Heartbeat(
        String machineId,
        String address,
        String machineType,
        String zone,
        boolean spot,
        long agentIncarnation,
        long sequence,
        long fencingToken,
        Double noticeSeconds,
        List<TaskStatus> tasks) {

    /**
     * A task on the machine.
     *
     * @param task its number within the job
     * @param attempt the number of this attempt of the task
     * @param cause why it ended; null unless it did
     */
    public record TaskStatus(
            String jobId, int task, long attempt, TaskState state, EndCause cause) {}

    /** Whether it was sent after the report of the same machine that had these. */
    public boolean isNewerThan(long otherIncarnation, long otherSequence) {
        return agentIncarnation > otherIncarnation
                || agentIncarnation == otherIncarnation && sequence > otherSequence;
    }

    /** What a task does. The order is part of the format of messages between nodes. */
    public enum TaskState {
        FETCHING_IMAGE,
        WAITING_FOR_GANG,
        RUNNING,
        SAVING_CHECKPOINT,
        ENDED
    }

    /** Why an attempt ended. The order is part of the format of messages between nodes. */
    public enum EndCause {
        /** Completed. */
        DONE,
        /** By a command. */
        STOPPED,
        /** Another task of its gang is gone. */
        GANG_PEER_LOST,
        /** Its gang was not complete in time. */
        GANG_START_TIMEOUT,
        /** Failed. */
        ERROR,
        /** Not started: the machine has too little left. */
        INSUFFICIENT_RESOURCES,
        /** Not started: another attempt of the task is on the machine. */
        OTHER_ATTEMPT_PRESENT,
        /** Not started: the worker knows no such job or task. */
        UNKNOWN_TASK
    }
}
