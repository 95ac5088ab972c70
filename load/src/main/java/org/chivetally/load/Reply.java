package org.chivetally.load;

import java.util.List;
import org.chivetally.job.JobOutcome.Certainty;

/** Outcome of one HTTP request to an entry. */
public sealed interface Reply {
    /**
     * A complete answer.
     *
     * @param job ID of the job
     * @param answers answers of the tasks, in the order received
     */
    record Complete(String job, List<String> answers) implements Reply {
        /** Copies the list. */
        public Complete {
            answers = List.copyOf(answers);
        }
    }

    /**
     * A problem document.
     *
     * @param status HTTP status
     * @param code stable error code
     * @param certainty whether the work was done, as far as the entry can determine
     * @param detail explanation in one sentence
     * @param retryAfterMillis delay after which the client may retry, in milliseconds; zero gives no advice
     */
    record Problem(int status, String code, Certainty certainty, String detail, long retryAfterMillis)
            implements Reply {}

    /**
     * A response that does not conform to the job interface.
     *
     * @param status HTTP status
     * @param body response body
     */
    record Malformed(int status, String body) implements Reply {}

    /** No connection could be established, so the request was never sent. */
    record Unreachable(String reason) implements Reply {}

    /** The connection was closed before a response. */
    record Closed(String reason) implements Reply {}

    /** The job was accepted but has not reached a final state within the wait time. */
    record Pending(String job) implements Reply {}

    /** No response was received within the request timeout. */
    record TimedOut() implements Reply {}
}
