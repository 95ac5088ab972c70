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
 * An entry's knowledge of how the queues of each service share its processors, while they ask for more than there is.
 */
final class QueueShares {
    /**
     * Time without contention after which a service counts as uncontended. At a load near the capacity the demands
     * cross it several times a second, and each crossing would make a log line.
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
     * Creates the shares of an entry that is alone.
     *
     * @param waiting the entry's waiting tasks, kept up by the entry
     * @param workers all workers that it knows, kept up by the entry
     */
    QueueShares(Timers timers, WaitingTasks waiting, Collection<Worker> workers) {
        this.timers = timers;
        this.waiting = waiting;
        this.workers = workers;
    }

    /** Returns what this entry's runs hold and its waiting tasks need, by service and queue. */
    Map<String, QueueLoads> ownLoads() {
        Map<String, QueueLoads> byService = new HashMap<>();
        waiting.addWaitingTo(byService);
        for (Worker worker : workers) {
            worker.addRunsTo(byService);
        }
        return byService;
    }

    /** Notes what another entry tells of its queues. */
    void updateRemoteLoads(String entry, Map<String, QueueLoads> byService, boolean leaving) {
        remoteLoads.recordReport(entry, byService, leaving, timers.nanos());
    }

    /** Returns how a service is divided now. */
    FairShares division(String service) {
        return division(service, ownLoads().getOrDefault(service, new QueueLoads()));
    }

    private FairShares division(String service, QueueLoads own) {
        PeerLoads.ServiceSnapshot known = remoteLoads.of(service, timers.nanos());
        return new FairShares(known.reachableCapacity(usableMillis(service)), own, known.loads());
    }

    /**
     * Returns the processors, in thousandths, that can be used: those that are held, and of each worker's free ones as
     * many as whole waiting tasks can use. The rest of a worker that no task fits into would make the shares of queues
     * that want more larger than what they can get.
     */
    private long usableMillis(String service) {
        long unit = waiting.smallestMeanMillicores(service);
        long usable = 0;
        for (Worker worker : workers) {
            Worker.Report view = worker.lastReport();
            if (view.service().equals(service) && view.accepting()) {
                long capacity = view.capacity().processorMillis();
                long free = Math.max(0, view.free().processorMillis());
                usable += unit > 0 ? capacity - free % unit : capacity;
            }
        }
        return usable;
    }

    /** Decides whether a job is taken on, by the forecast of its queue; returns when to come back if it isn't. */
    Optional<Duration> refuse(Job job) {
        QueueTerms terms = job.specification().terms();
        long ahead = waiting.workAhead(terms.service(), terms.queue(), terms.priority());
        long now = timers.nanos();
        if (ahead == 0 && !job.isTooLate(now)) {
            // Nothing waits before it, as is usual: no division is needed to tell that it has its turn at once.
            return Optional.empty();
        }
        String id = job.specification().id();
        long reach = division(terms.service()).ownAvailableMillicores(terms.queue());
        Optional<Duration> refusal = QueueAdmission.refuse(job, now, ahead, reach, recentRefusals.contains(id, now));
        if (refusal.isPresent()) {
            recentRefusals.add(id, now);
        }
        return refusal;
    }

    /** Returns when the caller of a job that is given back should come back, and notes that it may. */
    Duration retryAfterRefusal(Job job) {
        QueueTerms terms = job.specification().terms();
        String id = job.specification().id();
        recentRefusals.add(id, timers.nanos());
        long reach = division(terms.service()).ownAvailableMillicores(terms.queue());
        return QueueAdmission.retryAfter(id, waiting.work(terms.service(), terms.queue()), reach);
    }

    /**
     * Returns the order of a pass over the waiting tasks of a service.
     *
     * @param own what this entry's runs hold and its waiting tasks need of the service
     */
    FairShareOrder turns(String service, QueueLoads own, int limit) {
        return waiting.fairShareOrder(service, division(service, own), own, limit);
    }

    /** Returns the number of services whose queues have lately asked for more than there is. */
    int contendedServices() {
        return contendedAtNanos.size();
    }

    /** Returns the number of entries that were out of reach at the last look. */
    int unreachableEntries() {
        return unreachableEntries;
    }

    /** Looks which services are contended, and forgets entries that are gone. */
    void updateContention() {
        long now = timers.nanos();
        remoteLoads.removeExpired(now);
        unreachableEntries = remoteLoads.of("", now).unreachable();
        Map<String, QueueLoads> own = ownLoads();
        for (Map.Entry<String, QueueLoads> service : own.entrySet()) {
            FairShares division = division(service.getKey(), service.getValue());
            if (division.isContended() && contendedAtNanos.put(service.getKey(), now) == null) {
                log("service-contended", service.getKey(), division);
            }
        }
        contendedAtNanos.entrySet().removeIf(service -> isUncontended(service, now));
    }

    private boolean isUncontended(Map.Entry<String, Long> service, long now) {
        boolean uncontended = now - service.getValue() > UNCONTENDED_AFTER.toNanos();
        if (uncontended) {
            log("service-uncontended", service.getKey(), division(service.getKey()));
        }
        return uncontended;
    }

    private static void log(String event, String service, FairShares division) {
        EventLine.of(event)
                .with("service", service)
                .with("usable_millicores", division.capacityMillicores())
                .with("demand_millicores", division.demandMillicores())
                .with("shares", division)
                .log(LOGGER.atInfo());
    }
}
