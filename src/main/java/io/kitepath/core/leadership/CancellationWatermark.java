package io.kitepath.core.leadership;

import io.kitepath.core.model.CancellationDigest;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.port.Timers;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tracks the time up to which the leader knows every cancellation that any node may have confirmed
 * to a user. It has to be recent for a worker's lease to be extended or a task to be launched.
 * There are only two sources:
 *
 * <ul>
 *   <li>the store: everything that was confirmed before the <em>sending</em> of a request whose
 *       response shows that the jobs of all attempts are open ({@code
 *       core.state.CancellationVerifier}), or from whose response the open jobs were read;
 *   <li>each peer's own digests, as only controllers confirm cancellations: a digest that begins
 *       before the peer's watermark advances that watermark to the time at which the digest was
 *       created. The watermark does not advance for a peer that is silent, whose version sends no
 *       digests, or that was started after the watermark (it does not know what its earlier process
 *       confirmed).
 * </ul>
 *
 * <p>A peer's loss of contact with the store is not a source: it says nothing about what that peer
 * confirmed before. Times are wall-clock times, which are correct on all nodes to within the
 * configured clock error.
 */
public final class CancellationWatermark {
    /** Digests are ignored while this many cancellations have not been seen in the store yet. */
    private static final int MAX_UNVERIFIED_CANCELLATIONS = 5000;

    private final List<String> peers;
    private final Timers timers;

    /** Maximum difference between the clocks of two nodes. */
    private final double maxClockSkewMillis;

    /** According to the store, all confirmations of all peers before this time are known. */
    private double storeWatermarkMillis = Double.NEGATIVE_INFINITY;

    /** By peer: according to its digests, all its confirmations before this time are known. */
    private final Map<String, Double> digestWatermarkMillis = new HashMap<>();

    /**
     * Jobs whose cancellation was reported but not yet seen in the store, with the time of the
     * report in milliseconds by this node's wall clock.
     */
    private final Map<String, Double> unverifiedCancellations = new LinkedHashMap<>();

    /** Creates a watermark for the configured peers; no confirmations are known yet. */
    public CancellationWatermark(ClusterSettings settings, Timers timers) {
        this.peers = settings.peers();
        this.timers = timers;
        this.maxClockSkewMillis = 2 * settings.clockErrorMillis();
    }

    /**
     * Resets the watermark: a new leader knows no confirmations before it has read which jobs are
     * open.
     */
    public void reset() {
        storeWatermarkMillis = Double.NEGATIVE_INFINITY;
        digestWatermarkMillis.clear();
    }

    /**
     * Advances the watermark of all peers: the store has shown everything that was confirmed before
     * this time, in milliseconds since 1970 by this node's clock.
     */
    public void advanceByStore(double atMillis) {
        storeWatermarkMillis = Math.max(storeWatermarkMillis, atMillis);
        unverifiedCancellations
                .values()
                .removeIf(reportedAtMillis -> reportedAtMillis < storeWatermarkMillis);
    }

    /**
     * Adds a job whose permanent cancellation was just reported by a peer, a user's request or the
     * store.
     */
    public void addUnverified(String jobId) {
        if (unverifiedCancellations.size() < MAX_UNVERIFIED_CANCELLATIONS) {
            unverifiedCancellations.putIfAbsent(jobId, timers.wallClockMillis());
        }
    }

    /**
     * Returns the jobs that are cancelled although the data read from the store may still show them
     * as open.
     */
    public Set<String> unverifiedCancellations() {
        return unverifiedCancellations.keySet();
    }

    /**
     * Advances a peer's watermark by its digest. The jobs of the digest must have been marked as
     * cancelled before.
     */
    public void advanceByDigest(CancellationDigest digest) {
        String peer = digest.node();
        if (peers.contains(peer)
                && unverifiedCancellations.size() < MAX_UNVERIFIED_CANCELLATIONS
                && digest.sinceMillis() + maxClockSkewMillis <= watermarkMillis(peer)) {
            double createdAtMillis = Math.min(timers.wallClockMillis(), digest.untilMillis());
            digestWatermarkMillis.merge(peer, createdAtMillis - maxClockSkewMillis, Math::max);
        }
    }

    /**
     * Returns the age of the oldest watermark of all peers, in seconds; infinite at first, 0
     * without peers.
     */
    public double ageSeconds() {
        double nowMillis = timers.wallClockMillis();
        return (nowMillis
                        - peers.stream().mapToDouble(this::watermarkMillis).min().orElse(nowMillis))
                / 1000;
    }

    private double watermarkMillis(String peer) {
        return Math.max(
                storeWatermarkMillis,
                digestWatermarkMillis.getOrDefault(peer, Double.NEGATIVE_INFINITY));
    }

    /** Returns the peer with the oldest watermark, null without peers; for the log. */
    public String mostLaggingPeer() {
        return peers.stream().min(Comparator.comparingDouble(this::watermarkMillis)).orElse(null);
    }
}
