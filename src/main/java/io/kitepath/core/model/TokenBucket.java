package io.kitepath.core.model;

/**
 * A token bucket with a capacity of one second's tokens, like the rate limits of the state service
 * and the cloud. Times are seconds on the steady clock. Not thread-safe.
 */
public final class TokenBucket {
    private final double ratePerSecond;
    private double tokens;
    private double updatedAtSeconds = Double.NaN;

    /** Creates a full bucket that is refilled at the rate. */
    public TokenBucket(double ratePerSecond) {
        this.ratePerSecond = ratePerSecond;
        this.tokens = ratePerSecond;
    }

    /** Returns the number of tokens in the bucket at the time. */
    public double available(double nowSeconds) {
        if (!Double.isNaN(updatedAtSeconds)) {
            tokens =
                    Math.min(
                            ratePerSecond,
                            tokens + (nowSeconds - updatedAtSeconds) * ratePerSecond);
        }
        updatedAtSeconds = nowSeconds;
        return tokens;
    }

    /** Takes the requested tokens and returns true if they are available; otherwise takes none. */
    public boolean tryTake(double requestedTokens, double nowSeconds) {
        if (available(nowSeconds) < requestedTokens) {
            return false;
        }
        tokens -= requestedTokens;
        return true;
    }

    /**
     * Returns the seconds until the requested tokens are available, provided that no others are
     * taken.
     */
    public double secondsUntil(double requestedTokens, double nowSeconds) {
        return Math.max(0, (requestedTokens - available(nowSeconds)) / ratePerSecond);
    }
}
