package io.kitepath.core.service;

import io.kitepath.core.leadership.CancellationWatermark;
import io.kitepath.core.leadership.Leadership;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.shard.ShardState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Whether this node may answer workers with its token, and so keep their tasks alive.
 *
 * <p>An answer sent at time a keeps tasks until a + {@code lease_s} at most. Every cancellation
 * confirmed before k = {@link CancellationWatermark} is known, and each answer says what to stop
 * for it. One that is not known was confirmed after k, so that its tasks are gone {@code a - k +
 * lease_s} after it at the latest: that has to stay under {@code cancel_s}.
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

    boolean mayAnswer(Heartbeat heartbeat) {
        return leadership.isLeading()
                && heartbeat.fencingToken() <= shard.fencingToken()
                && knowsCancellations();
    }

    /** Guards against a holder that keeps tasks alive whose jobs were cancelled behind its back. */
    boolean knowsCancellations() {
        double age = cancellationWatermark.ageSeconds();
        boolean knows = age < settings.workers().cancellationStalenessSeconds();
        if (isRefusing == knows) {
            isRefusing = !knows;
            if (knows) {
                LOG.info("all cancellations are known again: workers are answered");
            } else {
                LOG.warn(
                        "workers are not answered any more: which jobs were cancelled is known until {} s ago; last"
                                + " answer of the state service {} s ago, least is known of {}",
                        Math.round(age),
                        Math.round(leadership.secondsSinceStoreAnswered()),
                        cancellationWatermark.leastKnownPeer());
            }
        }
        return knows;
    }
}
