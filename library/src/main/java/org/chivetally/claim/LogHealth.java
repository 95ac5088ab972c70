package org.chivetally.claim;

import org.chivetally.log.AppendOutcome;

/** Whether the log is known to be down: the last read or append failed, and none has succeeded since. */
final class LogHealth {
    private static final int OUTAGE_FAILURES = 2;

    private boolean readFailing;
    private int appendFailures;

    /** Learns that a read was answered. */
    void readSucceeded() {
        readFailing = false;
    }

    /** Learns that a read failed; returns whether the one before had not. */
    boolean readFailed() {
        boolean isNew = !readFailing;
        readFailing = true;
        return isNew;
    }

    /** Learns that records of this process were appended. */
    void appendSucceeded() {
        appendFailures = 0;
    }

    /** Learns the outcome of an append. */
    void appended(AppendOutcome outcome) {
        switch (outcome) {
            case AppendOutcome.Appended ignored -> appendSucceeded();
            case AppendOutcome.Refused ignored -> appendFailures = OUTAGE_FAILURES;
            // One lost answer may be just that: the records are looked for before claims are refused.
            case AppendOutcome.Unknown ignored -> appendFailures++;
        }
    }

    /** Tells whether reads succeed. */
    boolean isReadable() {
        return !readFailing;
    }

    /** Tells whether the log is known to be down. */
    boolean isDown() {
        return readFailing || appendFailures >= OUTAGE_FAILURES;
    }
}
