package org.chivetally.queue.share;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Jobs that were refused a short time ago, so that a caller that comes back as told is known. Bounded in number. */
public final class RefusedLately {
    /** Time in which a caller that comes back is known: the longest Retry-After and as much again. */
    static final Duration KNOWN = Duration.ofSeconds(60);

    /** Jobs that are known at most; at 600 refusals a second those of the last 7 s, and a few hundred kilobytes. */
    static final int MOST = 4_096;

    private final Map<String, Long> atNanos = new LinkedHashMap<>();

    /** Notes that a job was refused. */
    public void refused(String jobId, long nowNanos) {
        atNanos.remove(jobId);
        atNanos.put(jobId, nowNanos);
        Iterator<Long> oldest = atNanos.values().iterator();
        while (oldest.hasNext() && (nowNanos - oldest.next() > KNOWN.toNanos() || atNanos.size() > MOST)) {
            oldest.remove();
        }
    }

    /** Tells whether a job was refused lately. */
    public boolean contains(String jobId, long nowNanos) {
        Long refusedAtNanos = atNanos.get(jobId);
        return refusedAtNanos != null && nowNanos - refusedAtNanos <= KNOWN.toNanos();
    }
}
