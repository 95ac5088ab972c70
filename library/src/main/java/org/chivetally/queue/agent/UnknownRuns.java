package org.chivetally.queue.agent;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivetally.queue.RunKey;

/**
 * Runs that the minion lists and the agent doesn't know. They were started by the agent's predecessor, or by a start
 * that was sent to an earlier incarnation with the same id and executed by this one. Their resources are unknown, so
 * nothing is started beside them.
 */
final class UnknownRuns {
    /** Interval at which a stop is sent again while its run is still listed. */
    static final Duration STOP_RETRY_INTERVAL = Duration.ofMillis(100);

    /** Time of the last stop by run, on the monotonic clock in nanoseconds; 0 if none was sent. */
    private final Map<RunKey, Long> stopSentNanos = new HashMap<>();

    boolean isEmpty() {
        return stopSentNanos.isEmpty();
    }

    void clear() {
        stopSentNanos.clear();
    }

    /** Replaces the unknown runs with those that are listed now. */
    void update(Collection<RunKey> unknown) {
        if (unknown.isEmpty() && stopSentNanos.isEmpty()) {
            return;
        }
        stopSentNanos.keySet().retainAll(unknown);
        for (RunKey run : unknown) {
            stopSentNanos.putIfAbsent(run, 0L);
        }
    }

    /** Returns the runs for which a stop is due, and records that it is sent. */
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
