package io.kitepath.core.model;

import java.util.function.DoubleSupplier;

/**
 * A metric of a node, for operators.
 *
 * @param counter whether the metric is a counter, which never decreases; otherwise it is a gauge
 * @param description what the metric measures and in which unit
 * @param value supplies the current value on demand, on the event loop
 */
public record Metric(boolean counter, String description, DoubleSupplier value) {
    /** Creates a counter, which never decreases while the process runs. */
    public static Metric counter(String description, DoubleSupplier value) {
        return new Metric(true, description, value);
    }

    /** Creates a gauge, which may increase and decrease. */
    public static Metric gauge(String description, DoubleSupplier value) {
        return new Metric(false, description, value);
    }
}
