package org.chivetally.agent;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.chivetally.wire.v1.RefusalReason;

/**
 * Attempts refused lately.
 *
 * <p>A refusal says that the attempt never will start here; a second copy of the same start must not break that when a
 * slot became free in between. Remembering it for longer than the longest ticket age is enough: later copies carry a
 * stale ticket.
 */
final class RecentRefusals {
    private final Map<String, Refused> refused = new LinkedHashMap<>();

    void add(String attemptId, RefusalReason reason, long nowNanos) {
        refused.put(attemptId, new Refused(reason, nowNanos));
    }

    /** Returns why the attempt was refused; unspecified when it is not remembered. */
    RefusalReason reason(String attemptId) {
        Refused known = refused.get(attemptId);
        return known == null ? RefusalReason.REFUSAL_REASON_UNSPECIFIED : known.reason();
    }

    void removeExpired(long nowNanos, long retentionNanos) {
        Iterator<Refused> oldestFirst = refused.values().iterator();
        while (oldestFirst.hasNext() && nowNanos - oldestFirst.next().atNanos() > retentionNanos) {
            oldestFirst.remove();
        }
    }

    private record Refused(RefusalReason reason, long atNanos) {}
}
