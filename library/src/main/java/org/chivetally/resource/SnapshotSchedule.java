package org.chivetally.resource;

import java.time.Duration;

/**
 * Decides when this process writes a snapshot into the log.
 *
 * <p>Any process that has read the log's end may. Each looks first whether another wrote one lately; two that look at
 * the same time write two, which does no harm. A snapshot is replaced by age as well as by records after it, since it
 * expires like any record: a configuration that nobody changes would otherwise be gone after the log's keeping time.
 */
final class SnapshotSchedule {
    private final long every;
    private final long records;
    private long newestVersion = -1;
    private long newestAtNanos;

    SnapshotSchedule(Duration every, long records) {
        this.every = every.toNanos();
        this.records = records;
    }

    /**
     * Takes note of a whole snapshot in the log.
     *
     * @param age estimate from its wall-clock time; a wrong clock leads to a snapshot too many or to one later by at
     *     most {@code every}
     */
    void seen(long version, Duration age, long now) {
        long writtenAt = now - Math.clamp(age.toNanos(), 0, every);
        if (newestVersion < 0 || version >= newestVersion) {
            newestVersion = version;
            newestAtNanos = writtenAt;
        }
    }

    boolean isDue(long tableVersion, long now) {
        if (tableVersion == 0 || tableVersion < newestVersion) {
            return false;
        }
        if (newestVersion < 0) {
            return true;
        }
        return now - newestAtNanos >= every || tableVersion - newestVersion >= records;
    }
}
