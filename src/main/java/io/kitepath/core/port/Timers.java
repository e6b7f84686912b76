package io.kitepath.core.port;

/** The steady clock, the time of day and the event loop's timers. */
public interface Timers {
    /** Seconds on the steady clock, from any start. */
    double nowSeconds();

    /** Milliseconds since 1970, right to within the settings' clock error. */
    double wallClockMillis();

    /** Runs the task on the event loop after so many seconds. */
    void schedule(double delaySeconds, Runnable task);
}
