package org.chivetally.claim;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.chivetally.job.JobId;
import org.chivetally.job.ServicePolicy;

/** Claims of submissions, as one process sees them. Stages never complete exceptionally. */
public interface Claims {
    /** Claims a key for a job of this process; completes once the log's order is known or the log is given up on. */
    CompletionStage<ClaimDecision> claim(SubmissionKey key, String bodyDigest, JobId job);

    /**
     * Claims a key for a job of this process, in the way that the job's service declares.
     *
     * <p>With {@link ServicePolicy.ClaimMode#MEMORY} an unavailable log doesn't refuse the claim: this process's memory
     * decides it at once, and the claim is written when the log is back. If another process's claim of the key stands
     * before it then, both jobs go on.
     */
    default CompletionStage<ClaimDecision> claim(
            SubmissionKey key, String bodyDigest, JobId job, ServicePolicy.ClaimMode mode) {
        return claim(key, bodyDigest, job);
    }

    /** Takes a claim over from a coordinator whose lease has lapsed. */
    CompletionStage<ClaimDecision> takeOver(Claim current);

    /** Returns the claim in force for a job, as far as this process has read. */
    CompletionStage<Optional<Claim>> find(JobId job);

    /** Returns the claim in force for a key, as far as this process has read. */
    CompletionStage<Optional<Claim>> find(SubmissionKey key);

    /**
     * Returns a reading of the clock in nanoseconds after which a job was claimed in the log, whoever claimed it. Empty
     * when none is known, as of claims that stood in the log before this process first read it.
     */
    default CompletionStage<OptionalLong> claimedAfter(JobId job) {
        return CompletableFuture.completedFuture(OptionalLong.empty());
    }

    /** Records, with a later append, that a job has its final outcome. */
    void markFinished(Claim claim);

    /**
     * Gives a claim of this process up with a later append; its key can be claimed anew afterwards.
     *
     * <p>Only for a job of which nothing was started, and of which this process will start nothing.
     */
    default void release(Claim claim) {}

    /** Tells whether this process holds its lease, so that it may start tasks. Safe from any thread. */
    boolean holdsLease();

    /** Tells whether another coordinator's lease has lapsed beyond doubt. Safe from any thread. */
    boolean hasLapsed(Coordinator coordinator);

    /** Tells whether this process has read the log to its end at least once. Safe from any thread. */
    boolean caughtUp();

    /**
     * Returns a reading of the clock in nanoseconds: whatever stood in the log then has been read. Empty before the log
     * was first read to its end. Safe from any thread.
     */
    default OptionalLong readToEndAt() {
        return OptionalLong.empty();
    }

    /** Ends this process's lease in the log; completes when that is written or given up on. */
    CompletionStage<Void> depart();

    /** Calls back, from a thread of the claims, whenever this process gains or loses its lease. */
    default void onLeaseChange(Consumer<Boolean> listener) {}

    /**
     * Calls back, from a thread of the claims, when another process took a job of this one over.
     *
     * <p>Calls of this and of {@link #onLeaseExtended} come in the order of the log: a job that was taken over before
     * the lease was renewed is told of before the renewal.
     */
    default void onReplaced(Consumer<Claim> listener) {}

    /**
     * Calls back, from a thread of the claims, with the reading of the clock in nanoseconds until which the lease is
     * held, at once if it is held and then whenever it is renewed. {@link #holdsLease} may turn false earlier.
     */
    default void onLeaseExtended(LongConsumer listener) {}
}
