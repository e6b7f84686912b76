package io.kitepath.core.cell;

import java.util.Random;

/**
 * When something that was said without an answer is said again: ever more rarely, and never by many
 * at once.
 */
final class RetryBackoff {
    private RetryBackoff() {}

    /**
     * Seconds until the next try.
     *
     * @param unanswered tries so far
     * @param firstS after the first
     * @param mostS at most
     */
    static double delaySeconds(int unanswered, double firstS, double mostS, Random random) {
        double s = Math.min(mostS, firstS * (1L << Math.min(20, unanswered)));
        return s * (0.75 + 0.5 * random.nextDouble());
    }
}
