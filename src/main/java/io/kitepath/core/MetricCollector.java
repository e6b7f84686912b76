package io.kitepath.core;

import io.kitepath.core.model.Metric;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;

/** Collects metrics by name, in the order in which they are added. */
final class MetricCollector {
    private final Map<String, Metric> metrics = new LinkedHashMap<>();

    /** Adds a metric whose value may rise and fall. */
    void gauge(String name, String description, DoubleSupplier value) {
        metrics.put(name, Metric.gauge(description, value));
    }

    /** Adds a metric whose value never decreases while the process runs. */
    void counter(String name, String description, DoubleSupplier value) {
        metrics.put(name, Metric.counter(description, value));
    }

    /** Returns the added metrics as a mutable map. */
    Map<String, Metric> metrics() {
        return metrics;
    }
}
