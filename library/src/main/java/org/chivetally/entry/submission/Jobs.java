package org.chivetally.entry.submission;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.chivetally.job.JobId;

/** Jobs of all entries, seen from this one. Stages never complete exceptionally. */
public interface Jobs {
    /** Submits a job; completes once its claim is decided. */
    CompletionStage<SubmissionReply> submit(Submission submission);

    /** Returns a job's status; empty when no claim of the dedupe window names it. */
    CompletionStage<Optional<JobStatus>> status(JobId job);

    /**
     * Waits for a job's outcome, here or at its coordinator.
     *
     * @return the status, with the outcome when it came in time; empty when no claim of the dedupe window names the job
     */
    CompletionStage<Optional<JobStatus>> outcome(JobId job, Duration wait);

    /** Cancels a job at its coordinator; empty when no claim of the dedupe window names it. */
    CompletionStage<Optional<JobStatus>> cancel(JobId job, Duration wait);

    /** Returns the jobs that this entry coordinates or did, newest first. */
    CompletionStage<List<JobStatus>> list(Optional<String> team, int limit);
}
