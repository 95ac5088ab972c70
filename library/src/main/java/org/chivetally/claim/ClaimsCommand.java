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
    /** Claim a key. */
    record MakeClaim(ClaimRecord.Claimed claimed, ClaimMode mode, CompletableFuture<ClaimDecision> reply)
            implements ClaimsCommand {}

    /** Take a claim over. */
    record TakeOver(Claim current, CompletableFuture<ClaimDecision> reply) implements ClaimsCommand {}

    /** Look a key up. */
    record FindKey(SubmissionKey key, CompletableFuture<Optional<Claim>> reply) implements ClaimsCommand {}

    /** Look a job up. */
    record FindJob(JobId job, CompletableFuture<Optional<Claim>> reply) implements ClaimsCommand {}

    /** Note a final outcome. */
    record Finish(Claim claim) implements ClaimsCommand {}

    /** Give a claim up. */
    record Release(Claim claim) implements ClaimsCommand {}

    /** Tell after when a job was claimed. */
    record FindClaimedAfter(JobId job, CompletableFuture<OptionalLong> reply) implements ClaimsCommand {}

    /** Give the lease up. */
    record Depart(CompletableFuture<Void> reply) implements ClaimsCommand {}

    /** Tell this listener of changes of the lease. */
    record AddLeaseListener(Consumer<Boolean> listener) implements ClaimsCommand {}

    /** Tell this listener until when the lease is held. */
    record AddLeaseExtendedListener(LongConsumer listener) implements ClaimsCommand {}

    /** Tell this listener of jobs that others took over. */
    record AddReplacedListener(Consumer<Claim> listener) implements ClaimsCommand {}

    /** A read was answered. */
    record ReadAnswered(long number, ReadOutcome outcome) implements ClaimsCommand {}

    /** An append was answered. */
    record AppendAnswered(long number, AppendOutcome outcome) implements ClaimsCommand {}

    /** The newest snapshot was looked for. */
    record SnapshotLoaded(long number, SnapshotLoadResult load) implements ClaimsCommand {}

    /** The end of the snapshot stream was looked at; nothing when the log can't be reached. */
    record SnapshotTailRead(Optional<SnapshotTail> tail) implements ClaimsCommand {}

    /** A snapshot of this process is written, or given up on. */
    record SnapshotDone(long covers, long streamMillis, boolean complete) implements ClaimsCommand {}

    /** Time passed. */
    record Tick() implements ClaimsCommand {}

    /** End the work on the log. */
    record Stop() implements ClaimsCommand {}
}
