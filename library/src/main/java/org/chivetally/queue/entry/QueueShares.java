package org.chivetally.queue.entry;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.chivetally.logging.EventLine;
import org.chivetally.queue.Job;
import org.chivetally.queue.QueueTerms;
import org.chivetally.queue.placement.FairShareOrder;
import org.chivetally.queue.placement.WaitingTasks;
import org.chivetally.queue.placement.Worker;
import org.chivetally.queue.share.FairShares;
import org.chivetally.queue.share.PeerLoads;
import org.chivetally.queue.share.QueueAdmission;
import org.chivetally.queue.share.QueueLoads;
import org.chivetally.queue.share.RecentlyRefusedJobs;
import org.chivetally.time.Timers;

/**
 * Fair shares of queues in the processors of each service, from the loads of this entry and of the others. They apply
 * while the queues of a service demand more than its capacity.
 */
final class QueueShares {
    /**
     * Time without contention after which a service counts as uncontended. At a load near the capacity, demand crosses
     * it several times a second, and each crossing would otherwise write a log line.
     */
    static final Duration UNCONTENDED_AFTER = Duration.ofSeconds(1);

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Timers timers;
    private final WaitingTasks waiting;
    private final Collection<Worker> workers;
    private final PeerLoads remoteLoads = new PeerLoads();
    private final RecentlyRefusedJobs recentRefusals = new RecentlyRefusedJobs();
    private final Map<String, Long> contendedAtNanos = new HashMap<>();
    private int unreachableEntries;

    /**
     * Creates the shares of an entry without peers.
     *
     * @param waiting the entry's waiting tasks, updated by the entry
     * @param workers all known workers, updated by the entry
     */
    QueueShares(Timers timers, WaitingTasks waiting, Collection<Worker> workers) {
        this.timers = timers;
        this.waiting = waiting;
        this.workers = workers;
    }

    /** Returns the loads of this entry's runs and waiting tasks, by service and queue. */
    Map<String, QueueLoads> ownLoads() {
        Map<String, QueueLoads> byService = new HashMap<>();
        waiting.addWaitingTo(byService);
        for (Worker worker : workers) {
            worker.addRunsTo(byService);
        }
        return byService;
    }

    /**
     * Records the loads that another entry reports.
     *
     * @param entry name of that entry
     * @param byService its loads by service and queue
     * @param leaving whether it is shutting down
     */
    void updateRemoteLoads(String entry, Map<String, QueueLoads> byService, boolean leaving) {
        remoteLoads.recordReport(entry, byService, leaving, timers.nanos());
    }

    /** Returns the current fair shares of queues in a service. */
    FairShares fairShares(String service) {
        return fairShares(service, ownLoads().getOrDefault(service, new QueueLoads()));
    }

    private FairShares fairShares(String service, QueueLoads ownLoads) {
        PeerLoads.ServiceSnapshot peers = remoteLoads.of(service, timers.nanos());
        return new FairShares(peers.reachableCapacity(usableMillicores(service)), ownLoads, peers.loads());
    }

    /**
     * Returns the usable processors of a service in thousandths: those in use, and of the free ones of each worker as
     * many as whole waiting tasks can use. If the remainder of a worker that no task fits into were included, queues
     * that demand more would get larger shares than they can use.
     */
    private long usableMillicores(String service) {
        long unit = waiting.smallestMeanMillicores(service);
        long usable = 0;
        for (Worker worker : workers) {
            Worker.Report report = worker.lastReport();
            if (report.service().equals(service) && report.accepting()) {
                long capacity = report.capacity().processorMillis();
                long free = Math.max(0, report.free().processorMillis());
                usable += unit > 0 ? capacity - free % unit : capacity;
            }
        }
        return usable;
    }

    /**
     * Decides by the forecast of its queue whether a job is refused; returns the retry delay for its caller, or empty
     * if the job is accepted.
     */
    Optional<Duration> refuse(Job job) {
        QueueTerms terms = job.specification().terms();
        long ahead = waiting.workAhead(terms.service(), terms.queue(), terms.priority());
        long now = timers.nanos();
        if (ahead == 0 && !job.isTooLate(now)) {
            // Usually nothing waits before the job. It can then start at once, whatever the shares.
            return Optional.empty();
        }
        String id = job.specification().id();
        long available = fairShares(terms.service()).ownAvailableMillicores(terms.queue());
        Optional<Duration> refusal =
                QueueAdmission.refuse(job, now, ahead, available, recentRefusals.contains(id, now));
        if (refusal.isPresent()) {
            recentRefusals.add(id, now);
        }
        return refusal;
    }

    /**
     * Returns the retry delay for the caller of a job that is refused after it was accepted, and records the refusal,
     * so that the retry of its caller is recognized.
     */
    Duration retryAfterRefusal(Job job) {
        QueueTerms terms = job.specification().terms();
        String id = job.specification().id();
        recentRefusals.add(id, timers.nanos());
        long available = fairShares(terms.service()).ownAvailableMillicores(terms.queue());
        return QueueAdmission.retryAfter(id, waiting.work(terms.service(), terms.queue()), available);
    }

    /**
     * Returns the order of a pass over the waiting tasks of a service.
     *
     * @param own loads of this entry's runs and waiting tasks in the service
     * @param limit maximum number of tasks to consider
     */
    FairShareOrder placementOrder(String service, QueueLoads own, int limit) {
        return waiting.fairShareOrder(service, fairShares(service, own), own, limit);
    }

    /** Returns the number of services whose queues have recently demanded more than the capacity. */
    int contendedServices() {
        return contendedAtNanos.size();
    }

    /** Returns the number of entries that were unreachable at the last update. */
    int unreachableEntries() {
        return unreachableEntries;
    }

    /** Updates which services are contended, and removes entries that are gone. */
    void updateContention() {
        long now = timers.nanos();
        remoteLoads.removeExpired(now);
        unreachableEntries = remoteLoads.of("", now).unreachable();
        Map<String, QueueLoads> own = ownLoads();
        for (Map.Entry<String, QueueLoads> service : own.entrySet()) {
            FairShares shares = fairShares(service.getKey(), service.getValue());
            if (shares.isContended() && contendedAtNanos.put(service.getKey(), now) == null) {
                log("service-contended", service.getKey(), shares);
            }
        }
        contendedAtNanos.entrySet().removeIf(service -> isUncontended(service, now));
    }

    private boolean isUncontended(Map.Entry<String, Long> service, long now) {
        boolean uncontended = now - service.getValue() > UNCONTENDED_AFTER.toNanos();
        if (uncontended) {
            log("service-uncontended", service.getKey(), fairShares(service.getKey()));
        }
        return uncontended;
    }

    private static void log(String event, String service, FairShares shares) {
        EventLine.of(event)
                .with("service", service)
                .with("usable_millicores", shares.capacityMillicores())
                .with("demand_millicores", shares.demandMillicores())
                .with("shares", shares)
                .log(LOGGER.atInfo());
    }
}
