package io.kitepath.core.shard;

import io.kitepath.core.model.ClusterSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks the time before which every cancellation of a job that others wait for is known here,
 * according to the store. Only the store advances it: by a complete read of the open jobs, or by
 * comparisons that show all these jobs to be open. Guards against a leader that calls a job pending
 * although its user was told long ago that a dependency is cancelled. Times are in milliseconds
 * since 1970 by this node's clock.
 */
final class DependencyWatermark {
    private static final Logger LOG = LoggerFactory.getLogger(DependencyWatermark.class);

    private final double maxAgeMillis;
    private final double maxClockSkewMillis;
    private double watermarkMillis = Double.NEGATIVE_INFINITY;

    /** The earliest time from which a job that the current verification lacks is covered. */
    private double earliestAddedMillis = Double.POSITIVE_INFINITY;

    private boolean isOutdated;

    DependencyWatermark(ClusterSettings settings) {
        this.maxAgeMillis = 1000 * settings.workers().dependencyStalenessSeconds();
        this.maxClockSkewMillis = 2 * settings.clockErrorMillis();
    }

    void reset() {
        watermarkMillis = Double.NEGATIVE_INFINITY;
        onVerificationStarted();
    }

    /**
     * Handles a job that waits for others, or that others wait for, and that may have been accepted
     * long before it became known here. Nobody was told before its acceptance that it, or a job
     * that it waits for, is cancelled with it.
     *
     * @param submittedMillis by the clock of the node that accepted it
     */
    void onJobAdded(double submittedMillis) {
        onOpenAsOf(submittedMillis - maxClockSkewMillis);
    }

    /** Handles a dependency of which no more is known than that it was open at that time. */
    void onOpenAsOf(double asOfMillis) {
        watermarkMillis = Math.min(watermarkMillis, asOfMillis);
        earliestAddedMillis = Math.min(earliestAddedMillis, asOfMillis);
    }

    /** Called when the jobs that a verification covers have been determined. */
    void onVerificationStarted() {
        earliestAddedMillis = Double.POSITIVE_INFINITY;
    }

    /**
     * Called when the store has shown that all jobs of the verification were open at that time, or
     * that the others are known to have ended.
     */
    void onVerified(double asOfMillis) {
        watermarkMillis = Math.max(watermarkMillis, Math.min(asOfMillis, earliestAddedMillis));
    }

    /** The age of the watermark in seconds; infinite before the first verification. */
    double ageSeconds(double nowMillis) {
        return (nowMillis - watermarkMillis) / 1000;
    }

    /** Returns whether it is recent enough to report waiting jobs as not cancelled. */
    boolean isRecent(double nowMillis) {
        boolean isRecent = nowMillis - watermarkMillis < maxAgeMillis;
        if (isOutdated == isRecent) {
            isOutdated = !isRecent;
            if (isRecent) {
                LOG.info("dependency watermark recent again: reporting waiting jobs");
            } else {
                LOG.warn(
                        "not reporting waiting jobs, cancellations of their dependencies may be"
                                + " missing: watermarkAgeSeconds={}",
                        Math.round(ageSeconds(nowMillis)));
            }
        }
        return isRecent;
    }
}
