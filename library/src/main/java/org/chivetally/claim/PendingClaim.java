package org.chivetally.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.chivetally.job.ServicePolicy.ClaimMode;

/** A claim or takeover whose caller waits for the decision. */
final class PendingClaim {
    private final ClaimRecord content;
    private final ClaimMode mode;
    private final CompletableFuture<ClaimDecision> reply;
    private final long requestedNanos;
    private final List<CompletableFuture<ClaimDecision>> followers = new ArrayList<>();
    private long sequence;

    /**
     * Creates a pending claim that has not been sent yet.
     *
     * @param requestedNanos monotonic clock reading of the caller's request, in nanoseconds
     */
    PendingClaim(ClaimRecord content, ClaimMode mode, CompletableFuture<ClaimDecision> reply, long requestedNanos) {
        this.content = content;
        this.mode = mode;
        this.reply = reply;
        this.requestedNanos = requestedNanos;
    }

    /** Returns the record whose position in the log decides. */
    ClaimRecord content() {
        return content;
    }

    /** Returns whether this is the claim of a submission, not a takeover. */
    boolean isSubmission() {
        return content instanceof ClaimRecord.Claimed;
    }

    /** Returns the claim to decide in memory instead, if its service allows that. */
    Optional<ClaimRecord.Claimed> memoryFallback() {
        boolean allowed = mode == ClaimMode.MEMORY;
        return allowed && content instanceof ClaimRecord.Claimed claimed ? Optional.of(claimed) : Optional.empty();
    }

    /** Returns the future that receives the decision. */
    CompletableFuture<ClaimDecision> reply() {
        return reply;
    }

    /** Adds a caller with an equal request; of all callers at most one may be answered that it has won. */
    void addFollower(CompletableFuture<ClaimDecision> other) {
        followers.add(other);
    }

    /** Returns the futures of the callers other than the first one. */
    List<CompletableFuture<ClaimDecision>> followers() {
        return followers;
    }

    /** Returns the monotonic clock reading of the caller's request, in nanoseconds. */
    long requestedNanos() {
        return requestedNanos;
    }

    /** Returns whether the record was sent, so that it may be in the stream. */
    boolean wasSent() {
        return sequence > 0;
    }

    /** Returns the record's sequence number, 0 before it is sent. */
    long sequence() {
        return sequence;
    }

    /** Records the sequence number with which the record is sent. */
    void markSent(long newSequence) {
        this.sequence = newSequence;
    }

    /** Resets the sequence number, because the record will be sent again as a new one. */
    void resetForResend() {
        this.sequence = 0;
    }

    /** Returns the claimed key. */
    SubmissionKey key() {
        return switch (content) {
            case ClaimRecord.Claimed claimed -> claimed.key();
            case ClaimRecord.TakenOver taken -> taken.key();
            default -> throw new IllegalStateException("only claims and takeovers can be pending");
        };
    }

    /** Returns the digest of the submission's content; a takeover has none. */
    Optional<String> bodyDigest() {
        return content instanceof ClaimRecord.Claimed claimed ? Optional.of(claimed.bodyDigest()) : Optional.empty();
    }
}
