package org.chivetally.log;

/** What is known about an append. */
public sealed interface AppendOutcome {
    /** The records stand in the stream from this offset on. */
    record Appended(long firstOffset) implements AppendOutcome {}

    /** The log said that it wrote nothing. */
    record Refused(String reason) implements AppendOutcome {}

    /** No answer: the records may stand in the stream now, later or never. */
    record Unknown(String reason) implements AppendOutcome {}
}
