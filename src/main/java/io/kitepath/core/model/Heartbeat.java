package io.kitepath.core.model;

import java.util.List;

/**
 * What a worker says of its machine. The report with the larger (session, sequence) is the newer
 * one.
 */
public record Heartbeat(
        String machine,
        String address,
        String type,
        String zone,
        boolean spot,
        long session,
        long sequence,
        long token,
        Double noticeS,
        List<TaskStatus> tasks) {

    /** A task on the machine; {@code cause} is null unless it ended. */
    public record TaskStatus(String job, int task, long attempt, TaskState state, EndCause cause) {}

    /** Whether it was sent after the one of its machine that had these. */
    public boolean newerThan(long otherSession, long otherSequence) {
        return session > otherSession || session == otherSession && sequence > otherSequence;
    }

    public enum TaskState {
        FETCHING,
        WAITING,
        RUNNING,
        SAVING,
        ENDED
    }

    public enum EndCause {
        DONE,
        STOPPED,
        PEERS,
        ALONE,
        ERROR,
        NO_ROOM,
        BUSY,
        UNKNOWN
    }
}
