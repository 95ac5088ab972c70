package org.chivetally.entry;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.chivetally.claim.Claim;
import org.chivetally.claim.ClaimDecision;
import org.chivetally.claim.Coordinator;
import org.chivetally.claim.SubmissionKey;
import org.chivetally.job.JobId;

/** Claims that win a job, which another entry takes over when the test says so. */
final class LostClaim extends NoLog {
    private final List<Consumer<Claim>> listeners = new CopyOnWriteArrayList<>();
    private volatile Coordinator self;
    private volatile Coordinator successor;
    private volatile Claim won;

    LostClaim of(Coordinator owner) {
        self = owner;
        return this;
    }

    /** Notes who will take the job over. */
    Coordinator successor(Coordinator other) {
        successor = other;
        return other;
    }

    void replace() {
        Claim taken = new Claim(won.key(), won.bodyDigest(), won.job(), successor, 2, false);
        listeners.forEach(listener -> listener.accept(taken));
    }

    @Override
    public CompletionStage<ClaimDecision> claim(SubmissionKey key, String bodyDigest, JobId job) {
        won = new Claim(key, bodyDigest, job, self, 1, false);
        return CompletableFuture.completedStage(new ClaimDecision.Won(won));
    }

    @Override
    public void onReplaced(Consumer<Claim> listener) {
        listeners.add(listener);
    }
}
