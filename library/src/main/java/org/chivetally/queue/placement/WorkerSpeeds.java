package org.chivetally.queue.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivetally.queue.speed.KindStretches;
import org.chivetally.queue.speed.SpeedClasses;

/**
 * Keeps the speed and speed class of each worker up to date, for all services.
 *
 * <p>Even a small entry receives hundreds of reports per second and makes as many placement passes. As speeds change
 * slowly, they are computed at intervals and not for each report, pass or task.
 */
final class WorkerSpeeds {
    /** Age after which the speeds are computed again. A worker that becomes slow is detected after about a second. */
    static final Duration REFRESH_INTERVAL = Duration.ofMillis(50);

    private final Map<String, ServiceSpeeds> services = new HashMap<>();
    private long version;
    private long refreshedAtNanos;
    private int refreshedWorkerCount;
    private double spread = 1;

    /**
     * Updates the speeds of the given workers unless they are up to date.
     *
     * @param nowNanos the time, by the monotonic clock
     */
    void refresh(List<Worker> workers, long nowNanos) {
        boolean current = version > 0
                && nowNanos - refreshedAtNanos < REFRESH_INTERVAL.toNanos()
                && workers.size() == refreshedWorkerCount
                && !hasNewWorker(workers);
        if (current) {
            return;
        }
        version++;
        refreshedAtNanos = nowNanos;
        refreshedWorkerCount = workers.size();
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

    /** Tells whether there is a worker that the last computation did not include. */
    private boolean hasNewWorker(List<Worker> workers) {
        for (Worker worker : workers) {
            if (worker.speed().version() != version) {
                return true;
            }
        }
        return false;
    }

    /** Returns the speed classes of a service's workers as of the last computation. */
    SpeedClasses classesOf(String service) {
        ServiceSpeeds known = services.get(service);
        return known == null ? ServiceSpeeds.NO_CLASSES : known.classes;
    }

    /**
     * Returns the greatest ratio of run durations between slow and fast workers of one service; 1 if all workers are
     * equally fast.
     */
    double spread() {
        return spread;
    }

    /** The workers of one service and their speed classes. */
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
