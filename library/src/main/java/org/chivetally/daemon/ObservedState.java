package org.chivetally.daemon;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.chivetally.entry.link.HeartbeatSettings;
import org.chivetally.entry.link.IdleHeartbeats;
import org.chivetally.entry.link.ObservedProcess;
import org.chivetally.entry.member.Member;
import org.chivetally.resource.BackendServerReport;
import org.chivetally.resource.ProcessVersions;
import org.chivetally.resource.StatusSource;
import org.chivetally.wire.v1.Hello;
import org.chivetally.wire.v1.Report;

/**
 * Status of backend servers and configuration versions of processes, from the last report that an entry received from
 * each process.
 */
final class ObservedState implements StatusSource, ProcessVersions {
    private static final int MISSED_HEARTBEATS = 3;

    private final AtomicReference<Supplier<List<ObservedProcess>>> processes = new AtomicReference<>(List::of);

    /** Sets the source of the observed processes; without one, the state is empty. */
    void setSource(Supplier<List<ObservedProcess>> source) {
        processes.set(source);
    }

    @Override
    public Optional<BackendServerReport> lastReport(String backendServer) {
        return processes.get().get().stream()
                .filter(process ->
                        process.reachable() && process.hello().getBackend().equals(backendServer))
                .findFirst()
                .map(ObservedState::report);
    }

    @Override
    public List<ProcessVersion> lastReports() {
        return processes.get().get().stream()
                .map(ObservedState::version)
                .sorted(Comparator.comparing(ProcessVersion::processId))
                .toList();
    }

    @Override
    public Duration silentAfter() {
        List<ObservedProcess> all = processes.get().get();
        int agents = (int) all.stream()
                .filter(process -> process.hello().getRole().equals(Member.AGENT))
                .count();
        int entries = all.size() - agents + 1;
        Duration shortest = HeartbeatSettings.standard().idleInterval();
        return IdleHeartbeats.interval(false, agents, entries, shortest).multipliedBy(MISSED_HEARTBEATS);
    }

    private static BackendServerReport report(ObservedProcess process) {
        Hello hello = process.hello();
        Report report = process.report();
        return new BackendServerReport(
                process.observedNanos(),
                hello.getProcessId(),
                hello.getFailureDomain(),
                report.getFreeSlots(),
                report.getQueued(),
                report.getRunning(),
                report.getDraining(),
                report.getMinionUnhealthy());
    }

    private static ProcessVersion version(ObservedProcess process) {
        Hello hello = process.hello();
        return new ProcessVersion(
                hello.getProcessId(), hello.getRole(), process.configurationVersion(), process.observedNanos());
    }
}
