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

/** What the leader does about news that it reads in the shard's records, or is told on writing. */
final class ShardEvents implements StateWriter.Listener, CancellationVerifier.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(ShardEvents.class);

    private final NodeComponents node;

    /** {@code node} may still be under construction. */
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
        node.leadership.stepDown("the shard record is no longer ours");
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

    /** Reads everything again, under the same fencing token. */
    @Override
    public void reloadRequired(String why) {
        LOG.warn("reloading the shard: reason=\"{}\"", why);
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
    public void cancellationsKnownAsOf(double atMillis) {
        node.cancellationWatermark.advanceByStore(atMillis);
    }
}
