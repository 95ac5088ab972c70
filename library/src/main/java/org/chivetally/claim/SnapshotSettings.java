package org.chivetally.claim;

import java.time.Duration;

/**
 * When snapshots are written, and in which chunks.
 *
 * @param interval maximum time between two snapshots
 * @param records maximum number of records between two snapshots
 * @param chunkInterval pause between two chunks, so that they leave most of the append rate to claims
 * @param chunkBytes maximum size of one chunk in bytes
 */
public record SnapshotSettings(Duration interval, long records, Duration chunkInterval, int chunkBytes) {
    /** Upper limit of {@link #chunkBytes}. */
    public static final int MAXIMUM_CHUNK_BYTES = 512 * 1024;

    private static final long DEFAULT_RECORDS = 200_000;
    private static final int MINIMUM_CHUNK_BYTES = 16 * 1024;

    /** Rejects durations and sizes out of range. */
    public SnapshotSettings {
        if (!interval.isPositive() || !chunkInterval.isPositive() || records < 1) {
            throw new IllegalArgumentException("intervals and record count of snapshots must be positive");
        }
        if (chunkBytes < MINIMUM_CHUNK_BYTES || chunkBytes > MAXIMUM_CHUNK_BYTES) {
            throw new IllegalArgumentException(
                    "chunkBytes must be " + MINIMUM_CHUNK_BYTES + " to " + MAXIMUM_CHUNK_BYTES);
        }
    }

    /** Returns the default settings with an interval. */
    public static SnapshotSettings every(Duration interval) {
        return new SnapshotSettings(interval, DEFAULT_RECORDS, Duration.ofMillis(250), MAXIMUM_CHUNK_BYTES);
    }
}
