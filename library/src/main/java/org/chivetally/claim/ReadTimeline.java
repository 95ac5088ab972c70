package org.chivetally.claim;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Records where the stream ended at which time, to bound the age of a record by this process's clock alone.
 *
 * <p>A record at or after the end offset returned by a read was written after that read was sent. Neither its writer's
 * wall clock nor the time at which this process read the record gives an upper bound of its age: the former may be
 * wrong, and the latter is too late if this process was disconnected. The age of records from before the first read is
 * unknown.
 */
final class ReadTimeline {
    private static final long MINIMUM_SPACING_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** At one entry per second this covers more than an hour, longer than any agent keeps its state. */
    private static final int MAXIMUM_ENTRIES = 4_096;

    private final TreeMap<Long, Long> sentNanosByEnd = new TreeMap<>();

    /**
     * Records the end of the stream as returned by a read.
     *
     * @param endOffset offset of the next record that will be written
     * @param sentNanos monotonic clock reading when the read was sent, in nanoseconds
     */
    void recordEnd(long endOffset, long sentNanos) {
        Map.Entry<Long, Long> newest = sentNanosByEnd.lastEntry();
        boolean older = newest != null && (endOffset < newest.getKey() || sentNanos - newest.getValue() <= 0);
        if (older) {
            return;
        }
        boolean tooSoon =
                newest != null && newest.getKey() != endOffset && sentNanos - newest.getValue() < MINIMUM_SPACING_NANOS;
        if (tooSoon) {
            return;
        }
        sentNanosByEnd.put(endOffset, sentNanos);
        if (sentNanosByEnd.size() > MAXIMUM_ENTRIES) {
            sentNanosByEnd.pollFirstEntry();
        }
    }

    /**
     * Returns a monotonic clock reading, in nanoseconds, after which the record at an offset was written; empty if none
     * is known.
     */
    OptionalLong writtenAfter(long offset) {
        Map.Entry<Long, Long> preceding = sentNanosByEnd.floorEntry(offset);
        return preceding == null ? OptionalLong.empty() : OptionalLong.of(preceding.getValue());
    }
}
