package org.chivetally.queue.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivetally.queue.speed.KindStretches;
import org.chivetally.queue.speed.SpeedClasses;

/**
 * Keeps each worker's speed and class of speed up to date, for all services.
 *
 * <p>Reports come hundreds of times a second at a small entry, and passes over the waiting tasks as often. Speeds
 * change slowly, so they are computed anew at intervals, not for each of these, and never for each task.
 */
final class WorkerSpeeds {
    /** Age from which the speeds are computed anew: a worker that turns slow shows after about a second. */
    static final Duration REFRESH_INTERVAL = Duration.ofMillis(50);

    private final Map<String, ServiceSpeeds> services = new HashMap<>();
    private long version;
    private long refreshedAtNanos;
    private int refreshedWorkers;
    private double spread = 1;

    /** Brings the speeds of the open workers up to date, unless they are. */
    void refresh(List<Worker> workers, long nowNanos) {
        boolean current = version > 0
                && nowNanos - refreshedAtNanos < REFRESH_INTERVAL.toNanos()
                && workers.size() == refreshedWorkers
                && !hasUncoveredWorker(workers);
        if (current) {
            return;
        }
        version++;
        refreshedAtNanos = nowNanos;
        refreshedWorkers = workers.size();
        for (ServiceSpeeds service : services.values()) {
            service.workers.clear();
        }
        for (Worker worker : workers) {
            ServiceSpeeds service = services.get(worker.lastReport().service());
            if (service == null) {
                service = new ServiceSpeeds();
                services.put(worker.lastReport().service(), service);
            }
            service.workers.add(worker);
        }
        double greatestSpread = 1;
        for (ServiceSpeeds service : services.values()) {
            service.compute(nowNanos, version);
            greatestSpread = Math.max(greatestSpread, service.classes.spread());
        }
        spread = greatestSpread;
    }

    /** Tells whether there is a worker that the last computation did not cover. */
    private boolean hasUncoveredWorker(List<Worker> workers) {
        for (Worker worker : workers) {
            if (worker.speed().version() != version) {
                return true;
            }
        }
        return false;
    }

    /** Returns the classes of a service's open workers. */
    SpeedClasses classesOf(String service) {
        ServiceSpeeds known = services.get(service);
        return known == null ? ServiceSpeeds.NO_CLASSES : known.classes;
    }

    /** Returns the greatest spread of any service at the last computation; 1 where all workers are equally fast. */
    double spread() {
        return spread;
    }

    /** The workers of one service. */
    private static final class ServiceSpeeds {
        private static final SpeedClasses NO_CLASSES = SpeedClasses.of(new double[0]);

        private final List<Worker> workers = new ArrayList<>();
        private final KindStretches kinds = new KindStretches();
        private SpeedClasses classes = NO_CLASSES;

        private void compute(long nowNanos, long version) {
            kinds.begin(nowNanos);
            for (Worker worker : workers) {
                kinds.add(worker.kind(), worker.learnedStretch());
            }
            kinds.finish();
            double[] stretches = new double[workers.size()];
            for (int index = 0; index < stretches.length; index++) {
                Worker worker = workers.get(index);
                stretches[index] = kinds.stretch(worker.kind(), worker.learnedStretch());
            }
            classes = SpeedClasses.of(stretches);
            for (int index = 0; index < stretches.length; index++) {
                Worker worker = workers.get(index);
                worker.speed(
                        new WorkerSpeed(stretches[index], kinds.stretch(worker.kind()), classes.rank(index), version));
            }
        }
    }
}
