package io.kitepath.core.model;

import java.util.List;

/**
 * What a worker says of its machine. The report with the larger (session, sequence) is the newer
 * one.
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

    /** A task on the machine; {@code cause} is null unless it ended. */
    public record TaskStatus(
            String jobId, int task, long attempt, TaskState state, EndCause cause) {}

    /** Whether it was sent after the one of its machine that had these. */
    public boolean isNewerThan(long otherSession, long otherSequence) {
        return agentIncarnation > otherSession
                || agentIncarnation == otherSession && sequence > otherSequence;
    }

    public enum TaskState {
        FETCHING_IMAGE,
        WAITING_FOR_GANG,
        RUNNING,
        SAVING_CHECKPOINT,
        ENDED
    }

    public enum EndCause {
        DONE,
        STOPPED,
        GANG_PEER_LOST,
        GANG_START_TIMEOUT,
        ERROR,
        INSUFFICIENT_RESOURCES,
        OTHER_ATTEMPT_PRESENT,
        UNKNOWN_TASK
    }
}
