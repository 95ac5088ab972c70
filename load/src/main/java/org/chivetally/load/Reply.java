package org.chivetally.load;

import java.util.List;
import org.chivetally.job.JobOutcome.Certainty;

/** How one request of a caller ended. */
public sealed interface Reply {
    /** The whole answer, as JSON texts in the order received. */
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
     * @param code stable code
     * @param certainty what is said about the work
     * @param detail one sentence for a person
     * @param retryAfterMillis when the caller may come back; zero gives no advice
     */
    record Problem(int status, String code, Certainty certainty, String detail, long retryAfterMillis)
            implements Reply {}

    /** The entry answered with something that the interface does not describe. */
    record Malformed(int status, String body) implements Reply {}

    /** No connection came about: the request was never sent. */
    record Unreachable(String reason) implements Reply {}

    /** The connection closed before an answer. */
    record Closed(String reason) implements Reply {}

    /** The job is under way and not final within the time that the request was held. */
    record Pending() implements Reply {}

    /** No answer came until some time after the request should have been answered. */
    record TimedOut() implements Reply {}
}
