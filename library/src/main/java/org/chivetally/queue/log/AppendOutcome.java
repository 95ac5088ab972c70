package org.chivetally.queue.log;

/** Outcome of an append. */
public sealed interface AppendOutcome {
    /**
     * The records are stored.
     *
     * @param endOffset offset after the last of the records
     */
    record Appended(long endOffset) implements AppendOutcome {}

    /** Nothing was written, because the log knows of a writer with a higher epoch. */
    record Fenced() implements AppendOutcome {}

    /**
     * Nothing was written, because the sequence number doesn't follow the last one.
     *
     * @param expected next sequence number that the log accepts
     */
    record OutOfSequence(long expected) implements AppendOutcome {}

    /**
     * The log rejected the append, and nothing was written.
     *
     * @param reason why the log rejected the append, for log lines
     */
    record Refused(String reason) implements AppendOutcome {}

    /**
     * It is unknown whether the records have been written or still will be.
     *
     * @param reason why the outcome is unknown, for log lines
     */
    record Unknown(String reason) implements AppendOutcome {}
}
