package io.kitepath.peers;

import io.kitepath.core.model.CellMessage;
import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.HeartbeatResponse;
import io.kitepath.core.model.JobProgress;
import io.kitepath.core.model.JobStatus;
import java.util.List;

/**
 * A message between controller nodes: of one cell, or, with {@link CellRequest} and {@link
 * CellReply}, of two cells.
 *
 * <p>A reply carries the request id of the request that it answers. Ids are unique among the
 * requests of one sender and start at 1.
 */
sealed interface PeerMessage {
    /** Calls the method of the handler for this kind of message. */
    void deliverTo(Handler handler);

    /** Takes in each kind of message. */
    interface Handler {
        void onNodeState(NodeState state);

        void onJobEnded(JobEnded ended);

        void onHeartbeatRelay(HeartbeatRelay relay);

        void onHeartbeatRelayReply(HeartbeatRelayReply reply);

        void onProgressRequest(ProgressRequest request);

        void onProgressReply(ProgressReply reply);

        void onCancelledJobs(CancelledJobs cancelled);

        void onImpliedCancellations(ImpliedCancellations implied);

        void onCellRequest(CellRequest request);

        void onCellReply(CellReply reply);
    }

    /**
     * What a node knows of the leadership, announced every second.
     *
     * @param node the sender
     * @param fencingToken the highest fencing token that the sender knows
     * @param isLeader whether the sender leads with that token
     * @param isStoreServing whether the store answers the sender
     */
    record NodeState(String node, long fencingToken, boolean isLeader, boolean isStoreServing)
            implements PeerMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onNodeState(this);
        }
    }

    /** The store has recorded that the job has ended. */
    record JobEnded(JobStatus job) implements PeerMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onJobEnded(this);
        }
    }

    /**
     * Asks a peer to answer a worker's heartbeat.
     *
     * @param requestId ties the {@link HeartbeatRelayReply} to this request
     * @param heartbeat as the worker sent it
     * @param mayForward whether a peer that does not lead may relay it to the leader
     */
    record HeartbeatRelay(long requestId, Heartbeat heartbeat, boolean mayForward)
            implements PeerMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onHeartbeatRelay(this);
        }
    }

    /** The answer to a relayed heartbeat. */
    record HeartbeatRelayReply(long requestId, HeartbeatResponse response) implements PeerMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onHeartbeatRelayReply(this);
        }
    }

    /** Asks the leader for the progress of jobs. */
    record ProgressRequest(long requestId, List<String> jobIds) implements PeerMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onProgressRequest(this);
        }
    }

    /** The progress of those of the requested jobs that the leader knows to be unfinished. */
    record ProgressReply(long requestId, List<JobProgress> progress) implements PeerMessage {
        /** Never the id of a request, as those are positive. */
        private static final long READS_CANCELLED_JOBS = Long.MIN_VALUE;

        private static final long READS_IMPLIED_CANCELLATIONS = Long.MIN_VALUE + 1;

        /**
         * Tells the receiver that the sender reads {@link CancelledJobs}. It has the form of a
         * reply to a request which nobody sent, because versions that do not know it drop such a
         * reply; a new kind of message would make them close the connection.
         */
        static ProgressReply readsCancelledJobs() {
            return new ProgressReply(READS_CANCELLED_JOBS, List.of());
        }

        /**
         * Tells the receiver that the sender reads {@link ImpliedCancellations}, in the same way as
         * {@link #readsCancelledJobs}.
         */
        static ProgressReply readsImpliedCancellations() {
            return new ProgressReply(READS_IMPLIED_CANCELLATIONS, List.of());
        }

        /** Whether this says that the sender reads {@link ImpliedCancellations}. */
        boolean tellsThatSenderReadsImpliedCancellations() {
            return requestId == READS_IMPLIED_CANCELLATIONS;
        }

        /** Whether this says that the sender reads {@link CancelledJobs}, and answers nothing. */
        boolean tellsThatSenderReadsCancelledJobs() {
            return requestId == READS_CANCELLED_JOBS;
        }

        @Override
        public void deliverTo(Handler handler) {
            handler.onProgressReply(this);
        }
    }

    /**
     * The jobs which the sender learned to be cancelled between two moments; only for peers that
     * said that they read it, see {@link ProgressReply#readsCancelledJobs}.
     *
     * @param node the sender
     * @param sinceMillis milliseconds since 1970
     * @param untilMillis milliseconds since 1970
     * @param jobIds the cancelled jobs
     */
    record CancelledJobs(String node, double sinceMillis, double untilMillis, List<String> jobIds)
            implements PeerMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onCancelledJobs(this);
        }
    }

    /**
     * The jobs that the leader has to cancel as a job that they depend on is cancelled, and that
     * may be called cancelled before this is recorded; only for peers that said that they read it,
     * see {@link ProgressReply#readsImpliedCancellations}.
     */
    record ImpliedCancellations(List<String> jobIds) implements PeerMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onImpliedCancellations(this);
        }
    }

    /** A request to a node of another cell. */
    record CellRequest(long requestId, CellMessage message) implements PeerMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onCellRequest(this);
        }
    }

    /** The answer to a {@link CellRequest}. */
    record CellReply(long requestId, CellMessage message) implements PeerMessage {
        @Override
        public void deliverTo(Handler handler) {
            handler.onCellReply(this);
        }
    }
}
