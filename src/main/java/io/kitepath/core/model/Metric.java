package io.kitepath.core.model;

import java.util.function.DoubleSupplier;

/**
 * One of a node's figures for operators.
 *
 * @param counter whether it only ever grows
 * @param description what it counts, in its unit
 * @param value read when asked for, on the event loop
 */
public record Metric(boolean counter, String description, DoubleSupplier value) {
    public static Metric counter(String meaning, DoubleSupplier value) {
        return new Metric(true, meaning, value);
    }

    public static Metric gauge(String meaning, DoubleSupplier value) {
        return new Metric(false, meaning, value);
    }
}
