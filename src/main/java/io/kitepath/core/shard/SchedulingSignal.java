package io.kitepath.core.shard;

/**
 * Signals whether a scheduling round is worth running: set by any change that may allow work to be
 * placed, reset when a round begins. Not thread-safe; belongs to the shard's thread.
 */
final class SchedulingSignal {
    private boolean needed;
    private boolean backlog;

    /** Requests a scheduling round after a change that may allow work to be placed. */
    void request() {
        needed = true;
    }

    boolean isNeeded() {
        return needed;
    }

    /**
     * Resets the signal at the beginning of a scheduling round, which takes all changes until now
     * into account.
     */
    void beginRound() {
        needed = false;
        backlog = false;
    }

    /** Records that work is left waiting in this scheduling round. */
    void markBacklog() {
        backlog = true;
    }

    /** Whether work was left waiting in the last scheduling round. */
    boolean hasBacklog() {
        return backlog;
    }
}
