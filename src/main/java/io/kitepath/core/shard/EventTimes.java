package io.kitepath.core.shard;

/** The count, average and latest of a series of event times, in seconds on the steady clock. */
final class EventTimes {
    private int count;
    private double sumSeconds;
    private double latestSeconds;

    void add(double atSeconds) {
        count++;
        sumSeconds += atSeconds;
        latestSeconds = Math.max(latestSeconds, atSeconds);
    }

    /** The latest event time; negative infinity if there is none. */
    double latest() {
        return isEmpty() ? Double.NEGATIVE_INFINITY : latestSeconds;
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
                : String.format("%.1f(last=%.1f)", now - sumSeconds / count, now - latestSeconds);
    }
}
