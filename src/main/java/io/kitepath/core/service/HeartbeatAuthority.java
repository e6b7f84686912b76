package io.kitepath.core.service;

import io.kitepath.core.leadership.CancellationWatermark;
import io.kitepath.core.leadership.Leadership;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.shard.ShardState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Whether this node may answer workers under its fencing token, and so keep their tasks alive.
 *
 * <p>An answer that is sent at time a keeps tasks alive until a + {@code lease_s} at most. Every
 * cancellation that was confirmed before k, the {@link CancellationWatermark}, is known here, and
 * each answer says what to stop for it. One that is not known was confirmed after k, so its tasks
 * are gone {@code a - k + lease_s} after it at the latest: that has to stay under {@code cancel_s}.
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

    /** Whether this node may answer that heartbeat. */
    boolean mayAnswer(Heartbeat heartbeat) {
        return leadership.isLeading()
                && heartbeat.fencingToken() <= shard.fencingToken()
                && knowsCancellations();
    }

    /** Whether an answer that was held may still go out under the token that it was given. */
    boolean mayStillAnswer(long fencingToken) {
        return leadership.isLeading()
                && fencingToken == shard.fencingToken()
                && knowsCancellations();
    }

    /** Guards against a leader that keeps tasks of jobs alive whose cancellation it missed. */
    private boolean knowsCancellations() {
        double ageSeconds = cancellationWatermark.ageSeconds();
        boolean knows = ageSeconds < settings.workers().cancellationStalenessSeconds();
        if (isRefusing == knows) {
            isRefusing = !knows;
            if (knows) {
                LOG.info("cancellations known again: heartbeats are answered");
            } else {
                LOG.warn(
                        "heartbeats not answered, cancellations may be missing:"
                                + " watermarkAgeSeconds={} secondsSinceStoreAnswered={}"
                                + " leastKnownPeer={}",
                        Math.round(ageSeconds),
                        Math.round(leadership.secondsSinceStoreResponse()),
                        cancellationWatermark.mostLaggingPeer());
            }
        }
        return knows;
    }
}
