package org.chivetally.claim;

import java.time.Duration;

/** The change that a record made to the {@link ClaimTable}. */
sealed interface FoldResult {
    /** The record claimed a key. */
    record Won(Claim claim) implements FoldResult {}

    /** The record made another process the coordinator of a job. */
    record TakenOver(Claim claim, Coordinator previous) implements FoldResult {}

    /** The record released a claim: it freed the key, or left the claim to {@link Coordinator#NONE}. */
    record Released(Claim claim) implements FoldResult {}

    /** The record marked a job as finished. */
    record Finished(Claim claim) implements FoldResult {}

    /**
     * A process renewed its lease.
     *
     * @param sequence sequence number of the renewal among its writer's records
     */
    record Renewed(Coordinator coordinator, Duration lease, long sequence) implements FoldResult {}

    /** A process ended its lease. */
    record Departed(Coordinator coordinator) implements FoldResult {}

    /** The record lost to an earlier one, was a duplicate, or concerned a claim that is not in force. */
    record Unchanged() implements FoldResult {}
}
