package org.chivetally.agent;

/** How a request to the minion ended. */
public sealed interface MinionAnswer {
    /** The minion ran the task; the body is its answer. */
    record Success(String body) implements MinionAnswer {}

    /** The minion ran the task and answered with an error. */
    record Failure(String error) implements MinionAnswer {}

    /** The minion said that it did not run the task and never will. */
    record Declined() implements MinionAnswer {}

    /** No connection came about, so nothing was sent. */
    record NotSent(String reason) implements MinionAnswer {}

    /** The request may have arrived, and no answer came. */
    record Lost(String reason) implements MinionAnswer {}
}
