package org.chivetally.entry;

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

/** Claims of a process that can't reach the log. */
class NoLog implements Claims {
    private final long readAt = System.nanoTime();

    @Override
    public CompletionStage<ClaimDecision> claim(SubmissionKey key, String bodyDigest, JobId job) {
        return CompletableFuture.completedStage(new ClaimDecision.LogUnavailable("the log is down"));
    }

    @Override
    public CompletionStage<ClaimDecision> takeOver(Claim current) {
        return CompletableFuture.completedStage(new ClaimDecision.LogUnavailable("the log is down"));
    }

    @Override
    public CompletionStage<Optional<Claim>> find(JobId job) {
        return CompletableFuture.completedStage(Optional.empty());
    }

    @Override
    public CompletionStage<Optional<Claim>> find(SubmissionKey key) {
        return CompletableFuture.completedStage(Optional.empty());
    }

    @Override
    public void markFinished(Claim claim) {}

    @Override
    public boolean holdsLease() {
        return false;
    }

    @Override
    public boolean hasLapsed(Coordinator coordinator) {
        return false;
    }

    @Override
    public boolean caughtUp() {
        return true;
    }

    @Override
    public OptionalLong readToEndAt() {
        return OptionalLong.of(readAt);
    }

    @Override
    public CompletionStage<Void> depart() {
        return CompletableFuture.completedStage(null);
    }
}
