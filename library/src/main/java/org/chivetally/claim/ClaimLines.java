package org.chivetally.claim;

import java.util.Optional;
import org.chivetally.job.JobId;
import org.chivetally.log.AppendOutcome;
import org.chivetally.logging.EventLine;

/** Creates the log event lines about claims. */
final class ClaimLines {
    private ClaimLines() {}

    /** Starts an event line with the team, key and job of a claim. */
    static EventLine of(String event, SubmissionKey key, JobId job) {
        return EventLine.of(event)
                .with("team", key.team())
                .with("key", key.key())
                .with("job", job);
    }

    /** Returns the event line of a claim's decision. */
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

    /** Returns the event line of an append that was refused or whose outcome is unknown; empty for a successful one. */
    static Optional<EventLine> of(AppendOutcome outcome) {
        return switch (outcome) {
            case AppendOutcome.Appended ignored -> Optional.empty();
            case AppendOutcome.Refused refused -> Optional.of(failure("refused", refused.reason()));
            case AppendOutcome.Unknown unknown -> Optional.of(failure("unknown", unknown.reason()));
        };
    }

    /** Starts an event line with a claim's key, job, coordinator and generation. */
    static EventLine of(String event, Claim claim) {
        return of(event, claim.key(), claim.job())
                .with("coordinator", claim.coordinator().processId())
                .with("generation", claim.generation());
    }

    private static EventLine failure(String outcome, String reason) {
        return EventLine.of("claims-append-failed").with("outcome", outcome).with("reason", reason);
    }
}
