package org.chivetally.claim;

/** Outcome of a claim or a takeover. */
public sealed interface ClaimDecision {
    /** This process is now the coordinator of the job. */
    record Won(Claim claim) implements ClaimDecision {}

    /**
     * Another claim with the same key and body, or another takeover, precedes this one in the log; it is the one in
     * force.
     */
    record Attached(Claim claim) implements ClaimDecision {}

    /** The key is already claimed by a submission with a different body. */
    record KeyReused(Claim claim) implements ClaimDecision {}

    /** The log is unavailable. This process starts nothing for the claim, even if its record is in the log. */
    record LogUnavailable(String reason) implements ClaimDecision {}
}
