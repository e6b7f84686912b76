package io.kitepath.core.shard;

/** Count, average and last of a series of moments, in seconds on the steady clock. */
final class EventTimes {
    private int count;
    private double sum;
    private double last;

    void add(double at) {
        count++;
        sum += at;
        last = Math.max(last, at);
    }

    /** The latest of them; negative infinity if there is none. */
    double last() {
        return isEmpty() ? Double.NEGATIVE_INFINITY : last;
    }

    boolean isEmpty() {
        return count == 0;
    }

    /** How many seconds before {@code now} the moments were, on average and the last of them. */
    String describeBefore(double now) {
        return count == 0
                ? "unknown"
                : String.format("%.1f (the last %.1f)", now - sum / count, now - last);
    }
}
