package org.chivetally.claim;

import java.util.Objects;

/**
 * What each chunk of a snapshot says of itself.
 *
 * @param snapshot id of the snapshot
 * @param part number of the chunk, from zero
 * @param parts how many chunks the snapshot has
 * @param covers offset of the first record of the claims stream that is not in the snapshot
 * @param streamMillis the stream's time at that offset
 */
record SnapshotHeader(String snapshot, int part, int parts, long covers, long streamMillis) {
    SnapshotHeader {
        Objects.requireNonNull(snapshot, "snapshot");
        if (part < 0 || part >= parts || covers < 0 || streamMillis < 0) {
            throw new IllegalArgumentException("numbers of a chunk out of range");
        }
    }

    /** Tells whether this is the chunk that a writer appends last. */
    boolean isLast() {
        return part == parts - 1;
    }
}
