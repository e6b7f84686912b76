package io.kitepath.core.cell;

/**
 * A message that is repeated until the other cell has answered it as wanted: at most one is under
 * way at a time, and each try without success makes the next one later ({@link RetryBackoff}).
 */
final class RetriedQuery {
    private boolean isAwaitingAnswer;
    private int attempts;
    private double lastAttemptAt = Double.NEGATIVE_INFINITY;

    boolean isAwaitingAnswer() {
        return isAwaitingAnswer;
    }

    /**
     * Begins the next try if it is due.
     *
     * @param now in seconds on the steady clock
     * @param firstDelaySeconds delay after the first try
     * @return whether the message is to be sent now
     */
    boolean tryBegin(double now, double firstDelaySeconds, CellContext context) {
        // The random number is drawn only if no answer is awaited: repeatable runs depend on it.
        if (isAwaitingAnswer
                || now - lastAttemptAt
                        < RetryBackoff.delaySeconds(
                                attempts,
                                firstDelaySeconds,
                                context.leaseSeconds(),
                                context.random())) {
            return false;
        }
        isAwaitingAnswer = true;
        lastAttemptAt = now;
        attempts++;
        return true;
    }

    /** The try has ended, with an answer or without. */
    void onAnswer() {
        isAwaitingAnswer = false;
    }
}
