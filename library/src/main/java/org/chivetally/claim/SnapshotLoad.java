package org.chivetally.claim;

/** What the snapshot stream holds. */
sealed interface SnapshotLoad {
    /** A whole, valid snapshot. */
    record Found(TableImage image) implements SnapshotLoad {}

    /** No whole, valid snapshot. */
    record None() implements SnapshotLoad {}

    /** The log can't be reached. */
    record Unavailable(String reason) implements SnapshotLoad {}
}
