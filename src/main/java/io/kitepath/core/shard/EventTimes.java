package io.kitepath.core.shard;

/** The count, average and latest of a series of event times, in seconds on the steady clock. */
final class EventTimes {
    private int count;
    private double sum;
    private double last;

    void add(double at) {
        count++;
        sum += at;
        last = Math.max(last, at);
    }

    /** The latest event time; negative infinity if there is none. */
    double last() {
        return isEmpty() ? Double.NEGATIVE_INFINITY : last;
    }

    boolean isEmpty() {
        return count == 0;
    }

    /**
     * Formats the seconds from the events to {@code now}: on average, and from the latest event.
     */
    String describeBefore(double now) {
        return count == 0
                ? "unknown"
                : String.format("%.1f(last=%.1f)", now - sum / count, now - last);
    }
}
