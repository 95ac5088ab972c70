package org.chivetally.claim;

import java.util.Objects;

/**
 * Header of each chunk of a snapshot.
 *
 * @param snapshot id of the snapshot
 * @param part index of the chunk, from 0
 * @param parts number of chunks of the snapshot
 * @param covers offset of the first record of the claims stream that is not in the snapshot
 * @param streamMillis the stream time at that offset, in milliseconds
 */
record SnapshotHeader(String snapshot, int part, int parts, long covers, long streamMillis) {
    SnapshotHeader {
        Objects.requireNonNull(snapshot, "snapshot");
        if (part < 0 || part >= parts || covers < 0 || streamMillis < 0) {
            throw new IllegalArgumentException("part, covers or streamMillis is out of range");
        }
    }

    /** Returns whether this is the last chunk of its snapshot. */
    boolean isLast() {
        return part == parts - 1;
    }
}
