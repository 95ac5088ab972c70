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

/** What an entry may use of each service's workers, beside what the other entries ask of them. */
final class ServiceShares {
    private final Timers timers;
    private final WaitingTasks waiting;
    private final Collection<Worker> workers;
    private final Map<String, ArrivalRate> arrivals = new HashMap<>();
    private final Map<String, Map<String, ServiceDemand>> remoteDemand = new HashMap<>();
    private Evacuations evacuations = Evacuations.UNKNOWN;
    private int entries = 1;

    /**
     * Creates the shares of an entry that is alone.
     *
     * @param waiting the entry's waiting tasks, kept up by the entry
     * @param workers all workers that it knows, kept up by the entry
     */
    ServiceShares(Timers timers, WaitingTasks waiting, Collection<Worker> workers) {
        this.timers = timers;
        this.waiting = waiting;
        this.workers = workers;
    }

    /** Notes that a job was taken on. */
    void recordArrival(JobSpecification job) {
        arrivals.computeIfAbsent(job.terms().service(), name -> new ArrivalRate())
                .recordArrival(job, timers.nanos());
    }

    /** Returns this entry's part of a service's processors. */
    EntryCapacityShare of(String service) {
        Map<String, ServiceDemand> remote = new HashMap<>();
        remoteDemand.forEach((entry, demand) -> remote.put(entry, demand.getOrDefault(service, ServiceDemand.NONE)));
        return EntryCapacityShare.forEntry(capacity(service), demand(service), remote, entries);
    }

    private long capacity(String service) {
        long processors = 0;
        for (Worker worker : workers) {
            boolean serves = worker.lastReport().service().equals(service)
                    && worker.lastReport().accepting();
            processors += serves ? worker.lastReport().capacity().processorMillis() : 0;
        }
        return processors;
    }

    /** Returns what this entry asks of each service's workers. */
    Map<String, ServiceDemand> demand() {
        Map<String, ServiceDemand> demand = new HashMap<>();
        for (String service : arrivals.keySet()) {
            demand.put(service, demand(service));
        }
        return demand;
    }

    private ServiceDemand demand(String service) {
        ArrivalRate arriving = arrivals.get(service);
        long arrivingMillis = arriving == null ? 0 : arriving.arrivingMillicores(timers.nanos());
        // A job that was stored before estimates were checked may have a negative one.
        return new ServiceDemand(Math.max(0, arrivingMillis), Math.max(0, waiting.work(service)));
    }

    /** Notes what another entry asks of each service's workers. */
    void updateRemoteDemand(String entry, Map<String, ServiceDemand> demand) {
        remoteDemand.put(entry, demand);
    }

    /** Forgets what another entry asked for, as it is gone or can't be heard. */
    void removeRemoteDemand(String entry) {
        remoteDemand.remove(entry);
    }

    /** Notes how many entries place tasks on the workers. */
    void updateEntryCount(int count) {
        entries = count;
    }

    /** Notes which failure domains operators want to be left alone. */
    void updateEvacuations(Evacuations latest) {
        evacuations = latest;
    }

    /** Tells whether a service has workers, and all that are known stand in evacuated failure domains. */
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
