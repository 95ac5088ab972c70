package org.chivetally.queue;

import java.time.Duration;
import java.util.Objects;

/** What a caller is told about a job. */
public sealed interface JobAnswer {
    /** The job is stored and will run. */
    record Accepted() implements JobAnswer {}

    /**
     * The job is not stored and will never run by this request.
     *
     * @param reason why, for logs and the caller
     * @param retryAfter when another request may fare better
     */
    record Refused(RefusalReason reason, Duration retryAfter) implements JobAnswer {
        /** Refuses missing parts. */
        public Refused {
            Objects.requireNonNull(reason, "reason");
            Objects.requireNonNull(retryAfter, "retryAfter");
        }
    }

    /**
     * Whether the job is stored could not be found out in time.
     *
     * @param reason why, for logs
     */
    record Undecided(String reason) implements JobAnswer {}

    /**
     * The state of jobs can't be read now.
     *
     * @param reason why, for logs
     */
    record Unavailable(String reason) implements JobAnswer {}

    /** The one that was asked does not own the job's partition. */
    record NotOwner() implements JobAnswer {}

    /** No job of that id is kept. */
    record UnknownJob() implements JobAnswer {}

    /**
     * How far the job is.
     *
     * @param phase its phase
     */
    record State(JobPhase phase) implements JobAnswer {
        /** Refuses a missing phase. */
        public State {
            Objects.requireNonNull(phase, "phase");
        }
    }

    /** The job starts no more tasks, or had ended before. */
    record Cancelled() implements JobAnswer {}
}
