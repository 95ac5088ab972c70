package org.chivetally.entry.submission;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.chivetally.claim.Claim;
import org.chivetally.claim.ClaimDecision;
import org.chivetally.claim.Claims;
import org.chivetally.claim.Coordinator;
import org.chivetally.claim.SubmissionKey;
import org.chivetally.job.JobId;

/** Claims of a process that can't reach the log now, and of what it read before. */
final class UnavailableClaims implements Claims {
    ClaimDecision decision = new ClaimDecision.LogUnavailable("the log is down");
    Optional<Claim> read = Optional.empty();
    boolean lapsed;
    int takeovers;
    OptionalLong readToEndAt = OptionalLong.of(0);

    @Override
    public CompletionStage<ClaimDecision> claim(SubmissionKey key, String bodyDigest, JobId job) {
        return CompletableFuture.completedStage(decision);
    }

    @Override
    public CompletionStage<ClaimDecision> takeOver(Claim current) {
        takeovers++;
        return CompletableFuture.completedStage(new ClaimDecision.LogUnavailable("the log is down"));
    }

    @Override
    public CompletionStage<Optional<Claim>> find(JobId job) {
        return CompletableFuture.completedStage(read);
    }

    @Override
    public CompletionStage<Optional<Claim>> find(SubmissionKey key) {
        return CompletableFuture.completedStage(read);
    }

    @Override
    public void markFinished(Claim claim) {}

    @Override
    public boolean holdsLease() {
        return false;
    }

    @Override
    public boolean hasLapsed(Coordinator coordinator) {
        return lapsed;
    }

    @Override
    public boolean caughtUp() {
        return readToEndAt.isPresent();
    }

    @Override
    public OptionalLong readToEndAt() {
        return readToEndAt;
    }

    @Override
    public CompletionStage<Void> depart() {
        return CompletableFuture.completedStage(null);
    }
}
