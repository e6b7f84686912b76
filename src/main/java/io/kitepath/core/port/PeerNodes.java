package io.kitepath.core.port;

import io.kitepath.core.model.CancellationDigest;
import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.JobProgress;
import io.kitepath.core.model.JobStatus;
import java.util.List;
import java.util.function.Consumer;

/**
 * The peers: the other controller nodes of the cell. Messages to all peers may be lost. Responses
 * arrive on the event loop.
 */
public interface PeerNodes {
    /**
     * Sends this node's view of the cell to all peers.
     *
     * @param fencingToken the highest fencing token known to this node
     * @param leader this node's name if it is the leader, otherwise null
     * @param isStoreReachable whether this node receives responses from the store
     */
    void announceState(long fencingToken, String leader, boolean isStoreReachable);

    /** Notifies all peers that the end of a job is recorded in the store. */
    void announceJobEnd(JobStatus job);

    /**
     * Sends the cancellations known to this node to all peers whose version supports the message.
     */
    void sendCancellationDigest(CancellationDigest digest);

    /**
     * Notifies the peers whose version supports the message that these jobs will be cancelled for
     * certain and may be called cancelled, although this is not recorded in the store yet.
     */
    void announceImpliedCancellations(List<String> jobIds);

    /**
     * Requests the progress of jobs from the leader. The callback receives an empty list if the
     * leader does not respond in time.
     */
    void requestProgress(String leader, List<String> jobIds, Consumer<List<JobProgress>> callback);

    /**
     * Relays a heartbeat to a peer, which responds to it.
     *
     * @param mayForward whether the peer may forward the heartbeat to the leader
     * @return false if the peer cannot be reached now; the callback is not invoked then
     */
    boolean relayHeartbeat(
            String peer,
            Heartbeat heartbeat,
            boolean mayForward,
            Consumer<HeartbeatResponse> callback);
}
