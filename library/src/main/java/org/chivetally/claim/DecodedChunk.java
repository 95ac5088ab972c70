package org.chivetally.claim;

/** Result of decoding a record of the snapshot stream. */
sealed interface DecodedChunk {
    /** A valid chunk. */
    record Valid(SnapshotChunk chunk) implements DecodedChunk {}

    /** An undamaged chunk of a format version that this version of the program can't read. */
    record UnsupportedFormat(int format) implements DecodedChunk {}

    /** A truncated or corrupted chunk, or a record that is not a chunk. */
    record Damaged() implements DecodedChunk {}
}
