package io.kitepath.core.service;

import io.kitepath.core.leadership.CancellationWatermark;
import io.kitepath.core.leadership.Leadership;
import io.kitepath.core.shard.HeartbeatProcessor;
import io.kitepath.core.shard.ShardState;
import io.kitepath.core.state.StateWriter;

/**
 * What a node needs to answer heartbeats itself, which it does while it leads.
 *
 * @param stateWriter knows which jobs may run
 * @param cancellationWatermark until when this node knows all cancellations
 */
public record LeaderComponents(
        ShardState shard,
        HeartbeatProcessor heartbeatProcessor,
        Leadership leadership,
        StateWriter stateWriter,
        CancellationWatermark cancellationWatermark) {}
