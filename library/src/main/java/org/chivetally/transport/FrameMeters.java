package org.chivetally.transport;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.chivetally.wire.v1.Frame;

/** Counts frames and bytes by direction and kind of frame. */
final class FrameMeters {
    private final Map<Frame.BodyCase, Counter> framesIn;
    private final Map<Frame.BodyCase, Counter> framesOut;
    private final Map<Frame.BodyCase, Counter> bytesIn;
    private final Map<Frame.BodyCase, Counter> bytesOut;
    private final Counter malformed;
    private final Counter overflows;
    private final Counter oversize;

    FrameMeters(MeterRegistry registry) {
        framesIn = counters(registry, "chivetally.transport.frames", "in");
        framesOut = counters(registry, "chivetally.transport.frames", "out");
        bytesIn = counters(registry, "chivetally.transport.bytes", "in");
        bytesOut = counters(registry, "chivetally.transport.bytes", "out");
        malformed = registry.counter("chivetally.transport.closed", "cause", "malformed");
        overflows = registry.counter("chivetally.transport.closed", "cause", "overflow");
        oversize = registry.counter("chivetally.transport.oversize.dropped");
    }

    void received(Frame frame, int bytes) {
        framesIn.get(frame.getBodyCase()).increment();
        bytesIn.get(frame.getBodyCase()).increment(bytes);
    }

    void sent(Frame frame, int bytes) {
        framesOut.get(frame.getBodyCase()).increment();
        bytesOut.get(frame.getBodyCase()).increment(bytes);
    }

    void closedAsMalformed() {
        malformed.increment();
    }

    void closedAsOverflowing() {
        overflows.increment();
    }

    void droppedAsOversize() {
        oversize.increment();
    }

    private static Map<Frame.BodyCase, Counter> counters(MeterRegistry registry, String name, String direction) {
        Map<Frame.BodyCase, Counter> counters = new EnumMap<>(Frame.BodyCase.class);
        for (Frame.BodyCase body : Frame.BodyCase.values()) {
            String kind = body.name().toLowerCase(Locale.ROOT);
            counters.put(body, registry.counter(name, "direction", direction, "body", kind));
        }
        return counters;
    }
}
