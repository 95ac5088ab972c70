package org.chivetally.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.chivetally.resource.BackendServerReport;
import org.chivetally.resource.ProcessVersions;
import org.chivetally.resource.ResourceStatus;
import org.chivetally.resource.StatusSource;
import org.chivetally.wire.v1.Hello;
import org.chivetally.wire.v1.Report;

/** What other processes last said of themselves to this entry; for operators only. Safe from any thread. */
public final class ProcessReports implements ProcessVersions, StatusSource {
    private static final int MISSED_HEARTBEATS = 3;

    private final Map<String, ProcessVersion> versions = new ConcurrentHashMap<>();
    private final Map<String, BackendServerReport> backends = new ConcurrentHashMap<>();
    private volatile Duration silentAfter = ResourceStatus.SILENT_AFTER;

    /** Notes a version that a process reported. */
    public void reported(String processId, String role, long version, long now) {
        versions.put(processId, new ProcessVersion(processId, role, version, now));
    }

    /** Notes a report of an agent, which said who it is on its connection. */
    public void reported(Hello agent, Report report, long now) {
        backends.put(
                agent.getBackend(),
                new BackendServerReport(
                        now,
                        agent.getProcessId(),
                        agent.getFailureDomain(),
                        report.getFreeSlots(),
                        report.getQueued(),
                        report.getRunning(),
                        report.getDraining(),
                        report.getMinionUnhealthy()));
    }

    /** Forgets all processes but these. */
    public void retain(Set<String> processIds) {
        versions.keySet().retainAll(processIds);
        backends.values().removeIf(report -> !processIds.contains(report.agent()));
    }

    /** Notes the longest time between two heartbeats of an idle connection. */
    public void paced(Duration interval) {
        Duration missed = interval.multipliedBy(MISSED_HEARTBEATS);
        silentAfter = missed.compareTo(ResourceStatus.SILENT_AFTER) > 0 ? missed : ResourceStatus.SILENT_AFTER;
    }

    @Override
    public List<ProcessVersion> lastReports() {
        List<ProcessVersion> all = new ArrayList<>(versions.values());
        all.sort(Comparator.comparing(ProcessVersion::processId));
        return all;
    }

    @Override
    public Duration silentAfter() {
        return silentAfter;
    }

    @Override
    public Optional<BackendServerReport> lastReport(String backendServer) {
        return Optional.ofNullable(backends.get(backendServer));
    }
}
