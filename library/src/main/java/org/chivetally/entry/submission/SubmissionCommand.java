package org.chivetally.entry.submission;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.chivetally.claim.Claim;
import org.chivetally.claim.ClaimDecision;
import org.chivetally.claim.SubmissionKey;
import org.chivetally.job.JobId;
import org.chivetally.job.JobOutcome;

/** Messages of {@link SubmissionActor}. */
public sealed interface SubmissionCommand {
    /** A caller submits a job. */
    record Submit(Submission submission, CompletableFuture<SubmissionReply> reply) implements SubmissionCommand {}

    /** The dispatcher has a job's final outcome. */
    record JobFinished(JobId job, JobOutcome outcome) implements SubmissionCommand {}

    /** Another entry answered about its job. */
    record PeerAnswered(JobId job, JobOutcome outcome) implements SubmissionCommand {}

    /** Another entry asks for a job's outcome. */
    record Attach(JobId job, Consumer<AttachAnswer> reply) implements SubmissionCommand {}

    /** Another entry asks whether this one has a job of a key. */
    record AskKey(SubmissionKey key, Consumer<Boolean> reply) implements SubmissionCommand {}

    /** Another entry asks to cancel a job. */
    record CancelForPeer(JobId job) implements SubmissionCommand {}

    /** A caller wants a job's outcome, and waits until this reading of the clock. */
    record Await(JobId job, long until, boolean cancel, CompletableFuture<Optional<Awaited>> reply)
            implements SubmissionCommand {}

    /** A caller wants the jobs of this entry. */
    record ListJobs(Optional<String> team, int limit, CompletableFuture<List<JobStatus>> reply)
            implements SubmissionCommand {}

    /** Takes nothing new from now on; completes once no job is open and nobody waits. */
    record Drain(CompletableFuture<Void> drained) implements SubmissionCommand {}

    /** The log decided about a submission's claim. */
    record ClaimDecided(JobId job, ClaimDecision decision) implements SubmissionCommand {}

    /** The log decided about a takeover. */
    record TakeoverDecided(JobId job, ClaimDecision decision, OptionalLong claimedAfterNanos)
            implements SubmissionCommand {}

    /** The claim in force for an awaited job of another entry was looked up. */
    record ClaimRefreshed(Claim claim) implements SubmissionCommand {}

    /** Another entry took a job of this one over. */
    record Replaced(Claim claim) implements SubmissionCommand {}

    /** The claim of a job that a caller awaits was looked up. */
    record AwaitedFound(Await await, Optional<Claim> claim) implements SubmissionCommand {}

    /**
     * The claim of a refused submission's key was looked up.
     *
     * @param readToEndAt reading of the clock up to which the log had been read at least
     */
    record RefusedFound(
            Submission submission,
            Optional<Claim> claim,
            OptionalLong readToEndAt,
            Refusal refusal,
            CompletableFuture<SubmissionReply> reply)
            implements SubmissionCommand {}

    /** Ends the actor. */
    record Stop() implements SubmissionCommand {}

    /** Time passed. */
    record Tick() implements SubmissionCommand {}

    /** What is known of an awaited job. */
    record Awaited(JobStatus status, CompletionStage<JobOutcome> outcome, boolean local) {}

    /** An answer for another entry; the outcome is empty when this one does not know the job. */
    record AttachAnswer(JobId job, Optional<JobOutcome> outcome) {}

    /** A failure whose certainty is still to be found out. */
    @FunctionalInterface
    interface Refusal {
        /** Returns the failure with what is certain about the work. */
        JobOutcome.Failure with(JobOutcome.Certainty certainty);
    }
}
