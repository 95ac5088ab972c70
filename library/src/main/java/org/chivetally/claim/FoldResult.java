package org.chivetally.claim;

import java.time.Duration;

/** What a record changed in the table. */
sealed interface FoldResult {
    /** The record claimed a key. */
    record Won(Claim claim) implements FoldResult {}

    /** The record made another process the coordinator of a job. */
    record TakenOver(Claim claim, Coordinator previous) implements FoldResult {}

    /** The record freed a key, or left its job to nobody. */
    record Released(Claim claim) implements FoldResult {}

    /** The record marked a job as finished. */
    record Finished(Claim claim) implements FoldResult {}

    /** A process renewed its lease. */
    record Renewed(Coordinator coordinator, Duration lease, long sequence) implements FoldResult {}

    /** A process gave its lease up. */
    record Departed(Coordinator coordinator) implements FoldResult {}

    /** The record came second, was a repeat, or concerned a claim that is not in force. */
    record Unchanged() implements FoldResult {}
}
