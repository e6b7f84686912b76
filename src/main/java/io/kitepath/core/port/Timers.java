package io.kitepath.core.port;

/** The steady clock, the time of day, and things to do later, all on the event loop. */
public interface Timers {
    /** Seconds on the steady clock. */
    double nowSeconds();

    /** Milliseconds since 1970, right to within the settings' clock error. */
    double wallClockMillis();

    void schedule(double seconds, Runnable run);
}
