package org.chivetally.queue.share;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Jobs that were refused a short time ago, so that a caller that comes back as told is known. Bounded in number. */
public final class RecentlyRefusedJobs {
    /** Time in which a caller that comes back is known: the longest Retry-After and as much again. */
    static final Duration RETENTION = Duration.ofSeconds(60);

    /** Jobs that are known at most; at 600 refusals a second those of the last 7 s, and a few hundred kilobytes. */
    static final int MAXIMUM_JOBS = 4_096;

    private final Map<String, Long> refusedAtNanos = new LinkedHashMap<>();

    /** Notes that a job was refused. */
    public void add(String jobId, long nowNanos) {
        refusedAtNanos.remove(jobId);
        refusedAtNanos.put(jobId, nowNanos);
        Iterator<Long> oldest = refusedAtNanos.values().iterator();
        while (oldest.hasNext()
                && (nowNanos - oldest.next() > RETENTION.toNanos() || refusedAtNanos.size() > MAXIMUM_JOBS)) {
            oldest.remove();
        }
    }

    /** Tells whether a job was refused lately. */
    public boolean contains(String jobId, long nowNanos) {
        Long atNanos = refusedAtNanos.get(jobId);
        return atNanos != null && nowNanos - atNanos <= RETENTION.toNanos();
    }
}
