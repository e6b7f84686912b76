package io.kitepath.core.port;

import io.kitepath.core.model.CancellationDigest;
import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.JobProgress;
import io.kitepath.core.model.JobStatus;
import java.util.List;
import java.util.function.Consumer;

/**
 * The other controller nodes of the cell. What is sent to all of them may be lost; answers come on
 * the event loop.
 */
public interface PeerNodes {
    /**
     * Tells all peers this node's view of the cell.
     *
     * @param fencingToken the highest that it knows
     * @param leader itself if it leads, else null
     * @param servedByStore whether the store answers it
     */
    void announceState(long fencingToken, String leader, boolean servedByStore);

    /** Tells all peers that the store has recorded a job's end. */
    void announceJobEnd(JobStatus job);

    /** Tells the cancellations that this node knows to all peers whose version can read that. */
    void sendCancellationDigest(CancellationDigest digest);

    /** Asks the leader how far jobs are; answers an empty list if it does not answer in time. */
    void requestProgress(String leader, List<String> jobIds, Consumer<List<JobProgress>> answer);

    /**
     * Has a peer answer a heartbeat.
     *
     * @param mayPassOn whether the peer may pass it on to the leader
     * @return false if the peer can't be asked now; there is no answer then
     */
    boolean relayHeartbeat(
            String peer,
            Heartbeat heartbeat,
            boolean mayPassOn,
            Consumer<HeartbeatResponse> answer);
}
