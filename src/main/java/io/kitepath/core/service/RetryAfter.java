package io.kitepath.core.service;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.port.Timers;

/**
 * The pause after which a user who can't be answered now shall ask again. Guards against hundreds
 * who are all told one second, come back together, and are more than the store can answer: they are
 * told the time that the store takes for all of them. Used on the event loop only.
 */
public final class RetryAfter {
    /** Nobody is told to wait for longer. */
    private static final int MAX_SECONDS = 30;

    private static final double WINDOW_SECONDS = 1;

    private final Timers timers;

    /** This node's share of the store's request rate. */
    private final double requestsPerSecond;

    /** In seconds on the steady clock. */
    private double windowStart = Double.NEGATIVE_INFINITY;

    private int refusedInWindow;
    private int refusedInLastWindow;

    /** Knows the request rate and the number of nodes from the settings. */
    public RetryAfter(ClusterSettings settings, Timers timers) {
        this.timers = timers;
        this.requestsPerSecond =
                settings.store().requestsPerSecond() / (settings.peers().size() + 1);
    }

    /** Counts one more user who is told to come back; returns in how many seconds. */
    public int nextRetryAfterSeconds() {
        double now = timers.nowSeconds();
        if (now - windowStart >= WINDOW_SECONDS) {
            boolean isNextWindow = now - windowStart < 2 * WINDOW_SECONDS;
            refusedInLastWindow = isNextWindow ? refusedInWindow : 0;
            refusedInWindow = 0;
            windowStart = now;
        }
        refusedInWindow++;
        int returning = Math.max(refusedInLastWindow, refusedInWindow);
        double seconds = Math.ceil(returning / requestsPerSecond);
        return (int) Math.max(1, Math.min(MAX_SECONDS, seconds));
    }
}
