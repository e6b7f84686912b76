package io.kitepath.core.model;

import java.util.function.DoubleSupplier;

/**
 * One of a node's metrics for operators.
 *
 * @param counter whether it only ever grows; otherwise it is a gauge
 * @param description what it measures, in its unit
 * @param value read when asked for, on the event loop
 */
public record Metric(boolean counter, String description, DoubleSupplier value) {
    /** A metric that only ever grows while the process runs. */
    public static Metric counter(String description, DoubleSupplier value) {
        return new Metric(true, description, value);
    }

    /** A metric that may rise and fall. */
    public static Metric gauge(String description, DoubleSupplier value) {
        return new Metric(false, description, value);
    }
}
