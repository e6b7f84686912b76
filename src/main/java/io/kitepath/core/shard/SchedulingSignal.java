package io.kitepath.core.shard;

/**
 * Whether a scheduling round is worth running: set by whatever may let work be placed, reset when a
 * round begins. Not thread-safe; belongs to the shard's thread.
 */
final class SchedulingSignal {
    private boolean needed;
    private boolean backlog;

    /** Something changed that may let work be placed. */
    void request() {
        needed = true;
    }

    boolean isNeeded() {
        return needed;
    }

    /** A round begins, which looks at all that changed until now. */
    void beginRound() {
        needed = false;
        backlog = false;
    }

    /** Work is left waiting in this round. */
    void markBacklog() {
        backlog = true;
    }

    /** Whether work was left waiting in the last round. */
    boolean hasBacklog() {
        return backlog;
    }
}
