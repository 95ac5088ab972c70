package org.chivetally.queue.share;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/** A tally of what each queue uses and needs of one service, at one entry or at several. */
public final class QueueLoads {
    private final Map<String, QueueLoad> byQueue = new TreeMap<>();

    /** Adds to what a queue uses and needs, in thousandths of a processor. */
    public void add(String queue, long runningMillis, long waitingMillis) {
        QueueLoad before = byQueue.get(queue);
        byQueue.put(queue, (before == null ? QueueLoad.NONE : before).plus(runningMillis, waitingMillis));
    }

    /** Adds all of another tally. */
    public void add(QueueLoads other) {
        for (Map.Entry<String, QueueLoad> load : other.byQueue.entrySet()) {
            add(load.getKey(), load.getValue().runningMillis(), load.getValue().waitingMillis());
        }
    }

    /** Returns what a queue uses and needs. */
    public QueueLoad of(String queue) {
        QueueLoad load = byQueue.get(queue);
        return load == null ? QueueLoad.NONE : load;
    }

    /** Returns the queues that use or need something, by name. */
    public Map<String, QueueLoad> byQueue() {
        return Collections.unmodifiableMap(byQueue);
    }
}
