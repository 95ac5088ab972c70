package org.chivetally.agent;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * For each job asked about, what its starts must at least have.
 *
 * <p>Two faults end here. A coordinator that was taken over from may still send starts: its generation is under the
 * job's floor. And a start may overtake nothing but its own silent connection: it arrives after an inquiry of the same
 * generation answered "not known here", so the coordinator may have started the task elsewhere. Its ticket is older
 * than the inquiry, so it is refused as well. An inquiry's answer is thereby final for every start sent before it.
 */
final class Fences {
    private static final Fence NONE = new Fence(0, 0, 0);

    private final Map<String, Fence> fences = new LinkedHashMap<>();

    /** Returns the lowest generation of a job whose starts are admitted. */
    int generation(String jobId) {
        return fences.getOrDefault(jobId, NONE).generation();
    }

    /** Tells whether a ticket of this place was issued after the last inquiry about the job. */
    boolean admitsTicket(String jobId, long position) {
        return position > fences.getOrDefault(jobId, NONE).ticketPosition();
    }

    /** Raises the floors of a job; they never sink. */
    void raise(String jobId, int generation, long ticketPosition, long nowNanos) {
        Fence before = fences.getOrDefault(jobId, NONE);
        int higher = Math.max(before.generation(), generation);
        long later = Math.max(before.ticketPosition(), ticketPosition);
        fences.remove(jobId);
        fences.put(jobId, new Fence(higher, later, nowNanos));
    }

    /** Forgets what was raised longer ago than the retention. */
    void removeExpired(long nowNanos, long retentionNanos) {
        Iterator<Fence> oldestFirst = fences.values().iterator();
        while (oldestFirst.hasNext() && nowNanos - oldestFirst.next().raisedNanos() >= retentionNanos) {
            oldestFirst.remove();
        }
    }

    private record Fence(int generation, long ticketPosition, long raisedNanos) {}
}
