package org.chivetally.queue.share;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** What the other entries have told of their queues, with its age. */
public final class PeerLoads {
    /**
     * Age up to which what an entry has told counts. Entries tell every 250 ms, and a link that was cut is replaced
     * within 1.5 s; an older report may be several times the duration of a task old.
     */
    public static final Duration REPORT_VALIDITY = Duration.ofSeconds(2);

    /** Age after which an entry that was last heard then is taken for gone, rather than out of reach. */
    public static final Duration ENTRY_RETENTION = Duration.ofSeconds(30);

    private final Map<String, LoadReport> reports = new LinkedHashMap<>();
    /** What is known by service until something is told or gets too old: passes ask several times as often. */
    private final Map<String, ServiceSnapshot> snapshots = new HashMap<>();

    private long snapshotsValidUntilNanos;

    /** What an entry told when. */
    private record LoadReport(Map<String, QueueLoads> byService, long receivedAtNanos, boolean leaving) {}

    /**
     * What is known of the other entries at a moment.
     *
     * @param loads what the entries that are heard need of the service
     * @param reachable number of entries that are heard, this one among them
     * @param unreachable number of entries that are out of reach
     */
    public record ServiceSnapshot(QueueLoads loads, int reachable, int unreachable) {
        /**
         * Returns the part of a capacity that the entries that are heard divide: those out of reach have callers too,
         * and take equal parts. An entry that hears no other one keeps its equal part.
         */
        public long reachableCapacity(long totalMillicores) {
            return totalMillicores * reachable / (reachable + unreachable);
        }
    }

    /**
     * Notes what an entry tells.
     *
     * @param byService what its queues use and need, by service
     * @param leaving whether it is about to stop, so that nothing is kept for it once it is silent
     */
    public void recordReport(String entry, Map<String, QueueLoads> byService, boolean leaving, long nowNanos) {
        reports.put(entry, new LoadReport(byService, nowNanos, leaving));
        snapshots.clear();
    }

    /** Returns what is known of a service. */
    public ServiceSnapshot of(String service, long nowNanos) {
        if (nowNanos - snapshotsValidUntilNanos > 0) {
            snapshots.clear();
        }
        ServiceSnapshot snapshot = snapshots.get(service);
        if (snapshot == null) {
            snapshot = compute(service, nowNanos);
            snapshots.put(service, snapshot);
        }
        return snapshot;
    }

    private ServiceSnapshot compute(String service, long nowNanos) {
        snapshotsValidUntilNanos = nowNanos + REPORT_VALIDITY.toNanos();
        QueueLoads loads = new QueueLoads();
        int reachable = 1;
        int unreachable = 0;
        for (LoadReport report : reports.values()) {
            if (nowNanos - report.receivedAtNanos() <= REPORT_VALIDITY.toNanos()) {
                reachable++;
                snapshotsValidUntilNanos =
                        Math.min(snapshotsValidUntilNanos, report.receivedAtNanos() + REPORT_VALIDITY.toNanos());
                QueueLoads ofService = report.byService().get(service);
                if (ofService != null) {
                    loads.add(ofService);
                }
            } else if (!report.leaving()) {
                unreachable++;
            }
        }
        return new ServiceSnapshot(loads, reachable, unreachable);
    }

    /** Forgets entries that have been silent for so long that they are gone. */
    public void removeExpired(long nowNanos) {
        Iterator<LoadReport> iterator = reports.values().iterator();
        while (iterator.hasNext()) {
            if (nowNanos - iterator.next().receivedAtNanos() > ENTRY_RETENTION.toNanos()) {
                iterator.remove();
                snapshots.clear();
            }
        }
    }
}
