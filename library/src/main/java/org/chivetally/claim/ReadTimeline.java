package org.chivetally.claim;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * When the stream was known to end where; tells how old a record can be at most, by this process's clock alone.
 *
 * <p>A record that stands behind the end which a read saw was written after that read was sent. Neither the wall clock
 * of its writer nor the time at which it was read here bounds its age from above: the one may be wrong, and the other
 * is late when this process was cut off. Of records that stood there before this process first read, nothing is known.
 */
final class ReadTimeline {
    private static final long MINIMUM_SPACING_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** Reaches back more than an hour, longer than any agent remembers. */
    private static final int MAXIMUM_ENTRIES = 4_096;

    private final TreeMap<Long, Long> sentNanosByEnd = new TreeMap<>();

    /** Learns that the stream ended at an offset when the clock was at {@code sentNanos} at the earliest. */
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

    /** Returns a reading of the clock after which the record at an offset was written; empty when none is known. */
    OptionalLong writtenAfter(long offset) {
        Map.Entry<Long, Long> before = sentNanosByEnd.floorEntry(offset);
        return before == null ? OptionalLong.empty() : OptionalLong.of(before.getValue());
    }
}
