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
    static final Duration INTERVAL = Duration.ofMillis(50);

    private final Map<String, Service> services = new HashMap<>();
    private long epoch;
    private long computedAtNanos;
    private int computedWorkers;
    private double spread = 1;

    /** Brings the speeds of the open workers up to date, unless they are. */
    void refresh(List<Worker> open, long nowNanos) {
        boolean fresh = epoch > 0
                && nowNanos - computedAtNanos < INTERVAL.toNanos()
                && open.size() == computedWorkers
                && !hasOther(open);
        if (fresh) {
            return;
        }
        epoch++;
        computedAtNanos = nowNanos;
        computedWorkers = open.size();
        for (Service service : services.values()) {
            service.workers.clear();
        }
        for (Worker worker : open) {
            Service service = services.get(worker.view().service());
            if (service == null) {
                service = new Service();
                services.put(worker.view().service(), service);
            }
            service.workers.add(worker);
        }
        double greatest = 1;
        for (Service service : services.values()) {
            service.compute(nowNanos, epoch);
            greatest = Math.max(greatest, service.classes.spread());
        }
        spread = greatest;
    }

    /** Tells whether there is a worker that the last computation did not cover. */
    private boolean hasOther(List<Worker> open) {
        for (Worker worker : open) {
            if (worker.speed().epoch() != epoch) {
                return true;
            }
        }
        return false;
    }

    /** Returns the classes of a service's open workers. */
    SpeedClasses of(String service) {
        Service known = services.get(service);
        return known == null ? Service.NO_CLASSES : known.classes;
    }

    /** Returns the greatest spread of any service at the last computation; 1 where all workers are equally fast. */
    double spread() {
        return spread;
    }

    /** The workers of one service. */
    private static final class Service {
        private static final SpeedClasses NO_CLASSES = SpeedClasses.of(new double[0]);

        private final List<Worker> workers = new ArrayList<>();
        private final KindStretches kinds = new KindStretches();
        private SpeedClasses classes = NO_CLASSES;

        private void compute(long nowNanos, long epoch) {
            kinds.begin(nowNanos);
            for (Worker worker : workers) {
                kinds.add(worker.kind(), worker.learned());
            }
            kinds.finish();
            double[] stretches = new double[workers.size()];
            for (int place = 0; place < stretches.length; place++) {
                Worker worker = workers.get(place);
                stretches[place] = kinds.of(worker.kind(), worker.learned());
            }
            classes = SpeedClasses.of(stretches);
            for (int place = 0; place < stretches.length; place++) {
                Worker worker = workers.get(place);
                worker.speed(new WorkerSpeed(stretches[place], kinds.of(worker.kind()), classes.rank(place), epoch));
            }
        }
    }
}
