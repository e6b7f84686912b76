package io.kitepath.core.shard;

/**
 * By when something has to be done for the sake of deadlines, in milliseconds since 1970; infinite
 * without one.
 *
 * @param earliestMillis to meet all of what is asked
 * @param latestMillis the last moment that is still worth it
 */
record DueTimes(double earliestMillis, double latestMillis) {
    static final DueTimes NONE = new DueTimes(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);

    /** The stricter one of both, field by field. */
    DueTimes min(DueTimes other) {
        return new DueTimes(
                Math.min(earliestMillis, other.earliestMillis),
                Math.min(latestMillis, other.latestMillis));
    }

    DueTimes minusMillis(double millis) {
        return new DueTimes(earliestMillis - millis, latestMillis - millis);
    }
}
