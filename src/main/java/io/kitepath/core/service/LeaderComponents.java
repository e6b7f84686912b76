package io.kitepath.core.service;

import io.kitepath.core.leadership.CancellationWatermark;
import io.kitepath.core.leadership.Leadership;
import io.kitepath.core.shard.HeartbeatProcessor;
import io.kitepath.core.shard.ShardState;
import io.kitepath.core.state.StateWriter;

/**
 * The components that a node needs to respond to heartbeats itself while it is the leader.
 *
 * @param stateWriter provides which jobs may run
 * @param cancellationWatermark the time up to which this node knows all cancellations
 */
public record LeaderComponents(
        ShardState shard,
        HeartbeatProcessor heartbeatProcessor,
        Leadership leadership,
        StateWriter stateWriter,
        CancellationWatermark cancellationWatermark) {}
