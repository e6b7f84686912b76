package io.kitepath.core;

import io.kitepath.core.leadership.Leadership;
import io.kitepath.core.model.JobStatus;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.state.CancellationVerifier;
import io.kitepath.core.state.StateWriter;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Handles events that the leader detects when it reads or writes the shard's records. */
final class ShardEvents implements StateWriter.Listener, CancellationVerifier.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(ShardEvents.class);

    private final NodeComponents node;

    /**
     * @param node the node, which may still be under construction
     */
    ShardEvents(NodeComponents node) {
        this.node = node;
    }

    @Override
    public void jobEnded(JobStatus job) {
        node.otherCells.onJobEnded(job);
        node.announceJobEnded(job);
    }

    @Override
    public void shardLost() {
        node.leadership.stepDown("the shard record was changed or removed by another node");
    }

    @Override
    public void cloudIntentsLoaded(List<Entry> intents) {
        node.cloud.intents.adopt(intents);
    }

    @Override
    public void cloudIntentChanged(Entry intent) {
        node.cloud.intents.onRecordChanged(intent);
    }

    @Override
    public void runningJobsKnown(double sinceMillis) {
        node.cancellationWatermark.advanceByStore(sinceMillis);
        node.heartbeatService.onLeaderKnown();
    }

    @Override
    public Set<String> reportedCancelledJobIds() {
        return node.cancellationWatermark.unverifiedCancellations();
    }

    /** Reads all records of the shard again, under the same fencing token. */
    @Override
    public void reloadRequired(String reason) {
        LOG.warn("reloading the shard: reason=\"{}\"", reason);
        if (node.leadership.isLeading()) {
            node.stateWriter.start(
                    Leadership.SHARD_KEY, node.stateWriter.shardRevision(), node::requestRound);
        }
    }

    @Override
    public void jobClosed(String jobId) {
        node.shard.finishJob(jobId);
        node.requestRound();
    }

    @Override
    public void cancellationsKnownAsOf(double asOfMillis) {
        node.cancellationWatermark.advanceByStore(asOfMillis);
    }
}
