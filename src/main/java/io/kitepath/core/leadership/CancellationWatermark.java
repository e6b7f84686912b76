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
 * Up to which moment the leader knows every cancellation that any node may have confirmed to a
 * user. It has to be recent for a worker's lease to be extended or a task to be launched. There are
 * two sources only:
 *
 * <ul>
 *   <li>the store: everything that was confirmed before a request was <em>sent</em> whose answer
 *       shows that the jobs of all attempts are open ({@code core.state.CancellationVerifier}), or
 *       from which the open jobs were read;
 *   <li>each peer's own digests, as only controllers confirm cancellations: a digest that begins
 *       before the moment up to which that peer's confirmations are known carries that moment on to
 *       when the digest was made. A peer that is silent, whose version sends no digests, or that
 *       was started after that moment (it knows nothing of what the process before it confirmed)
 *       leaves it where it is.
 * </ul>
 *
 * <p>That the store does not answer a peer now is no source: it says nothing about what that peer
 * confirmed before. Moments are wall-clock times, which on all nodes are right to within the
 * settings' clock error.
 */
public final class CancellationWatermark {
    /** While that many cancellations are not seen in the store yet, digests count for nothing. */
    private static final int MAX_UNPROVEN = 5000;

    private final List<String> peers;
    private final Timers timers;

    /** By how much the clocks of two nodes may differ. */
    private final double maxClockSkewMillis;

    /** By the store, everything before that is known, for all peers. */
    private double storeWatermarkMillis = Double.NEGATIVE_INFINITY;

    /** By its digests, everything that the peer confirmed before that is known. */
    private final Map<String, Double> digestWatermarkMillis = new HashMap<>();

    /** Jobs that others said are cancelled, and when they said so, by our clock. */
    private final Map<String, Double> unprovenCancellations = new LinkedHashMap<>();

    /** Knows nothing yet of the peers that the settings name. */
    public CancellationWatermark(ClusterSettings settings, Timers timers) {
        this.peers = settings.peers();
        this.timers = timers;
        this.maxClockSkewMillis = 2 * settings.clockErrorMillis();
    }

    /** A new leader knows nothing before it has read which jobs are open. */
    public void reset() {
        storeWatermarkMillis = Double.NEGATIVE_INFINITY;
        digestWatermarkMillis.clear();
    }

    /**
     * By the store, the leader knows everything that was confirmed before that moment, in
     * milliseconds since 1970 by our clock.
     */
    public void advanceByStore(double atMillis) {
        storeWatermarkMillis = Math.max(storeWatermarkMillis, atMillis);
        unprovenCancellations.values().removeIf(toldAt -> toldAt < storeWatermarkMillis);
    }

    /** A peer, a user's request or the store said just now that the job is cancelled for good. */
    public void addUnproven(String jobId) {
        if (unprovenCancellations.size() < MAX_UNPROVEN) {
            unprovenCancellations.putIfAbsent(jobId, timers.wallClockMillis());
        }
    }

    /** Jobs that are cancelled, though what was read from the store may still show them open. */
    public Set<String> unprovenCancellations() {
        return unprovenCancellations.keySet();
    }

    /** A peer's digest; the jobs that it names have been marked as cancelled already. */
    public void advanceByDigest(CancellationDigest digest) {
        String peer = digest.node();
        if (peers.contains(peer)
                && unprovenCancellations.size() < MAX_UNPROVEN
                && digest.sinceMillis() + maxClockSkewMillis <= watermarkMillis(peer)) {
            double madeAt = Math.min(timers.wallClockMillis(), digest.untilMillis());
            digestWatermarkMillis.merge(peer, madeAt - maxClockSkewMillis, Math::max);
        }
    }

    /**
     * For how long it has not been known what may have been confirmed, in seconds; infinite at
     * first, 0 without peers.
     */
    public double ageSeconds() {
        double now = timers.wallClockMillis();
        return (now - peers.stream().mapToDouble(this::watermarkMillis).min().orElse(now)) / 1000;
    }

    private double watermarkMillis(String peer) {
        return Math.max(
                storeWatermarkMillis,
                digestWatermarkMillis.getOrDefault(peer, Double.NEGATIVE_INFINITY));
    }

    /** The peer of whose confirmations the least is known, null without peers; for the log. */
    public String leastKnownPeer() {
        return peers.stream().min(Comparator.comparingDouble(this::watermarkMillis)).orElse(null);
    }
}
