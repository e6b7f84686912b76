package io.kitepath.core.model;

import java.util.function.DoubleSupplier;

/**
 * One of a node's figures for operators.
 *
 * @param total whether it only ever grows
 * @param meaning what it counts, in its unit
 * @param value read when asked for, on the event loop
 */
public record Figure(boolean total, String meaning, DoubleSupplier value) {
    public static Figure total(String meaning, DoubleSupplier value) {
        return new Figure(true, meaning, value);
    }

    public static Figure now(String meaning, DoubleSupplier value) {
        return new Figure(false, meaning, value);
    }
}
