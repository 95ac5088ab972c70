package org.chivetally.claim;

/** What the log decided about a claim or a takeover. */
public sealed interface ClaimDecision {
    /** This process coordinates the job now. */
    record Won(Claim claim) implements ClaimDecision {}

    /** Another claim of the same key and body came first, or another takeover did; it is the one in force. */
    record Attached(Claim claim) implements ClaimDecision {}

    /** The key belongs to a submission with another body. */
    record KeyReused(Claim claim) implements ClaimDecision {}

    /** The log can't be reached; nothing was claimed that this process will act on. */
    record LogUnavailable(String reason) implements ClaimDecision {}
}
