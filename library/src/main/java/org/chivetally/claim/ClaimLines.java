package org.chivetally.claim;

import java.util.Optional;
import org.chivetally.job.JobId;
import org.chivetally.log.AppendOutcome;
import org.chivetally.logging.EventLine;

/** Log lines about claims. */
final class ClaimLines {
    private ClaimLines() {}

    /** Begins a line about a job's claim. */
    static EventLine of(String event, SubmissionKey key, JobId job) {
        return EventLine.of(event)
                .with("team", key.team())
                .with("key", key.key())
                .with("job", job);
    }

    /** Returns the line of a decision. */
    static EventLine of(SubmissionKey key, ClaimDecision decision) {
        return switch (decision) {
            case ClaimDecision.Won won -> of("claim-won", won.claim());
            case ClaimDecision.Attached attached -> of("claim-attached", attached.claim());
            case ClaimDecision.KeyReused reused -> of("claim-key-reused", reused.claim());
            case ClaimDecision.LogUnavailable unavailable ->
                EventLine.of("claim-refused")
                        .with("team", key.team())
                        .with("key", key.key())
                        .with("reason", unavailable.reason());
        };
    }

    /** Returns the line of an append that failed, or whose outcome is in doubt. */
    static Optional<EventLine> of(AppendOutcome outcome) {
        return switch (outcome) {
            case AppendOutcome.Appended ignored -> Optional.empty();
            case AppendOutcome.Refused refused -> Optional.of(failure("refused", refused.reason()));
            case AppendOutcome.Unknown unknown -> Optional.of(failure("unknown", unknown.reason()));
        };
    }

    /** Begins a line about a claim and its coordinator. */
    static EventLine of(String event, Claim claim) {
        return of(event, claim.key(), claim.job())
                .with("coordinator", claim.coordinator().processId())
                .with("generation", claim.generation());
    }

    private static EventLine failure(String outcome, String reason) {
        return EventLine.of("claims-append-failed").with("outcome", outcome).with("reason", reason);
    }
}
