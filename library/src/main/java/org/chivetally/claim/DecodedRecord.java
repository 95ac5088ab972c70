package org.chivetally.claim;

/** Result of decoding a record of the claims stream. */
sealed interface DecodedRecord {
    /** A record that this version of the program can read. */
    record Valid(TimestampedRecord timestamped) implements DecodedRecord {}

    /** A malformed record, or one of an unknown type or format version. All readers of this version ignore it. */
    record Skipped(String reason) implements DecodedRecord {}
}
