package io.kitepath.core.port;

/** The steady clock, the time of day, and things to do later, all on the event loop. */
public interface Timers {
    /** Seconds on the steady clock. */
    double now();

    /** Milliseconds since 1970, right to within the settings' clock error. */
    double wallMs();

    void after(double seconds, Runnable run);
}
