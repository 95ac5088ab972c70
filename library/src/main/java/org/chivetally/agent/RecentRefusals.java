package org.chivetally.agent;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.chivetally.wire.v1.RefusalReason;

/**
 * Recently refused attempts.
 *
 * <p>A refusal guarantees that the attempt does not start on this agent. Without this record a second copy of the start
 * could be admitted if a slot had become free in between. Retaining a refusal for longer than the maximum ticket age is
 * enough, as the ticket of a later copy is stale.
 */
final class RecentRefusals {
    private final Map<String, Refused> refused = new LinkedHashMap<>();

    void add(String attemptId, RefusalReason reason, long nowNanos) {
        refused.put(attemptId, new Refused(reason, nowNanos));
    }

    /** Returns why the attempt was refused; unspecified when no refusal is retained. */
    RefusalReason reason(String attemptId) {
        Refused refusal = refused.get(attemptId);
        return refusal == null ? RefusalReason.REFUSAL_REASON_UNSPECIFIED : refusal.reason();
    }

    void removeExpired(long nowNanos, long retentionNanos) {
        Iterator<Refused> oldestFirst = refused.values().iterator();
        while (oldestFirst.hasNext() && nowNanos - oldestFirst.next().atNanos() > retentionNanos) {
            oldestFirst.remove();
        }
    }

    private record Refused(RefusalReason reason, long atNanos) {}
}
