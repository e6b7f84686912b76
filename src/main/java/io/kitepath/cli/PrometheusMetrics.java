package io.kitepath.cli;

import io.kitepath.core.Controller;
import io.kitepath.core.model.Metric;
import io.kitepath.net.HttpServer;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.nio.charset.StandardCharsets;

/**
 * The node's figures in Prometheus' notation. Built when first asked for: the core counts in plain
 * fields, so a node that nobody scrapes does not pay for the library's start.
 */
final class PrometheusMetrics {
    private final PrometheusMeterRegistry registry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

    PrometheusMetrics(Controller controller, HttpServer server) {
        controller.metrics().forEach(this::register);
        register(
                "connections.open",
                Metric.gauge("connections of users and workers", server::openConnections));
        register(
                "connections.refused",
                Metric.counter(
                        "connections closed at once, as too many were open",
                        server::refusedConnections));
        register(
                "connections.replaced",
                Metric.counter(
                        "idle connections of workers closed for new ones",
                        server::replacedConnections));
        register(
                "requests.abandoned",
                Metric.counter(
                        "requests whose connection was closed before their response",
                        server::abandonedRequests));
    }

    private void register(String name, Metric metric) {
        if (metric.counter()) {
            FunctionCounter.builder("kitepath." + name, metric, m -> m.value().getAsDouble())
                    .description(metric.description())
                    .register(registry);
        } else {
            Gauge.builder("kitepath." + name, metric, m -> m.value().getAsDouble())
                    .description(metric.description())
                    .strongReference(true)
                    .register(registry);
        }
    }

    byte[] scrape() {
        return registry.scrape().getBytes(StandardCharsets.UTF_8);
    }
}
