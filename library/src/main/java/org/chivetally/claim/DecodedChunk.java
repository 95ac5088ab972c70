package org.chivetally.claim;

/** What a record of the snapshot stream turned out to be. */
sealed interface DecodedChunk {
    /** A valid chunk. */
    record Valid(SnapshotChunk chunk) implements DecodedChunk {}

    /** A whole chunk of a format version that this program does not read. */
    record UnsupportedFormat(int format) implements DecodedChunk {}

    /** Cut off, changed, or never a chunk. */
    record Damaged() implements DecodedChunk {}
}
