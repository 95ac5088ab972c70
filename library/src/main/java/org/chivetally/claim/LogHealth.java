package org.chivetally.claim;

import org.chivetally.log.AppendOutcome;

/**
 * Tracks whether the log is available. It counts as down when the last read failed, or when an append was refused or
 * {@value #OUTAGE_FAILURES} appends in succession had unknown outcomes.
 */
final class LogHealth {
    private static final int OUTAGE_FAILURES = 2;

    private boolean readFailing;
    private int appendFailures;

    /** Records that a read was answered. */
    void readSucceeded() {
        readFailing = false;
    }

    /** Records that a read failed; returns whether the previous one had succeeded. */
    boolean readFailed() {
        boolean isNew = !readFailing;
        readFailing = true;
        return isNew;
    }

    /** Records that an append of this process was successful. */
    void appendSucceeded() {
        appendFailures = 0;
    }

    /** Records the outcome of an append. */
    void appended(AppendOutcome outcome) {
        switch (outcome) {
            case AppendOutcome.Appended ignored -> appendSucceeded();
            case AppendOutcome.Refused ignored -> appendFailures = OUTAGE_FAILURES;
            // A single lost answer is no outage: the stream is read for the records before claims are refused.
            case AppendOutcome.Unknown ignored -> appendFailures++;
        }
    }

    /** Returns whether the last read succeeded. */
    boolean isReadable() {
        return !readFailing;
    }

    /** Returns whether the log counts as down. */
    boolean isDown() {
        return readFailing || appendFailures >= OUTAGE_FAILURES;
    }
}
