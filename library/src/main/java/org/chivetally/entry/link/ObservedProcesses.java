package org.chivetally.entry.link;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.chivetally.time.NanoClock;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Hello;
import org.chivetally.wire.v1.Report;

/** Keeps the latest information received from each linked process, for operators. Thread-safe. */
public final class ObservedProcesses implements LinkObserver {
    private static final long RETENTION_NANOS = Duration.ofMinutes(10).toNanos();

    private final NanoClock clock;
    private final Map<String, ObservedProcess> processes = new ConcurrentHashMap<>();

    /** Creates an empty collection. */
    public ObservedProcesses(NanoClock clock) {
        this.clock = clock;
    }

    /** Returns the processes that are reachable or sent a frame in the last ten minutes; discards all others. */
    public List<ObservedProcess> all() {
        long now = clock.nanos();
        processes.values().removeIf(last -> !last.reachable() && now - last.observedNanos() > RETENTION_NANOS);
        return List.copyOf(processes.values());
    }

    @Override
    public void up(Hello hello) {
        processes.put(
                hello.getProcessId(),
                new ObservedProcess(hello, hello.getReport(), hello.getConfigurationVersion(), clock.nanos(), true));
    }

    @Override
    public void down(Hello hello, String reason) {
        processes.computeIfPresent(
                hello.getProcessId(),
                (name, last) -> new ObservedProcess(
                        last.hello(), last.report(), last.configurationVersion(), last.observedNanos(), false));
    }

    @Override
    public void unexpectedProcess(Hello hello) {
        // Only linked processes are recorded.
    }

    @Override
    public void received(Hello sender, Frame frame) {
        processes.computeIfPresent(sender.getProcessId(), (name, last) -> update(last, sender, frame));
    }

    private ObservedProcess update(ObservedProcess last, Hello sender, Frame frame) {
        if (!last.hello().getIncarnation().equals(sender.getIncarnation())) {
            return last;
        }
        Report report = reportOf(frame)
                .filter(received -> received.getSequence() >= last.report().getSequence())
                .orElse(last.report());
        long version =
                frame.hasHeartbeat() ? frame.getHeartbeat().getConfigurationVersion() : last.configurationVersion();
        return new ObservedProcess(last.hello(), report, version, clock.nanos(), last.reachable());
    }

    private static Optional<Report> reportOf(Frame frame) {
        return switch (frame.getBodyCase()) {
            case HEARTBEAT ->
                Optional.of(frame.getHeartbeat())
                        .filter(beat -> beat.hasReport())
                        .map(beat -> beat.getReport());
            case RESULT -> Optional.of(frame.getResult().getReport());
            case REFUSAL -> Optional.of(frame.getRefusal().getReport());
            case INQUIRY_ANSWER -> Optional.of(frame.getInquiryAnswer().getReport());
            default -> Optional.empty();
        };
    }
}
