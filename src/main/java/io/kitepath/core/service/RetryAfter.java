package io.kitepath.core.service;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.port.Timers;

/**
 * When users who can't be answered now shall come back. Guards against hundreds who are all told
 * one second, come back together, and are more than the state service can answer: it is given the
 * time that it needs for all of them.
 */
public final class RetryAfter {
    /** Users wait no longer than this on our word. */
    private static final int MAX_SECONDS = 30;

    private final Timers timers;

    /** Requests a second of the state service that are this node's. */
    private final double requestsPerSecond;

    private double windowStart = Double.NEGATIVE_INFINITY;
    private int refusedInWindow;
    private int refusedInLastWindow;

    public RetryAfter(ClusterSettings settings, Timers timers) {
        this.timers = timers;
        this.requestsPerSecond =
                settings.store().requestsPerSecond() / (settings.siblings().size() + 1);
    }

    /** One more is told to come back; returns in how many seconds. */
    public int nextRetryAfterSeconds() {
        double now = timers.nowSeconds();
        if (now - windowStart >= 1) {
            refusedInLastWindow = now - windowStart < 2 ? refusedInWindow : 0;
            refusedInWindow = 0;
            windowStart = now;
        }
        refusedInWindow++;
        return (int)
                Math.max(
                        1,
                        Math.min(
                                MAX_SECONDS,
                                Math.ceil(
                                        Math.max(refusedInLastWindow, refusedInWindow)
                                                / requestsPerSecond)));
    }
}
