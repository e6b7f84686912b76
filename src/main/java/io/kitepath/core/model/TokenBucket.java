package io.kitepath.core.model;

/**
 * A token bucket that holds one second's tokens, as the rate limits of state service and cloud
 * count. Times are seconds on the steady clock. Not safe for use by several threads.
 */
public final class TokenBucket {
    private final double ratePerSecond;
    private double tokens;
    private double updatedAtSeconds = Double.NaN;

    /** A full bucket that is filled at that rate. */
    public TokenBucket(double ratePerSecond) {
        this.ratePerSecond = ratePerSecond;
        this.tokens = ratePerSecond;
    }

    /** The tokens in the bucket at that time. */
    public double available(double now) {
        if (!Double.isNaN(updatedAtSeconds)) {
            tokens = Math.min(ratePerSecond, tokens + (now - updatedAtSeconds) * ratePerSecond);
        }
        updatedAtSeconds = now;
        return tokens;
    }

    /** Takes that many tokens if they are there; none and false otherwise. */
    public boolean tryTake(double wanted, double now) {
        if (available(now) < wanted) {
            return false;
        }
        tokens -= wanted;
        return true;
    }

    /** In how many seconds that many tokens will be there, if nobody else takes any. */
    public double secondsUntil(double wanted, double now) {
        return Math.max(0, (wanted - available(now)) / ratePerSecond);
    }
}
