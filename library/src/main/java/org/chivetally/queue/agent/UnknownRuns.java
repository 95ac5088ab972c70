package org.chivetally.queue.agent;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivetally.queue.RunKey;

/**
 * Runs that the minion lists and nobody here knows: of an agent before this one, or of a start that was sent to an
 * earlier incarnation under the same id and that this one has carried out. Their room isn't known, so nothing is
 * started beside them.
 */
final class UnknownRuns {
    /** Pause before a stop is sent again while the run is still listed. */
    static final Duration STOP_RETRY_INTERVAL = Duration.ofMillis(100);

    /** When the last stop went out, by run; 0 for none. */
    private final Map<RunKey, Long> stopSentNanos = new HashMap<>();

    boolean isEmpty() {
        return stopSentNanos.isEmpty();
    }

    void clear() {
        stopSentNanos.clear();
    }

    /** Takes over the runs that are listed now and not known. */
    void update(Collection<RunKey> unknown) {
        if (unknown.isEmpty() && stopSentNanos.isEmpty()) {
            return;
        }
        stopSentNanos.keySet().retainAll(unknown);
        for (RunKey run : unknown) {
            stopSentNanos.putIfAbsent(run, 0L);
        }
    }

    /** Returns the runs to which a stop is due, and notes that it goes out. */
    List<RunKey> dueForStop(long nowNanos) {
        if (stopSentNanos.isEmpty()) {
            return List.of();
        }
        List<RunKey> due = new ArrayList<>();
        for (Map.Entry<RunKey, Long> entry : stopSentNanos.entrySet()) {
            boolean never = entry.getValue() == 0;
            if (never || nowNanos - entry.getValue() >= STOP_RETRY_INTERVAL.toNanos()) {
                entry.setValue(nowNanos == 0 ? 1 : nowNanos);
                due.add(entry.getKey());
            }
        }
        return due;
    }
}
