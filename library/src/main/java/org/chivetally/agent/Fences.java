package org.chivetally.agent;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Fencing tokens of jobs: the lowest generation and the oldest ticket with which a start is admitted.
 *
 * <p>They guard against two faults. A superseded coordinator may still send starts; its generation is too low. And a
 * start may be delayed in a stalled connection until after an inquiry over another connection was answered without the
 * task, so that the coordinator may have started it elsewhere; its ticket is older than the inquiry. The answer to an
 * inquiry is therefore final for every start that was sent before it.
 */
final class Fences {
    private static final Fence NONE = new Fence(0, 0, 0);

    private final Map<String, Fence> fences = new LinkedHashMap<>();

    /** Returns the lowest generation of a job whose starts are admitted. */
    int generation(String jobId) {
        return fences.getOrDefault(jobId, NONE).generation();
    }

    /**
     * Returns whether a ticket, by its position in the order of issue, was issued after the last inquiry about a job.
     */
    boolean admitsTicket(String jobId, long position) {
        return position > fences.getOrDefault(jobId, NONE).ticketPosition();
    }

    /** Raises the lowest admitted generation and ticket position of a job; neither is ever lowered. */
    void raise(String jobId, int generation, long ticketPosition, long nowNanos) {
        Fence before = fences.getOrDefault(jobId, NONE);
        int raisedGeneration = Math.max(before.generation(), generation);
        long raisedPosition = Math.max(before.ticketPosition(), ticketPosition);
        fences.remove(jobId);
        fences.put(jobId, new Fence(raisedGeneration, raisedPosition, nowNanos));
    }

    /** Removes the fences that were last raised longer ago than the retention. */
    void removeExpired(long nowNanos, long retentionNanos) {
        Iterator<Fence> oldestFirst = fences.values().iterator();
        while (oldestFirst.hasNext() && nowNanos - oldestFirst.next().raisedNanos() >= retentionNanos) {
            oldestFirst.remove();
        }
    }

    private record Fence(int generation, long ticketPosition, long raisedNanos) {}
}
