package org.chivetally.job;

import java.util.List;
import org.chivetally.errors.ErrorCode;

/** Final outcome of a job: the whole answer, or a failure; never a partial list. */
public sealed interface JobOutcome {
    /** Bodies of all tasks, in the order of the submission. */
    record Complete(List<String> answers) implements JobOutcome {
        /** Copies the list. */
        public Complete {
            answers = List.copyOf(answers);
        }
    }

    /**
     * The job has no answer.
     *
     * @param code stable code of the cause
     * @param certainty what is certain about the work
     * @param detail one sentence for a person
     * @param unknownTasks indexes of tasks that may have started without a known outcome
     * @param retryAfterMillis when a caller may come back, in milliseconds; zero gives no advice
     */
    record Failure(
            ErrorCode code, Certainty certainty, String detail, List<Integer> unknownTasks, long retryAfterMillis)
            implements JobOutcome {
        /** Copies the list. */
        public Failure {
            unknownTasks = List.copyOf(unknownTasks);
        }
    }

    /** What a failure says about the work. */
    enum Certainty {
        /** No task started and none will. */
        NOT_RUN("not-run"),
        /** Every task's end is known, and at least one ran. */
        FAILED("failed"),
        /** At least one task may have started without a known outcome. */
        UNKNOWN("unknown");

        private final String text;

        Certainty(String text) {
            this.text = text;
        }

        /** Returns the word used in documents. */
        public String text() {
            return text;
        }
    }
}
