package org.chivetally.queue.share;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Mutable loads of the queues of one service, at one entry or summed over several. They are computed for each placement
 * pass from all runs in progress, so the sums are updated in place.
 */
public final class QueueLoads {
    private final Map<String, Sums> byQueue = new HashMap<>();

    /** Adds to the load of a queue, in millicores. */
    public void add(String queue, long runningMillicores, long waitingMillicores) {
        Sums sums = byQueue.get(queue);
        if (sums == null) {
            sums = new Sums();
            byQueue.put(queue, sums);
        }
        sums.runningMillicores += runningMillicores;
        sums.waitingMillicores += waitingMillicores;
    }

    /** Adds all loads of another instance. */
    public void add(QueueLoads other) {
        for (Map.Entry<String, Sums> load : other.byQueue.entrySet()) {
            add(load.getKey(), load.getValue().runningMillicores, load.getValue().waitingMillicores);
        }
    }

    /** Returns the load of a queue. */
    public QueueLoad of(String queue) {
        Sums sums = byQueue.get(queue);
        return sums == null ? QueueLoad.NONE : new QueueLoad(sums.runningMillicores, sums.waitingMillicores);
    }

    /** Returns the queues with a load. */
    public Set<String> queues() {
        return byQueue.keySet();
    }

    private static final class Sums {
        private long runningMillicores;
        private long waitingMillicores;
    }
}
