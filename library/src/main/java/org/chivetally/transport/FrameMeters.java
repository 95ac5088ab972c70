package org.chivetally.transport;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.chivetally.wire.v1.Frame;

/** Counts frames and bytes by direction and frame type. */
final class FrameMeters {
    private final MeterRegistry registry;
    private final Map<Frame.BodyCase, Traffic> received = new ConcurrentHashMap<>();
    private final Map<Frame.BodyCase, Traffic> sent = new ConcurrentHashMap<>();
    private final Counter malformed;
    private final Counter overflows;
    private final Counter oversize;

    FrameMeters(MeterRegistry registry) {
        this.registry = registry;
        malformed = registry.counter("chivetally.transport.closed", "cause", "malformed");
        overflows = registry.counter("chivetally.transport.closed", "cause", "overflow");
        oversize = registry.counter("chivetally.transport.oversize.dropped");
    }

    void received(Frame frame, int bytes) {
        count(received, frame.getBodyCase(), "in", bytes);
    }

    void sent(Frame frame, int bytes) {
        count(sent, frame.getBodyCase(), "out", bytes);
    }

    private void count(Map<Frame.BodyCase, Traffic> traffic, Frame.BodyCase body, String direction, int bytes) {
        Traffic counters = traffic.get(body);
        if (counters == null) {
            counters = traffic.computeIfAbsent(body, kind -> traffic(kind, direction));
        }
        counters.add(bytes);
    }

    void countMalformedFrame() {
        malformed.increment();
    }

    void countOverflow() {
        overflows.increment();
    }

    void countOversizeFrame() {
        oversize.increment();
    }

    /**
     * Returns the counters of a frame type. They are registered when the type is first seen, because a process uses
     * only a third of them and registering all of them would delay its start-up.
     */
    private Traffic traffic(Frame.BodyCase body, String direction) {
        String kind = body.name().toLowerCase(Locale.ROOT);
        return new Traffic(
                registry.counter("chivetally.transport.frames", "direction", direction, "body", kind),
                registry.counter("chivetally.transport.bytes", "direction", direction, "body", kind));
    }

    /** Counters of one frame type in one direction. */
    private record Traffic(Counter frames, Counter bytes) {
        private void add(int size) {
            frames.increment();
            bytes.increment(size);
        }
    }
}
