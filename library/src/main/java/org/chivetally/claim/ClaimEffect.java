package org.chivetally.claim;

import java.util.concurrent.CompletableFuture;
import org.chivetally.logging.EventLine;

/** What a {@link ClaimStateMachine} wants done. */
sealed interface ClaimEffect {
    /** Answer a claim or takeover, which waited for this long. */
    record Decide(CompletableFuture<ClaimDecision> reply, ClaimDecision decision, long waitedNanos)
            implements ClaimEffect {}

    /** Tell whoever listens that the lease was gained or lost. */
    record NotifyLeaseChanged(boolean held) implements ClaimEffect {}

    /** Tell whoever listens until when, by the clock, the lease is held. */
    record NotifyLeaseExtended(long untilNanos) implements ClaimEffect {}

    /** Tell whoever listens that another process coordinates a job of this one now. */
    record NotifyReplaced(Claim successor) implements ClaimEffect {}

    /** The departure is written, or given up on. */
    record ConfirmDeparture() implements ClaimEffect {}

    /** Count a record that could not be read. */
    record CountSkipped() implements ClaimEffect {}

    /** Write one line. */
    record WriteLine(EventLine line) implements ClaimEffect {}
}
