package org.chivetally.queue.share;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Jobs that were refused recently, to recognize their retries. Their number is limited. */
public final class RecentlyRefusedJobs {
    /**
     * Time for which a refused job is remembered: twice the 30 s to which retry delays are limited before the part that
     * depends on the job.
     */
    static final Duration RETENTION = Duration.ofSeconds(60);

    /**
     * Greatest number of jobs. At 600 refusals per second these are the refusals of the last 7 s, and they take a few
     * hundred kilobytes.
     */
    static final int MAXIMUM_JOBS = 4_096;

    private final Map<String, Long> refusedAtNanos = new LinkedHashMap<>();

    /**
     * Adds a job that was refused.
     *
     * @param nowNanos the time, by the monotonic clock
     */
    public void add(String jobId, long nowNanos) {
        refusedAtNanos.remove(jobId);
        refusedAtNanos.put(jobId, nowNanos);
        Iterator<Long> oldest = refusedAtNanos.values().iterator();
        while (oldest.hasNext()
                && (nowNanos - oldest.next() > RETENTION.toNanos() || refusedAtNanos.size() > MAXIMUM_JOBS)) {
            oldest.remove();
        }
    }

    /**
     * Tells whether a job was refused recently.
     *
     * @param nowNanos the time, by the monotonic clock
     */
    public boolean contains(String jobId, long nowNanos) {
        Long atNanos = refusedAtNanos.get(jobId);
        return atNanos != null && nowNanos - atNanos <= RETENTION.toNanos();
    }
}
