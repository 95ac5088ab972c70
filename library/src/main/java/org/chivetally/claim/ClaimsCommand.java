package org.chivetally.claim;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.chivetally.job.JobId;
import org.chivetally.job.ServicePolicy.ClaimMode;
import org.chivetally.log.AppendOutcome;
import org.chivetally.log.ReadOutcome;

/** Messages of the actor behind {@link LogClaims}. */
sealed interface ClaimsCommand {
    /** Claims a key. */
    record MakeClaim(ClaimRecord.Claimed claimed, ClaimMode mode, CompletableFuture<ClaimDecision> reply)
            implements ClaimsCommand {}

    /** Takes a claim over. */
    record TakeOver(Claim current, CompletableFuture<ClaimDecision> reply) implements ClaimsCommand {}

    /** Returns the claim in force for a key. */
    record FindKey(SubmissionKey key, CompletableFuture<Optional<Claim>> reply) implements ClaimsCommand {}

    /** Returns the claim in force for a job. */
    record FindJob(JobId job, CompletableFuture<Optional<Claim>> reply) implements ClaimsCommand {}

    /** Records that a job has its final outcome. */
    record Finish(Claim claim) implements ClaimsCommand {}

    /** Releases a claim. */
    record Release(Claim claim) implements ClaimsCommand {}

    /** Returns a lower bound of the time at which a job was claimed. */
    record FindClaimedAfter(JobId job, CompletableFuture<OptionalLong> reply) implements ClaimsCommand {}

    /** Ends this process's lease. */
    record Depart(CompletableFuture<Void> reply) implements ClaimsCommand {}

    /** Adds a listener for gain and loss of the lease. */
    record AddLeaseListener(Consumer<Boolean> listener) implements ClaimsCommand {}

    /** Adds a listener for the end of the lease. */
    record AddLeaseExtendedListener(LongConsumer listener) implements ClaimsCommand {}

    /** Adds a listener for jobs that other processes have taken over. */
    record AddReplacedListener(Consumer<Claim> listener) implements ClaimsCommand {}

    /**
     * A read was answered.
     *
     * @param number number of the read, counted by the actor
     */
    record ReadAnswered(long number, ReadOutcome outcome) implements ClaimsCommand {}

    /**
     * An append was answered.
     *
     * @param number number of the append, counted by {@link GroupCommit}
     */
    record AppendAnswered(long number, AppendOutcome outcome) implements ClaimsCommand {}

    /**
     * The search for the newest snapshot has ended.
     *
     * @param number number of the search, counted by {@link SnapshotManager}
     */
    record SnapshotLoaded(long number, SnapshotLoadResult load) implements ClaimsCommand {}

    /** The end of the snapshot stream was read; empty if the log is unavailable. */
    record SnapshotTailRead(Optional<SnapshotTail> tail) implements ClaimsCommand {}

    /**
     * The writer of this process's snapshot has ended.
     *
     * @param covers offset of the first record of the claims stream that is not in the snapshot
     * @param streamMillis the stream time at that offset, in milliseconds
     * @param complete whether all chunks were written
     */
    record SnapshotDone(long covers, long streamMillis, boolean complete) implements ClaimsCommand {}

    /** Periodic timer. */
    record Tick() implements ClaimsCommand {}

    /** Stops reading and appending. */
    record Stop() implements ClaimsCommand {}
}
