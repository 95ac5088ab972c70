package org.chivetally.queue.entry;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.chivetally.queue.Evacuations;
import org.chivetally.queue.JobSpecification;
import org.chivetally.queue.placement.ArrivalRate;
import org.chivetally.queue.placement.EntryCapacityShare;
import org.chivetally.queue.placement.ServiceDemand;
import org.chivetally.queue.placement.WaitingTasks;
import org.chivetally.queue.placement.Worker;
import org.chivetally.time.Timers;

/** Shares of this entry in each service's workers, from its own demand and that of the other entries. */
final class ServiceShares {
    private final Timers timers;
    private final WaitingTasks waiting;
    private final Collection<Worker> workers;
    private final Map<String, ArrivalRate> arrivals = new HashMap<>();
    private final Map<String, Map<String, ServiceDemand>> remoteDemand = new HashMap<>();
    private Evacuations evacuations = Evacuations.UNKNOWN;
    private int entries = 1;

    /**
     * Creates the shares of an entry without peers.
     *
     * @param waiting the entry's waiting tasks, updated by the entry
     * @param workers all known workers, updated by the entry
     */
    ServiceShares(Timers timers, WaitingTasks waiting, Collection<Worker> workers) {
        this.timers = timers;
        this.waiting = waiting;
        this.workers = workers;
    }

    /** Records the arrival of an accepted job. */
    void recordArrival(JobSpecification job) {
        arrivals.computeIfAbsent(job.terms().service(), name -> new ArrivalRate())
                .recordArrival(job, timers.nanos());
    }

    /** Returns this entry's share of a service's processors. */
    EntryCapacityShare of(String service) {
        Map<String, ServiceDemand> remote = new HashMap<>();
        remoteDemand.forEach((entry, demand) -> remote.put(entry, demand.getOrDefault(service, ServiceDemand.NONE)));
        return EntryCapacityShare.forEntry(capacity(service), demand(service), remote, entries);
    }

    private long capacity(String service) {
        long millicores = 0;
        for (Worker worker : workers) {
            boolean serves = worker.lastReport().service().equals(service)
                    && worker.lastReport().accepting();
            millicores += serves ? worker.lastReport().capacity().processorMillis() : 0;
        }
        return millicores;
    }

    /** Returns this entry's demand for each service's workers. */
    Map<String, ServiceDemand> demand() {
        Map<String, ServiceDemand> demand = new HashMap<>();
        for (String service : arrivals.keySet()) {
            demand.put(service, demand(service));
        }
        return demand;
    }

    private ServiceDemand demand(String service) {
        ArrivalRate arriving = arrivals.get(service);
        long arrivingMillicores = arriving == null ? 0 : arriving.arrivingMillicores(timers.nanos());
        // A job that was stored before estimates were validated may have a negative estimate.
        return new ServiceDemand(Math.max(0, arrivingMillicores), Math.max(0, waiting.work(service)));
    }

    /** Records the demand of another entry for each service's workers. */
    void updateRemoteDemand(String entry, Map<String, ServiceDemand> demand) {
        remoteDemand.put(entry, demand);
    }

    /** Removes the demand of an entry that is gone or unreachable. */
    void removeRemoteDemand(String entry) {
        remoteDemand.remove(entry);
    }

    /** Sets the number of entries that place tasks on the workers. */
    void updateEntryCount(int count) {
        entries = count;
    }

    /** Sets the failure domains that operators have evacuated. */
    void updateEvacuations(Evacuations latest) {
        evacuations = latest;
    }

    /** Returns whether a service has workers and all known ones are in evacuated failure domains. */
    boolean isEvacuated(String service) {
        boolean any = false;
        for (Worker worker : workers) {
            if (!worker.lastReport().service().equals(service)) {
                continue;
            }
            if (!evacuations.includes(worker.lastReport().failureDomain())) {
                return false;
            }
            any = true;
        }
        return any;
    }
}
