package io.kitepath.core.model;

import java.util.function.DoubleSupplier;

/**
 * One of a node's figures for operators.
 *
 * @param total whether it only ever grows
 * @param meaning what it counts, in its unit
 * @param value read when asked for, on the event loop
 */
public record Metric(boolean total, String meaning, DoubleSupplier value) {
    public static Metric total(String meaning, DoubleSupplier value) {
        return new Metric(true, meaning, value);
    }

    public static Metric now(String meaning, DoubleSupplier value) {
        return new Metric(false, meaning, value);
    }
}
