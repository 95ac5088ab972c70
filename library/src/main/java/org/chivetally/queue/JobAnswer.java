package org.chivetally.queue;

import java.time.Duration;
import java.util.Objects;

/** Answer to a caller's request to submit, query or cancel a job. */
public sealed interface JobAnswer {
    /** The job is stored in the log and will run. */
    record Accepted() implements JobAnswer {}

    /**
     * The job was not accepted, and this request will not cause it to run.
     *
     * @param reason why the job was refused, for logs and the caller
     * @param retryAfter time after which a retry is more likely to succeed
     */
    record Refused(RefusalReason reason, Duration retryAfter) implements JobAnswer {
        /** Refuses missing parts. */
        public Refused {
            Objects.requireNonNull(reason, "reason");
            Objects.requireNonNull(retryAfter, "retryAfter");
        }
    }

    /**
     * Whether the job was stored could not be determined in time.
     *
     * @param reason why it could not be determined, for logs and the caller
     */
    record Undecided(String reason) implements JobAnswer {}

    /**
     * The state of the job can't be read at present.
     *
     * @param reason why it can't be read, for logs and the caller
     */
    record Unavailable(String reason) implements JobAnswer {}

    /** The process that received the request does not own the job's partition. */
    record NotOwner() implements JobAnswer {}

    /** No job with this id is known. */
    record UnknownJob() implements JobAnswer {}

    /**
     * The current state of the job.
     *
     * @param phase phase of the job
     */
    record State(JobPhase phase) implements JobAnswer {
        /** Refuses a missing phase. */
        public State {
            Objects.requireNonNull(phase, "phase");
        }
    }

    /** The job was cancelled and starts no more tasks, or it had already ended. */
    record Cancelled() implements JobAnswer {}
}
