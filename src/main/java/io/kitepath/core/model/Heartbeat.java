package io.kitepath.core.model;

import java.util.List;

/**
 * A worker's report on its machine and tasks. Of two heartbeats of one machine, the one with the
 * larger ({@code agentIncarnation}, {@code sequence}) is the newer.
 *
 * @param machineId the machine's id, assigned by the cloud
 * @param address the address at which the worker accepts direct commands; empty if it accepts none
 * @param machineType the name of the machine's type
 * @param spot whether it is a spot instance
 * @param agentIncarnation the incarnation of the worker's agent, from 1; it increases each time the
 *     worker's lease expires, which ends all its tasks
 * @param sequence increases with every heartbeat and every response to a direct command
 * @param fencingToken the highest token that the worker has received; it ignores commands with a
 *     lower one
 * @param noticeSeconds the seconds until the cloud reclaims the machine, or null if it gave no
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
     * The status of a task on the machine.
     *
     * @param task the task's number within the job
     * @param attempt the number of the attempt
     * @param cause why the attempt ended; null unless it has ended
     */
    public record TaskStatus(
            String jobId, int task, long attempt, TaskState state, EndCause cause) {}

    /**
     * Whether this heartbeat was sent after the heartbeat of the same machine with these numbers.
     */
    public boolean isNewerThan(long otherIncarnation, long otherSequence) {
        return agentIncarnation > otherIncarnation
                || agentIncarnation == otherIncarnation && sequence > otherSequence;
    }

    /** The state of an attempt. The order is part of the format of messages between nodes. */
    public enum TaskState {
        FETCHING_IMAGE,
        WAITING_FOR_GANG,
        RUNNING,
        SAVING_CHECKPOINT,
        ENDED
    }

    /** Why an attempt ended. The order is part of the format of messages between nodes. */
    public enum EndCause {
        /** The task completed. */
        DONE,
        /** A command stopped the task. */
        STOPPED,
        /** Another task of the gang has ended. */
        GANG_PEER_LOST,
        /** The gang was not complete within the timeout. */
        GANG_START_TIMEOUT,
        /** The task failed. */
        ERROR,
        /** Not started: the machine's free capacity does not suffice. */
        INSUFFICIENT_RESOURCES,
        /** Not started: another attempt of the task is on the machine. */
        OTHER_ATTEMPT_PRESENT,
        /** Not started: the job or task is unknown to the worker. */
        UNKNOWN_TASK
    }
}
