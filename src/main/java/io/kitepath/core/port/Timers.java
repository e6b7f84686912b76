package io.kitepath.core.port;

/** The steady clock, the time of day and the event loop's timers. */
public interface Timers {
    /** Returns the seconds on the steady clock since an arbitrary origin. */
    double nowSeconds();

    /**
     * Returns the wall clock time in milliseconds since 1970, accurate to the clock error in the
     * settings.
     */
    double wallClockMillis();

    /** Runs the task on the event loop after {@code delaySeconds}. */
    void schedule(double delaySeconds, Runnable task);
}
