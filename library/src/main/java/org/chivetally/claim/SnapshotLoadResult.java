package org.chivetally.claim;

/** What the snapshot stream holds. */
sealed interface SnapshotLoadResult {
    /** A whole, valid snapshot. */
    record Found(TableImage image) implements SnapshotLoadResult {}

    /** No whole, valid snapshot. */
    record None() implements SnapshotLoadResult {}

    /** The log can't be reached. */
    record Unavailable(String reason) implements SnapshotLoadResult {}
}
