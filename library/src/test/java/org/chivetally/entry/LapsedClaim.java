package org.chivetally.entry;

import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.chivetally.claim.Claim;
import org.chivetally.claim.ClaimDecision;
import org.chivetally.claim.Coordinator;
import org.chivetally.claim.SubmissionKey;
import org.chivetally.job.JobId;

/** Claims in which every key belongs to one job of a coordinator that has lapsed. */
final class LapsedClaim extends NoLog {
    private static final Coordinator LAPSED = new Coordinator("entry-9", "1", "127.0.0.1", 1);

    private final Coordinator self;
    private final JobId job;
    private final OptionalLong claimedAfter;

    LapsedClaim(Coordinator self, JobId job) {
        this(self, job, OptionalLong.empty());
    }

    LapsedClaim(Coordinator self, JobId job, OptionalLong claimedAfter) {
        this.self = self;
        this.job = job;
        this.claimedAfter = claimedAfter;
    }

    @Override
    public CompletionStage<OptionalLong> claimedAfter(JobId ignored) {
        return CompletableFuture.completedStage(claimedAfter);
    }

    @Override
    public CompletionStage<ClaimDecision> claim(SubmissionKey key, String bodyDigest, JobId ignored) {
        Claim claim = new Claim(key, bodyDigest, job, LAPSED, 1, false);
        return CompletableFuture.completedStage(new ClaimDecision.Attached(claim));
    }

    @Override
    public CompletionStage<ClaimDecision> takeOver(Claim current) {
        Claim taken = new Claim(current.key(), current.bodyDigest(), current.job(), self, 2, false);
        return CompletableFuture.completedStage(new ClaimDecision.Won(taken));
    }

    @Override
    public boolean hasLapsed(Coordinator coordinator) {
        return coordinator.equals(LAPSED);
    }
}
