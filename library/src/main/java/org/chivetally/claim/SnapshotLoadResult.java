package org.chivetally.claim;

/** Result of searching the snapshot stream. */
sealed interface SnapshotLoadResult {
    /** The newest complete, valid snapshot. */
    record Found(TableImage image) implements SnapshotLoadResult {}

    /** The stream contains no complete, valid snapshot. */
    record None() implements SnapshotLoadResult {}

    /** The log is unavailable. */
    record Unavailable(String reason) implements SnapshotLoadResult {}
}
