package org.chivetally.agent;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.RefusalReason;
import org.chivetally.wire.v1.Result;
import org.chivetally.wire.v1.TaskStatus;

/** Metrics of an agent, recorded from the effects that it executes. */
final class AgentMeters {
    private final Counter starts;
    private final Map<TaskStatus, Counter> results = new EnumMap<>(TaskStatus.class);
    private final Map<RefusalReason, Counter> refusals = new EnumMap<>(RefusalReason.class);
    private final Map<AgentEffect.WasteKind, Counter> waste = new EnumMap<>(AgentEffect.WasteKind.class);
    private final Timer runTimes;
    private final Timer queueTimes;
    private final AtomicInteger running;
    private final AtomicInteger waiting;

    AgentMeters(MeterRegistry registry) {
        starts = registry.counter("chivetally.agent.starts");
        for (TaskStatus status : TaskStatus.values()) {
            results.put(status, registry.counter("chivetally.agent.results", "status", tag(status.name())));
        }
        for (RefusalReason reason : RefusalReason.values()) {
            refusals.put(reason, registry.counter("chivetally.agent.refusals", "reason", tag(reason.name())));
        }
        for (AgentEffect.WasteKind kind : AgentEffect.WasteKind.values()) {
            waste.put(kind, registry.counter("chivetally.agent.waste", "kind", tag(kind.name())));
        }
        runTimes = registry.timer("chivetally.agent.run");
        queueTimes = registry.timer("chivetally.agent.queue");
        running = registry.gauge("chivetally.agent.running", new AtomicInteger());
        waiting = registry.gauge("chivetally.agent.waiting", new AtomicInteger());
    }

    void started() {
        starts.increment();
    }

    void wasted(AgentEffect.WasteKind kind) {
        waste.get(kind).increment();
    }

    void sent(Frame frame) {
        if (frame.hasResult()) {
            sent(frame.getResult());
        } else if (frame.hasRefusal()) {
            refusals.get(frame.getRefusal().getReason()).increment();
        }
    }

    void updateLoad(int runningTasks, int waitingTasks) {
        running.set(runningTasks);
        waiting.set(waitingTasks);
    }

    private void sent(Result result) {
        results.get(result.getStatus()).increment();
        runTimes.record(result.getRunMicros(), TimeUnit.MICROSECONDS);
        queueTimes.record(result.getQueueMicros(), TimeUnit.MICROSECONDS);
    }

    private static String tag(String name) {
        return name.toLowerCase(Locale.ROOT);
    }
}
