package io.kitepath.core;

import io.kitepath.core.leadership.Leadership;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Handles the start and the end of this node's leadership, and changes of the leader. */
final class LeadershipTransitions implements Leadership.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(LeadershipTransitions.class);

    private final NodeComponents node;

    /**
     * @param node the node, which may still be under construction
     */
    LeadershipTransitions(NodeComponents node) {
        this.node = node;
    }

    @Override
    public void onLeadershipWon(long fencingToken, long leaseId, long shardRevision) {
        node.shard.takeLeadership(fencingToken);
        node.cancellationWatermark.reset();
        node.cloud.reconciler.startLeading(leaseId);
        node.gossip.broadcast();
        node.failoverTimings.onLeadershipWon(
                node.timers.nowSeconds(), node.heartbeatProcessor.launchCount());
        node.stateWriter.start(Leadership.SHARD_KEY, shardRevision, node::requestRound);
        node.cancellationVerifier.start();
        node.dependencyVerifier.start();
        node.leaderLoop.start();
        node.heartbeatService.onLeaderKnown();
    }

    @Override
    public void onLeaderChanged(String leader) {
        node.heartbeatService.onLeaderKnown();
    }

    @Override
    public void onLeadershipLost(String reason) {
        LOG.info(node.shard.serviceLevels().summary());
        node.stateWriter.stop();
        node.cancellationVerifier.stop();
        node.dependencyVerifier.stop();
        node.shard.giveUpLeadership();
        node.heartbeatService.releaseAllHeldResponses();
        node.gossip.broadcast();
    }
}
