package io.kitepath.core.cell;

import java.util.Random;

/**
 * Exponential back-off with jitter between the tries of a message that had no answer, so that cells
 * don't repeat theirs all at once.
 */
final class RetryBackoff {
    /** Keeps the factor within the range of a long. */
    private static final int MAX_DOUBLINGS = 20;

    private static final double MIN_JITTER = 0.75;
    private static final double JITTER_RANGE = 0.5;

    private RetryBackoff() {}

    /**
     * Seconds from one try to the next. Draws one random number.
     *
     * @param unanswered tries so far
     * @param firstDelaySeconds delay before any doubling
     * @param maxDelaySeconds bound of the delay before jitter
     */
    static double delaySeconds(
            int unanswered, double firstDelaySeconds, double maxDelaySeconds, Random random) {
        double delaySeconds =
                Math.min(
                        maxDelaySeconds,
                        firstDelaySeconds * (1L << Math.min(MAX_DOUBLINGS, unanswered)));
        return delaySeconds * (MIN_JITTER + JITTER_RANGE * random.nextDouble());
    }
}
