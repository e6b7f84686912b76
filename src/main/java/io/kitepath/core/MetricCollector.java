package io.kitepath.core;

import io.kitepath.core.model.Metric;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;

/** Metrics by name, in the order in which they are added. */
final class MetricCollector {
    private final Map<String, Metric> metrics = new LinkedHashMap<>();

    /** A value that may rise and fall. */
    void gauge(String name, String description, DoubleSupplier value) {
        metrics.put(name, Metric.gauge(description, value));
    }

    /** A value that only ever grows while the process runs. */
    void counter(String name, String description, DoubleSupplier value) {
        metrics.put(name, Metric.counter(description, value));
    }

    /** What was added; it may be added to. */
    Map<String, Metric> metrics() {
        return metrics;
    }
}
