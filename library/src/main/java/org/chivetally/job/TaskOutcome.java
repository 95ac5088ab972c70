package org.chivetally.job;

/** Outcome of one task. */
public sealed interface TaskOutcome {
    /**
     * The task ran once and returned an answer.
     *
     * @param body the minion's answer as JSON text
     */
    record Done(String body) implements TaskOutcome {}

    /** The task ran and ended with an error. */
    record Failed(String error) implements TaskOutcome {}

    /** The task has not started and will not start. */
    record NotRun(String reason) implements TaskOutcome {}

    /** The task may have started, and its outcome can't be determined. */
    record Unknown(String reason) implements TaskOutcome {}
}
