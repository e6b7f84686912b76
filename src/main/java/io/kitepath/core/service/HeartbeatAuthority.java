package io.kitepath.core.service;

import io.kitepath.core.leadership.CancellationWatermark;
import io.kitepath.core.leadership.Leadership;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.shard.ShardState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides whether this node may respond to workers under its fencing token, and so keep their tasks
 * alive.
 *
 * <p>A response that is sent at time {@code a} keeps tasks alive until {@code a + lease_s} at most.
 * Every cancellation that was confirmed before {@code k}, the {@link CancellationWatermark}, is
 * known to this node, and each response contains the commands to stop the cancelled tasks. A
 * cancellation that is not known was confirmed after {@code k}, so its tasks end at most {@code a -
 * k + lease_s} after it. This must stay below {@code cancel_s}.
 */
final class HeartbeatAuthority {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatAuthority.class);

    private final ClusterSettings settings;
    private final ShardState shard;
    private final Leadership leadership;
    private final CancellationWatermark cancellationWatermark;
    private boolean isRefusing;

    HeartbeatAuthority(
            ShardState shard, Leadership leadership, CancellationWatermark cancellationWatermark) {
        this.settings = shard.settings();
        this.shard = shard;
        this.leadership = leadership;
        this.cancellationWatermark = cancellationWatermark;
    }

    /** Returns whether this node may respond to the heartbeat. */
    boolean mayRespond(Heartbeat heartbeat) {
        return leadership.isLeading()
                && heartbeat.fencingToken() <= shard.fencingToken()
                && knowsCancellations();
    }

    /**
     * Returns whether a held response may still be sent under the fencing token that it was given.
     */
    boolean mayStillRespond(long fencingToken) {
        return leadership.isLeading()
                && fencingToken == shard.fencingToken()
                && knowsCancellations();
    }

    /** Guards against a leader that keeps the tasks of jobs alive whose cancellation it missed. */
    private boolean knowsCancellations() {
        double watermarkAgeSeconds = cancellationWatermark.ageSeconds();
        boolean isRecent = watermarkAgeSeconds < settings.workers().cancellationStalenessSeconds();
        if (isRefusing == isRecent) {
            isRefusing = !isRecent;
            if (isRecent) {
                LOG.info("cancellation watermark recent again: responding to heartbeats");
            } else {
                LOG.warn(
                        "not responding to heartbeats, cancellations may be missing:"
                                + " watermarkAgeSeconds={} secondsSinceStoreResponse={}"
                                + " mostLaggingPeer={}",
                        Math.round(watermarkAgeSeconds),
                        Math.round(leadership.secondsSinceStoreResponse()),
                        cancellationWatermark.mostLaggingPeer());
            }
        }
        return isRecent;
    }
}
