package org.chivetally.claim;

import java.util.Objects;

/**
 * A claim record with the stream time at which its writer created it.
 *
 * @param content the record itself
 * @param streamMillis the writer's estimate of the stream time, in milliseconds; see {@link StreamTime}
 */
record TimestampedRecord(ClaimRecord content, long streamMillis) {
    TimestampedRecord {
        Objects.requireNonNull(content, "content");
        if (streamMillis < 0) {
            throw new IllegalArgumentException("streamMillis must not be negative");
        }
    }
}
