package org.chivetally.claim;

import java.time.Duration;

/**
 * When snapshots are written, and in which portions.
 *
 * @param interval longest time without a snapshot
 * @param records most records after a snapshot before the next one
 * @param chunkInterval pause between two chunks, so that they leave the append budget to claims
 * @param chunkBytes most bytes of one chunk
 */
public record SnapshotSettings(Duration interval, long records, Duration chunkInterval, int chunkBytes) {
    /** Most bytes that a chunk may have. */
    public static final int MAXIMUM_CHUNK_BYTES = 512 * 1024;

    private static final long DEFAULT_RECORDS = 200_000;
    private static final int MINIMUM_CHUNK_BYTES = 16 * 1024;

    /** Refuses times and sizes out of range. */
    public SnapshotSettings {
        if (!interval.isPositive() || !chunkInterval.isPositive() || records < 1) {
            throw new IllegalArgumentException("intervals of snapshots are positive");
        }
        if (chunkBytes < MINIMUM_CHUNK_BYTES || chunkBytes > MAXIMUM_CHUNK_BYTES) {
            throw new IllegalArgumentException(
                    "a chunk has " + MINIMUM_CHUNK_BYTES + " to " + MAXIMUM_CHUNK_BYTES + " bytes");
        }
    }

    /** Returns the usual settings with an interval. */
    public static SnapshotSettings every(Duration interval) {
        return new SnapshotSettings(interval, DEFAULT_RECORDS, Duration.ofMillis(250), MAXIMUM_CHUNK_BYTES);
    }
}
