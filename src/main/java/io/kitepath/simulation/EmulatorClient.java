package io.kitepath.simulation;

/**
 * Whoever asks the stand-ins something: a node in memory, or a connection that a real process has
 * opened.
 */
public interface EmulatorClient {
    /** What it may be answered, a while later; nothing if it has ended by then. */
    void schedule(double seconds, Runnable run);

    /** Whether it is still there. */
    default boolean isAlive() {
        return true;
    }

    /** Whether the store refuses it, alone among all. */
    default boolean isRefused() {
        return false;
    }

    /** It asks the store something. */
    default void onRequest() {}

    /** It sends a request to the store or the cloud. */
    default void onRequestSent() {}
}
