package org.chivetally.job;

import java.util.List;
import org.chivetally.errors.ErrorCode;

/** Final outcome of a job: either the answers of all its tasks or a failure, never a partial list of answers. */
public sealed interface JobOutcome {
    /**
     * Every task was completed.
     *
     * @param answers answer bodies of all tasks, in the order of the submission
     */
    record Complete(List<String> answers) implements JobOutcome {
        /** Copies the answers. */
        public Complete {
            answers = List.copyOf(answers);
        }
    }

    /**
     * The job failed and has no answer.
     *
     * @param code stable error code of the cause
     * @param certainty whether tasks of the job may have run
     * @param detail one sentence of explanation for people
     * @param unknownTasks indexes, from 0, of tasks that may have started and whose outcome is unknown
     * @param retryAfterMillis delay in milliseconds after which the caller may retry; zero gives no advice
     */
    record Failure(
            ErrorCode code, Certainty certainty, String detail, List<Integer> unknownTasks, long retryAfterMillis)
            implements JobOutcome {
        /** Copies the task indexes. */
        public Failure {
            unknownTasks = List.copyOf(unknownTasks);
        }
    }

    /** What is certain about the tasks of a failed job. */
    enum Certainty {
        /** No task has started and none will start. */
        NOT_RUN("not-run"),
        /** The outcome of every task is known, and at least one task has run. */
        FAILED("failed"),
        /** At least one task may have started and its outcome is unknown. */
        UNKNOWN("unknown");

        private final String text;

        Certainty(String text) {
            this.text = text;
        }

        /** Returns the value used in HTTP documents. */
        public String text() {
            return text;
        }
    }
}
