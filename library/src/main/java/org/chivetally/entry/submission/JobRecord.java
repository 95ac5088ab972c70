package org.chivetally.entry.submission;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.chivetally.claim.Claim;
import org.chivetally.claim.SubmissionKey;
import org.chivetally.job.JobId;
import org.chivetally.job.JobOutcome;

/** One job that this entry submitted to its dispatcher. Owned by one actor. */
final class JobRecord {
    private static final int FIXED_BYTES = 600;
    private static final int BYTES_PER_ANSWER = 56;

    private final JobId job;
    private final SubmissionKey key;
    private final String digest;
    private final String service;
    private final int tasks;
    private final Instant submittedAt;
    private final long submittedNanos;
    private final long deadlineNanos;
    private final List<CompletableFuture<SubmissionReply>> accepting = new ArrayList<>();
    private JobStatus.Phase phase = JobStatus.Phase.CLAIMING;
    private CompletableFuture<JobOutcome> done = new CompletableFuture<>();
    private Submission submission;
    private Claim claim;
    private JobOutcome outcome;

    JobRecord(JobId job, Submission submission, Instant submittedAt, long submittedNanos) {
        this.job = job;
        this.key = submission.key();
        this.digest = submission.digest();
        this.service = submission.specification().service();
        this.tasks = submission.specification().tasks().size();
        this.submission = submission;
        this.submittedAt = submittedAt;
        this.submittedNanos = submittedNanos;
        this.deadlineNanos =
                submittedNanos + submission.specification().deadline().toNanos();
    }

    JobId job() {
        return job;
    }

    SubmissionKey key() {
        return key;
    }

    String digest() {
        return digest;
    }

    /** Returns the whole submission; only while it is being claimed, as its payloads are large. */
    Submission submission() {
        return submission;
    }

    long submittedNanos() {
        return submittedNanos;
    }

    /** Returns the reading of the clock by which its caller is to know the outcome. */
    long deadlineNanos() {
        return deadlineNanos;
    }

    JobStatus.Phase phase() {
        return phase;
    }

    Optional<Claim> claim() {
        return Optional.ofNullable(claim);
    }

    /** Returns the outcome; for a job still being claimed, the one that its claim can't change any more. */
    Optional<JobOutcome> outcome() {
        return Optional.ofNullable(outcome);
    }

    /** Returns a stage that completes with the outcome. */
    CompletableFuture<JobOutcome> done() {
        return phase == JobStatus.Phase.FINAL ? CompletableFuture.completedFuture(outcome) : done;
    }

    /** Adds a caller that waits for the claim. */
    void addAccepting(CompletableFuture<SubmissionReply> reply) {
        accepting.add(reply);
    }

    /** Removes and returns the callers that wait for the claim. */
    List<CompletableFuture<SubmissionReply>> takeAccepting() {
        List<CompletableFuture<SubmissionReply>> taken = List.copyOf(accepting);
        accepting.clear();
        return taken;
    }

    /** The job may run here under this claim; null for one that only this entry's memory keeps. */
    void claimed(Claim won) {
        claim = won;
        submission = null;
        phase = JobStatus.Phase.RUNNING;
    }

    /** Notes an outcome that came before the claim was decided. */
    void endedEarly(JobOutcome early) {
        outcome = early;
    }

    /** Makes an outcome final and tells all that wait for it. */
    void finish(JobOutcome last) {
        CompletableFuture<JobOutcome> waiting = done;
        outcome = last;
        submission = null;
        phase = JobStatus.Phase.FINAL;
        done = null;
        waiting.complete(last);
    }

    /** Replaces a kept answer by the statement that it is no longer kept. */
    void dropAnswer() {
        outcome = Failures.answerDropped();
    }

    boolean hasAnswer() {
        return outcome instanceof JobOutcome.Complete;
    }

    /** Returns about how many bytes the record keeps once final. */
    long keptBytes() {
        return FIXED_BYTES
                + switch (outcome) {
                    case JobOutcome.Complete complete ->
                        complete.answers().stream()
                                .mapToLong(answer -> answer.length() + BYTES_PER_ANSWER)
                                .sum();
                    case JobOutcome.Failure failure -> failure.detail().length();
                    case null -> 0;
                };
    }

    /** Returns the job as an operator sees it. */
    JobStatus status(String coordinator) {
        return new JobStatus(
                job,
                service,
                key.team(),
                tasks,
                phase,
                coordinator,
                claim == null ? 1 : claim.generation(),
                Optional.of(submittedAt),
                phase == JobStatus.Phase.FINAL ? outcome() : Optional.empty());
    }
}
