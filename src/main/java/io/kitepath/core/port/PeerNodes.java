package io.kitepath.core.port;

import io.kitepath.core.model.CancellationDigest;
import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.JobProgress;
import io.kitepath.core.model.JobStatus;
import java.util.List;
import java.util.function.Consumer;

/** What nodes tell and ask each other. */
public interface PeerNodes {
    /**
     * To all: this node's view.
     *
     * @param token the highest token it knows
     * @param leader itself if it leads, else null
     * @param served whether the store answers it
     */
    void announceState(long token, String leader, boolean served);

    /** To all: the store has it that this job is over. */
    void announceJobEnd(JobStatus job);

    /** To all that can read it: what this node knows to be cancelled. */
    void sendCancellationDigest(CancellationDigest digest);

    /** Asks the leader how far jobs are; answers an empty list if that can't be had soon. */
    void requestProgress(String leader, List<String> jobs, Consumer<List<JobProgress>> answer);

    /**
     * Has a sibling answer a check-in, or pass it on to the leader if it may; false if it can't be
     * asked now.
     */
    boolean relayHeartbeat(
            String sibling,
            Heartbeat heartbeat,
            boolean passOn,
            Consumer<HeartbeatResponse> answer);
}
