package org.chivetally.entry.submission;

import java.util.concurrent.CompletionStage;
import org.chivetally.job.JobId;
import org.chivetally.job.JobOutcome;

/** What became of a submission once its claim was decided. */
public sealed interface SubmissionReply {
    /** The submission is this job; the stage completes with its final outcome and never exceptionally. */
    record Accepted(JobId job, CompletionStage<JobOutcome> outcome) implements SubmissionReply {}

    /** There is no job for this submission. */
    record Refused(JobOutcome.Failure failure) implements SubmissionReply {}
}
