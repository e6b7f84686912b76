package io.kitepath.core.model;

/** A token bucket with one second's burst, as the outside services count. */
public final class TokenBucket {
    private final double perSecond;
    private double filled;
    private double at = Double.NaN;

    public TokenBucket(double perSecond) {
        this.perSecond = perSecond;
        this.filled = perSecond;
    }

    public double available(double now) {
        if (!Double.isNaN(at)) {
            filled = Math.min(perSecond, filled + (now - at) * perSecond);
        }
        at = now;
        return filled;
    }

    public boolean take(double n, double now) {
        if (available(now) < n) {
            return false;
        }
        filled -= n;
        return true;
    }

    /** In how many seconds that many will be there, if nobody else takes any. */
    public double inS(double n, double now) {
        return Math.max(0, (n - available(now)) / perSecond);
    }
}
