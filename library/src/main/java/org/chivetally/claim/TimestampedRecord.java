package org.chivetally.claim;

import java.util.Objects;

/**
 * A record with the time at which its writer composed it.
 *
 * @param streamMillis the stream's time by the writer's estimate, in milliseconds; see {@link StreamTime}
 */
record TimestampedRecord(ClaimRecord content, long streamMillis) {
    TimestampedRecord {
        Objects.requireNonNull(content, "content");
        if (streamMillis < 0) {
            throw new IllegalArgumentException("the stream's time begins at 0");
        }
    }
}
