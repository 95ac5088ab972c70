package org.chivetally.daemon;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.chivetally.entry.link.HeartbeatSettings;
import org.chivetally.entry.link.IdlePace;
import org.chivetally.entry.link.ObservedProcess;
import org.chivetally.entry.member.Member;
import org.chivetally.resource.BackendServerReport;
import org.chivetally.resource.ProcessVersions;
import org.chivetally.resource.ResourceStatus;
import org.chivetally.resource.StatusSource;
import org.chivetally.time.NanoClock;
import org.chivetally.wire.v1.Report;

/** What other processes last said of themselves to this entry, as operators ask for it. Safe from any thread. */
final class Observed implements ProcessVersions, StatusSource {
    private static final int MISSED_HEARTBEATS = 3;

    private final NanoClock clock;
    private volatile Supplier<List<ObservedProcess>> processes = List::of;

    Observed(NanoClock clock) {
        this.clock = clock;
    }

    NanoClock clock() {
        return clock;
    }

    /** Sets who observes, once that has started. */
    void by(Supplier<List<ObservedProcess>> observer) {
        processes = observer;
    }

    @Override
    public List<ProcessVersion> lastReports() {
        return processes.get().stream()
                .map(one -> new ProcessVersion(
                        one.hello().getProcessId(),
                        one.hello().getRole(),
                        one.configurationVersion(),
                        one.observedNanos()))
                .sorted(Comparator.comparing(ProcessVersion::processId))
                .toList();
    }

    @Override
    public Duration silentAfter() {
        List<ObservedProcess> all = processes.get();
        int agents = (int) all.stream().filter(Observed::isAgent).count();
        int entries = all.size() - agents + 1;
        Duration shortest = HeartbeatSettings.standard().idleInterval();
        Duration missed = IdlePace.interval(false, agents, entries, shortest).multipliedBy(MISSED_HEARTBEATS);
        return missed.compareTo(ResourceStatus.SILENT_AFTER) > 0 ? missed : ResourceStatus.SILENT_AFTER;
    }

    @Override
    public Optional<BackendServerReport> lastReport(String backendServer) {
        return processes.get().stream()
                .filter(Observed::isAgent)
                .filter(one -> one.hello().getBackend().equals(backendServer))
                .max(Comparator.comparingLong(ObservedProcess::observedNanos))
                .map(Observed::reportOf);
    }

    private static BackendServerReport reportOf(ObservedProcess agent) {
        Report report = agent.report();
        return new BackendServerReport(
                agent.observedNanos(),
                agent.hello().getProcessId(),
                agent.hello().getFailureDomain(),
                report.getFreeSlots(),
                report.getQueued(),
                report.getRunning(),
                report.getDraining(),
                report.getMinionUnhealthy());
    }

    private static boolean isAgent(ObservedProcess process) {
        return process.hello().getRole().equals(Member.AGENT);
    }
}
