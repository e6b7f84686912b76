package io.kitepath.core.shard;

/**
 * The times by which a job has to be done for deadlines, in milliseconds since 1970; infinite if
 * there is no deadline.
 *
 * @param earliestMillis the time that meets all deadlines
 * @param latestMillis the last time at which completion is still useful
 */
record DueTimes(double earliestMillis, double latestMillis) {
    static final DueTimes NONE = new DueTimes(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);

    /** The earlier of both times for each field. */
    DueTimes min(DueTimes other) {
        return new DueTimes(
                Math.min(earliestMillis, other.earliestMillis),
                Math.min(latestMillis, other.latestMillis));
    }

    DueTimes minusMillis(double millis) {
        return new DueTimes(earliestMillis - millis, latestMillis - millis);
    }
}
