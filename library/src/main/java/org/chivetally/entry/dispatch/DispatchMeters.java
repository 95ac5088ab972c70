package org.chivetally.entry.dispatch;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tags;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.chivetally.coordination.DispatchEffect.WasteKind;
import org.chivetally.coordination.DispatchSnapshot;

/** Metrics of the dispatcher: waiting and running tasks, agents and wasted messages. */
final class DispatchMeters {
    private final MeterRegistry registry;
    private final MultiGauge serviceWaiting;
    private final MultiGauge serviceRunning;
    private final MultiGauge teamWaiting;
    private final MultiGauge teamRunning;
    private final MultiGauge agentSlots;
    private final MultiGauge agentAttempts;

    DispatchMeters(MeterRegistry registry) {
        this.registry = registry;
        this.serviceWaiting = gauge("chivetally.service.tasks.waiting", "Tasks accepted and not started");
        this.serviceRunning = gauge("chivetally.service.tasks.running", "Tasks started and not known to have ended");
        this.teamWaiting = gauge("chivetally.team.tasks.waiting", "Tasks accepted and not started");
        this.teamRunning = gauge("chivetally.team.tasks.running", "Tasks started and not known to have ended");
        this.agentSlots = gauge("chivetally.agent.slots", "Slots of the agent's minion");
        this.agentAttempts = gauge("chivetally.agent.attempts", "Attempts of this entry in flight at the agent");
    }

    /** Counts a message that had no effect. */
    void wasted(WasteKind kind) {
        registry.counter("chivetally.wasted.messages", "kind", kind.name().toLowerCase(Locale.ROOT))
                .increment();
    }

    /** Replaces all gauge values by those of the snapshot. */
    void update(DispatchSnapshot snapshot) {
        serviceWaiting.register(rows("service", snapshot.services(), DispatchSnapshot.Counts::waiting), true);
        serviceRunning.register(rows("service", snapshot.services(), DispatchSnapshot.Counts::running), true);
        teamWaiting.register(rows("team", snapshot.teams(), DispatchSnapshot.Counts::waiting), true);
        teamRunning.register(rows("team", snapshot.teams(), DispatchSnapshot.Counts::running), true);
        agentSlots.register(agentRows(snapshot, DispatchSnapshot.Agent::slots), true);
        agentAttempts.register(agentRows(snapshot, DispatchSnapshot.Agent::own), true);
    }

    private MultiGauge gauge(String name, String description) {
        return MultiGauge.builder(name).description(description).register(registry);
    }

    private static List<MultiGauge.Row<?>> rows(
            String tag, Map<String, DispatchSnapshot.Counts> counts, Measure<DispatchSnapshot.Counts> measure) {
        return counts.entrySet().stream()
                .<MultiGauge.Row<?>>map(
                        entry -> MultiGauge.Row.of(Tags.of(tag, entry.getKey()), measure.of(entry.getValue())))
                .toList();
    }

    private static List<MultiGauge.Row<?>> agentRows(
            DispatchSnapshot snapshot, Measure<DispatchSnapshot.Agent> measure) {
        return snapshot.agents().stream()
                .<MultiGauge.Row<?>>map(agent -> MultiGauge.Row.of(agentTags(agent), measure.of(agent)))
                .toList();
    }

    private static Tags agentTags(DispatchSnapshot.Agent agent) {
        return Tags.of(
                "agent", agent.id().processId(),
                "incarnation", agent.id().incarnation(),
                "domain", agent.failureDomain(),
                "state", agent.state().name().toLowerCase(Locale.ROOT));
    }

    @FunctionalInterface
    private interface Measure<T> {
        int of(T measured);
    }
}
