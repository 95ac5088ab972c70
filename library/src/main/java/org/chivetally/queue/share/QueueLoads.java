package org.chivetally.queue.share;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * A tally of what each queue uses and needs of one service, at one entry or at several. It is made anew for each pass
 * over the waiting tasks, from each run in progress, so its sums are changed in place.
 */
public final class QueueLoads {
    private final Map<String, Sums> byQueue = new HashMap<>();

    /** Adds to what a queue uses and needs, in thousandths of a processor. */
    public void add(String queue, long runningMillicores, long waitingMillicores) {
        Sums sums = byQueue.get(queue);
        if (sums == null) {
            sums = new Sums();
            byQueue.put(queue, sums);
        }
        sums.runningMillicores += runningMillicores;
        sums.waitingMillicores += waitingMillicores;
    }

    /** Adds all of another tally. */
    public void add(QueueLoads other) {
        for (Map.Entry<String, Sums> load : other.byQueue.entrySet()) {
            add(load.getKey(), load.getValue().runningMillicores, load.getValue().waitingMillicores);
        }
    }

    /** Returns what a queue uses and needs. */
    public QueueLoad of(String queue) {
        Sums sums = byQueue.get(queue);
        return sums == null ? QueueLoad.NONE : new QueueLoad(sums.runningMillicores, sums.waitingMillicores);
    }

    /** Returns the queues that use or need something. */
    public Set<String> queues() {
        return byQueue.keySet();
    }

    private static final class Sums {
        private long runningMillicores;
        private long waitingMillicores;
    }
}
