package org.chivetally.claim;

/** What the bytes of a record turned out to be. */
sealed interface DecodedRecord {
    /** A record that this version understands. */
    record Valid(TimestampedRecord entry) implements DecodedRecord {}

    /** A record of an unknown type or format version, or a damaged one; every reader of this version passes over it. */
    record Skipped(String reason) implements DecodedRecord {}
}
