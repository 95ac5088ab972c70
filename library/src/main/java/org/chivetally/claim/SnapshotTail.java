package org.chivetally.claim;

import java.util.Objects;
import java.util.Optional;

/**
 * The end of the snapshot stream.
 *
 * @param endOffset offset that its next record will get
 * @param newest header of its last record, if that is a valid chunk
 */
record SnapshotTail(long endOffset, Optional<SnapshotHeader> newest) {
    SnapshotTail {
        Objects.requireNonNull(newest, "newest");
    }
}
