package org.chivetally.claim;

import java.util.concurrent.CompletableFuture;
import org.chivetally.logging.EventLine;

/** Side effects that {@link ClaimStateMachine} requests from its actor. */
sealed interface ClaimEffect {
    /**
     * Completes a claim or takeover with its decision.
     *
     * @param waitedNanos time since the caller's request, in nanoseconds
     */
    record Decide(CompletableFuture<ClaimDecision> reply, ClaimDecision decision, long waitedNanos)
            implements ClaimEffect {}

    /** Notifies the listeners that the lease was gained or lost. */
    record NotifyLeaseChanged(boolean held) implements ClaimEffect {}

    /**
     * Notifies the listeners of the lease's new end.
     *
     * @param untilNanos monotonic clock reading at which the lease ends, in nanoseconds
     */
    record NotifyLeaseExtended(long untilNanos) implements ClaimEffect {}

    /** Notifies the listeners that another process has taken over a job of this one. */
    record NotifyReplaced(Claim successor) implements ClaimEffect {}

    /** Completes the pending departures: the departure record was read back, or timed out. */
    record ConfirmDeparture() implements ClaimEffect {}

    /** Counts a record that could not be decoded. */
    record CountSkipped() implements ClaimEffect {}

    /** Logs one event line. */
    record WriteLine(EventLine line) implements ClaimEffect {}
}
