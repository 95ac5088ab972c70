package org.chivetally.queue.log;

/** What became of an append. */
public sealed interface AppendOutcome {
    /**
     * The records are kept.
     *
     * @param endOffset offset after the last of them
     */
    record Appended(long endOffset) implements AppendOutcome {}

    /** A writer with a higher epoch is known; nothing was written. */
    record Fenced() implements AppendOutcome {}

    /**
     * The sequence doesn't follow the last one; nothing was written.
     *
     * @param expected sequence that would
     */
    record OutOfSequence(long expected) implements AppendOutcome {}

    /**
     * Nothing was written.
     *
     * @param reason why, for logs
     */
    record Refused(String reason) implements AppendOutcome {}

    /**
     * It was or wasn't written, or will be.
     *
     * @param reason why that isn't known, for logs
     */
    record Unknown(String reason) implements AppendOutcome {}
}
