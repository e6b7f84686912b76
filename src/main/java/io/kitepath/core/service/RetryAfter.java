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
    private static final int MOST_S = 30;

    private final Timers timers;

    /** Requests a second of the state service that are this node's. */
    private final double share;

    private double second = Double.NEGATIVE_INFINITY;
    private int refused;
    private int before;

    public RetryAfter(ClusterSettings settings, Timers timers) {
        this.timers = timers;
        this.share = settings.store().requestsPerSecond() / (settings.siblings().size() + 1);
    }

    /** One more is told to come back; returns in how many seconds. */
    public int refuse() {
        double now = timers.nowSeconds();
        if (now - second >= 1) {
            before = now - second < 2 ? refused : 0;
            refused = 0;
            second = now;
        }
        refused++;
        return (int) Math.max(1, Math.min(MOST_S, Math.ceil(Math.max(before, refused) / share)));
    }
}
