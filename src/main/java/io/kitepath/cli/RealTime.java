package io.kitepath.cli;

import java.util.function.BooleanSupplier;

/** The monotonic clock, and waiting by polling, for commands that work with real processes. */
final class RealTime {
    private static final long POLL_INTERVAL_MILLIS = 50;

    private RealTime() {}

    /** Seconds since some fixed moment; only differences mean something. */
    static double nowSeconds() {
        return System.nanoTime() / 1e9;
    }

    /** Waits for a condition; false if it has not come true within that time. */
    static boolean waitUntil(double maxSeconds, BooleanSupplier condition)
            throws InterruptedException {
        double start = nowSeconds();
        while (!condition.getAsBoolean()) {
            if (nowSeconds() - start > maxSeconds) {
                return false;
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
        return true;
    }
}
