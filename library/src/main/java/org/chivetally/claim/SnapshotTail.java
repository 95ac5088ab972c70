package org.chivetally.claim;

import java.util.Objects;
import java.util.Optional;

/**
 * The end of the snapshot stream.
 *
 * @param endOffset offset of the next record that will be written
 * @param newest header of the last record, if that is a valid chunk
 */
record SnapshotTail(long endOffset, Optional<SnapshotHeader> newest) {
    SnapshotTail {
        Objects.requireNonNull(newest, "newest");
    }
}
