package io.kitepath.core.leadership;

import io.kitepath.core.model.CancellationDigest;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.port.Timers;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Until when the holder knows every cancellation that anybody may have confirmed to a user.
 * Whatever keeps a worker's lease, or starts a task, asks it. Two sources only:
 *
 * <ul>
 *   <li>the store: all that was confirmed before a request was <em>sent</em> whose answer shows
 *       that the jobs of all attempts are open ({@code core.state.CancellationProof}), or from
 *       which the open jobs were read;
 *   <li>every sibling's own word, as only controllers confirm: a digest that begins before the
 *       moment until which that sibling's confirmations are known, and so carries that moment on to
 *       when it was said. A sibling that is silent, whose version has no such word, or that was
 *       started after that moment (it knows nothing of what the process before it confirmed) leaves
 *       it where it is.
 * </ul>
 *
 * <p>That the store is out for a sibling now is no source: it says nothing of what that one
 * confirmed before. Moments are times of day, which on all nodes are right to within the settings'
 * clock error.
 */
public final class CancellationWatermark {
    /**
     * Told of by others and not seen in the store yet; with more than that, digests count for
     * nothing.
     */
    private static final int MAX_UNPROVEN = 5000;

    private final List<String> siblings;
    private final Timers timers;

    /** Two clocks may be apart by that. */
    private final double maxClockSkewMillis;

    private double storeWatermarkMillis = Double.NEGATIVE_INFINITY;
    private final Map<String, Double> digestWatermarkMillis = new HashMap<>();

    /** Jobs that others said are cancelled, and when they said so, by our clock. */
    private final Map<String, Double> unprovenCancellations = new LinkedHashMap<>();

    public CancellationWatermark(ClusterSettings settings, Timers timers) {
        this.siblings = settings.siblings();
        this.timers = timers;
        this.maxClockSkewMillis = 2 * settings.clockErrorMillis();
    }

    /** A new holder knows nothing before it has read what is open. */
    public void reset() {
        storeWatermarkMillis = Double.NEGATIVE_INFINITY;
        digestWatermarkMillis.clear();
    }

    /**
     * By the store the holder knows all that was confirmed before that moment, in milliseconds of
     * our time of day.
     */
    public void advanceByStore(double atMs) {
        storeWatermarkMillis = Math.max(storeWatermarkMillis, atMs);
        unprovenCancellations.values().removeIf(t -> t < storeWatermarkMillis);
    }

    /** Somebody, or the store, said just now that the job is cancelled, which stays so. */
    public void unprovenCancellations(String jobId) {
        if (unprovenCancellations.size() < MAX_UNPROVEN) {
            unprovenCancellations.putIfAbsent(jobId, timers.wallClockMillis());
        }
    }

    /** Cancelled, but what was read from the store may still show them open. */
    public Set<String> unprovenCancellations() {
        return unprovenCancellations.keySet();
    }

    /** A sibling's word; what it names has been taken in already. */
    public void advanceByDigest(CancellationDigest d) {
        double until =
                Math.max(
                        storeWatermarkMillis,
                        digestWatermarkMillis.getOrDefault(d.node(), Double.NEGATIVE_INFINITY));
        if (siblings.contains(d.node())
                && unprovenCancellations.size() < MAX_UNPROVEN
                && d.sinceMillis() + maxClockSkewMillis <= until) {
            digestWatermarkMillis.merge(
                    d.node(),
                    Math.min(timers.wallClockMillis(), d.untilMillis()) - maxClockSkewMillis,
                    Math::max);
        }
    }

    /**
     * For how long it has not been known what may have been confirmed, in seconds; infinite at
     * first.
     */
    public double ageSeconds() {
        double now = timers.wallClockMillis();
        return (now - siblings.stream().mapToDouble(this::watermarkMillis).min().orElse(now))
                / 1000;
    }

    private double watermarkMillis(String sibling) {
        return Math.max(
                storeWatermarkMillis,
                digestWatermarkMillis.getOrDefault(sibling, Double.NEGATIVE_INFINITY));
    }

    /** The sibling of whose confirmations the least is known, null if there are none. */
    public String leastKnownPeer() {
        return siblings.stream()
                .min((a, b) -> Double.compare(watermarkMillis(a), watermarkMillis(b)))
                .orElse(null);
    }
}
