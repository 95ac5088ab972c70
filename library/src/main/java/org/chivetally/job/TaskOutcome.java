package org.chivetally.job;

/** What became of one task. */
public sealed interface TaskOutcome {
    /** Ran once and answered; the body is the minion's JSON text. */
    record Done(String body) implements TaskOutcome {}

    /** Ran and answered with an error. */
    record Failed(String error) implements TaskOutcome {}

    /** Never started and never will be. */
    record NotRun(String reason) implements TaskOutcome {}

    /** May have started; its outcome can't be known. */
    record Unknown(String reason) implements TaskOutcome {}
}
