package io.kitepath.cli;

import io.kitepath.core.Controller;
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

    PrometheusMetrics(Controller controller) {
        controller
                .metrics()
                .forEach(
                        (name, f) -> {
                            if (f.counter()) {
                                FunctionCounter.builder(
                                                "kitepath." + name, f, x -> x.value().getAsDouble())
                                        .description(f.description())
                                        .register(registry);
                            } else {
                                Gauge.builder("kitepath." + name, f, x -> x.value().getAsDouble())
                                        .description(f.description())
                                        .strongReference(true)
                                        .register(registry);
                            }
                        });
    }

    byte[] scrape() {
        return registry.scrape().getBytes(StandardCharsets.UTF_8);
    }
}
