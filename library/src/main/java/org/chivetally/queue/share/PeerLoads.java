package org.chivetally.queue.share;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** The loads of queues that other entries report, with the times of the reports. */
public final class PeerLoads {
    /**
     * Age up to which a report is used. Entries report every 250 ms, and a broken link is replaced within 1.5 s. A
     * report beyond this age may be older than several task durations.
     */
    public static final Duration REPORT_VALIDITY = Duration.ofSeconds(2);

    /** Age of its last report after which an entry is considered stopped instead of unreachable. */
    public static final Duration ENTRY_RETENTION = Duration.ofSeconds(30);

    private final Map<String, LoadReport> reports = new LinkedHashMap<>();
    /**
     * Snapshots by service, valid until a report arrives or expires: passes ask for them several times as often as that
     * happens.
     */
    private final Map<String, ServiceSnapshot> snapshots = new HashMap<>();

    private long snapshotsValidUntilNanos;

    /** The last report of an entry. */
    private record LoadReport(Map<String, QueueLoads> byService, long receivedAtNanos, boolean leaving) {}

    /**
     * Loads of the other entries at one moment.
     *
     * @param loads sum of the loads of the service at the reachable entries
     * @param reachable number of entries with a valid report, including this one
     * @param unreachable number of entries whose last report has expired
     */
    public record ServiceSnapshot(QueueLoads loads, int reachable, int unreachable) {
        /**
         * Returns the part of a capacity that the reachable entries share, in the unit of the argument. Unreachable
         * entries have callers too and use an equal part each. An entry that reaches no other keeps its own equal part.
         */
        public long reachableCapacity(long totalMillicores) {
            return totalMillicores * reachable / (reachable + unreachable);
        }
    }

    /**
     * Records a report of another entry.
     *
     * @param byService loads of its queues, by service
     * @param leaving whether the entry is about to stop, so that no part is reserved for it when its reports end
     * @param nowNanos the time, by the monotonic clock
     */
    public void recordReport(String entry, Map<String, QueueLoads> byService, boolean leaving, long nowNanos) {
        reports.put(entry, new LoadReport(byService, nowNanos, leaving));
        snapshots.clear();
    }

    /**
     * Returns the loads of a service at the other entries.
     *
     * @param nowNanos the time, by the monotonic clock
     */
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

    /**
     * Removes entries whose last report is so old that they are considered stopped.
     *
     * @param nowNanos the time, by the monotonic clock
     */
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
