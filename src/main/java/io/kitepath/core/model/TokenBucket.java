package io.kitepath.core.model;

/** A token bucket with one second's burst, as the outside services count. */
public final class TokenBucket {
    private final double ratePerSecond;
    private double tokens;
    private double updatedAtSeconds = Double.NaN;

    public TokenBucket(double perSecond) {
        this.ratePerSecond = perSecond;
        this.tokens = perSecond;
    }

    public double available(double now) {
        if (!Double.isNaN(updatedAtSeconds)) {
            tokens = Math.min(ratePerSecond, tokens + (now - updatedAtSeconds) * ratePerSecond);
        }
        updatedAtSeconds = now;
        return tokens;
    }

    public boolean tryTake(double n, double now) {
        if (available(now) < n) {
            return false;
        }
        tokens -= n;
        return true;
    }

    /** In how many seconds that many will be there, if nobody else takes any. */
    public double secondsUntil(double n, double now) {
        return Math.max(0, (n - available(now)) / ratePerSecond);
    }
}
