package org.chivetally.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.chivetally.job.ServicePolicy.ClaimMode;

/** A claim or takeover whose caller waits. */
final class PendingClaim {
    private final ClaimRecord content;
    private final ClaimMode mode;
    private final CompletableFuture<ClaimDecision> reply;
    private final long requestedNanos;
    private final List<CompletableFuture<ClaimDecision>> followers = new ArrayList<>();
    private long sequence;

    /** Creates one that is not sent yet; {@code startedNanos} is the reading of the clock when the caller asked. */
    PendingClaim(ClaimRecord content, ClaimMode mode, CompletableFuture<ClaimDecision> reply, long startedNanos) {
        this.content = content;
        this.mode = mode;
        this.reply = reply;
        this.requestedNanos = startedNanos;
    }

    /** Returns the record that is to decide. */
    ClaimRecord content() {
        return content;
    }

    /** Tells whether this is the claim of a submission, not a takeover. */
    boolean isSubmission() {
        return content instanceof ClaimRecord.Claimed;
    }

    /** Returns the claim that may be made in memory instead, if its service allows that. */
    Optional<ClaimRecord.Claimed> memoryFallback() {
        boolean allowed = mode == ClaimMode.MEMORY;
        return allowed && content instanceof ClaimRecord.Claimed claimed ? Optional.of(claimed) : Optional.empty();
    }

    /** Returns where the decision goes. */
    CompletableFuture<ClaimDecision> reply() {
        return reply;
    }

    /** Lets another caller, who asked for the very same, wait for the decision; at most one of them may win. */
    void addFollower(CompletableFuture<ClaimDecision> other) {
        followers.add(other);
    }

    /** Returns the callers besides the first one. */
    List<CompletableFuture<ClaimDecision>> followers() {
        return followers;
    }

    /** Returns the reading of the clock when the caller asked. */
    long requestedNanos() {
        return requestedNanos;
    }

    /** Tells whether the record may stand in the stream. */
    boolean wasSent() {
        return sequence > 0;
    }

    /** Returns the record's count, zero before it is sent. */
    long sequence() {
        return sequence;
    }

    /** Notes the count with which the record is sent. */
    void markSent(long newSequence) {
        this.sequence = newSequence;
    }

    /** Notes that the record is sent anew, with another count. */
    void resetForResend() {
        this.sequence = 0;
    }

    /** Returns the key. */
    SubmissionKey key() {
        return switch (content) {
            case ClaimRecord.Claimed claimed -> claimed.key();
            case ClaimRecord.TakenOver taken -> taken.key();
            default -> throw new IllegalStateException("nobody waits for this record");
        };
    }

    /** Returns the digest of the submission; a takeover has none. */
    Optional<String> bodyDigest() {
        return content instanceof ClaimRecord.Claimed claimed ? Optional.of(claimed.bodyDigest()) : Optional.empty();
    }
}
