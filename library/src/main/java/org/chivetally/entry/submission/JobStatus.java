package org.chivetally.entry.submission;

import java.time.Instant;
import java.util.Objects;
import java.util.Optional;
import org.chivetally.job.JobId;
import org.chivetally.job.JobOutcome;

/**
 * A job as an operator sees it.
 *
 * @param service empty when this entry does not know the job's content
 * @param tasks number of tasks; zero when this entry does not know the job's content
 * @param coordinator process id of the entry that coordinates the job
 * @param submittedAt wall-clock time of the submission here
 * @param outcome present once the job is final and its outcome is known here
 */
public record JobStatus(
        JobId job,
        String service,
        String team,
        int tasks,
        Phase phase,
        String coordinator,
        int generation,
        Optional<Instant> submittedAt,
        Optional<JobOutcome> outcome) {
    /** Refuses missing parts. */
    public JobStatus {
        Objects.requireNonNull(job, "job");
        Objects.requireNonNull(phase, "phase");
        Objects.requireNonNull(submittedAt, "submittedAt");
        Objects.requireNonNull(outcome, "outcome");
    }

    /** Returns the status with a final outcome. */
    public JobStatus ended(JobOutcome last) {
        return new JobStatus(
                job, service, team, tasks, Phase.FINAL, coordinator, generation, submittedAt, Optional.of(last));
    }

    /** How far a job has come. */
    public enum Phase {
        /** Its claim is not decided yet. */
        CLAIMING,
        /** Claimed; its tasks wait or run. */
        RUNNING,
        /** It has its final outcome. */
        FINAL
    }
}
