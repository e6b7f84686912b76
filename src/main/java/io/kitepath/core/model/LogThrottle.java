package io.kitepath.core.model;

/** Lets one log line through in each interval, and counts those that are held back meanwhile. */
public final class LogThrottle {
    private final double intervalSeconds;
    private double lastLineSeconds = Double.NEGATIVE_INFINITY;
    private long suppressedLines;

    /** Creates a throttle that lets the first line through. */
    public LogThrottle(double intervalSeconds) {
        this.intervalSeconds = intervalSeconds;
    }

    /** Returns whether a line may be logged now; if not, it counts as suppressed. */
    public boolean tryLog(double nowSeconds) {
        if (nowSeconds - lastLineSeconds < intervalSeconds) {
            suppressedLines++;
            return false;
        }
        lastLineSeconds = nowSeconds;
        return true;
    }

    /** Returns the number of lines that were suppressed since the last call. */
    public long takeSuppressed() {
        long suppressed = suppressedLines;
        suppressedLines = 0;
        return suppressed;
    }
}
