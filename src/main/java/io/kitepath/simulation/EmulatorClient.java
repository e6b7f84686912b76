package io.kitepath.simulation;

/**
 * Whoever asks the stand-ins something: a node in memory, or a connection that a real process has
 * opened.
 */
public interface EmulatorClient {
    /** What it may be answered, a while later; nothing if it has ended by then. */
    void schedule(double seconds, Runnable run);

    /** Whether it is still there. */
    default boolean there() {
        return true;
    }

    /** Whether the store refuses it, alone among all. */
    default boolean refused() {
        return false;
    }

    /** It asks the store something. */
    default void asks() {}

    /** It sends a request to the store or the cloud. */
    default void sends() {}
}
