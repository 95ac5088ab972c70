package org.chivetally.log;

/** Outcome of an append as far as the client knows it. */
public sealed interface AppendOutcome {
    /** The records are in the stream, beginning at this offset. */
    record Appended(long firstOffset) implements AppendOutcome {}

    /** The log refused the append or it was not sent; nothing was written. */
    record Refused(String reason) implements AppendOutcome {}

    /** The response was lost: the records may already be in the stream, may be written later, or never. */
    record Unknown(String reason) implements AppendOutcome {}
}
