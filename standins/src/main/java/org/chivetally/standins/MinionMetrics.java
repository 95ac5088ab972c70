package org.chivetally.standins;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

/** Exposes the state of a minion in the text format of Prometheus. */
final class MinionMetrics {
    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

    MinionMetrics(Minion minion) {
        Gauge.builder("minion.free.slots", minion, it -> it.state().freeSlots()).register(registry);
        Gauge.builder("minion.running", minion, it -> it.state().running()).register(registry);
        Gauge.builder("minion.draining", minion, it -> it.state().draining() ? 1 : 0)
                .register(registry);
        Gauge.builder("minion.healthy", minion, it -> it.state().healthy() ? 1 : 0)
                .register(registry);
        FunctionCounter.builder("minion.overruns", minion, it -> it.state().overruns())
                .register(registry);
        FunctionCounter.builder("minion.starts", minion, Minion::startCount).register(registry);
    }

    String text() {
        return registry.scrape();
    }
}
