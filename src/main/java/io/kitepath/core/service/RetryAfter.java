package io.kitepath.core.service;

import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.port.Timers;

/**
 * Computes the back-off after which a user whose request can't be served now should retry. Guards
 * against hundreds of users who all receive a back-off of one second and retry at the same time,
 * more than the store can serve: they receive the time that the store takes to serve all of them.
 * Used on the event loop only.
 */
public final class RetryAfter {
    /** The upper bound of the back-off. */
    private static final int MAX_SECONDS = 30;

    private static final double WINDOW_SECONDS = 1;

    private final Timers timers;

    /** This node's share of the store's request rate. */
    private final double requestsPerSecond;

    /** The start of the current window, in seconds on the steady clock. */
    private double windowStartSeconds = Double.NEGATIVE_INFINITY;

    private int refusedInWindow;
    private int refusedInLastWindow;

    /** Creates an instance with the request rate and the number of nodes from the settings. */
    public RetryAfter(ClusterSettings settings, Timers timers) {
        this.timers = timers;
        this.requestsPerSecond =
                settings.store().requestsPerSecond() / (settings.peers().size() + 1);
    }

    /** Counts one more refused user and returns the back-off for that user, in seconds. */
    public int nextRetryAfterSeconds() {
        double nowSeconds = timers.nowSeconds();
        if (nowSeconds - windowStartSeconds >= WINDOW_SECONDS) {
            boolean isNextWindow = nowSeconds - windowStartSeconds < 2 * WINDOW_SECONDS;
            refusedInLastWindow = isNextWindow ? refusedInWindow : 0;
            refusedInWindow = 0;
            windowStartSeconds = nowSeconds;
        }
        refusedInWindow++;
        int returningUserCount = Math.max(refusedInLastWindow, refusedInWindow);
        double backOffSeconds = Math.ceil(returningUserCount / requestsPerSecond);
        return (int) Math.max(1, Math.min(MAX_SECONDS, backOffSeconds));
    }
}
