package org.chivetally.agent;

/** Outcome of a request to the minion. */
public sealed interface MinionAnswer {
    /** The minion ran the task; the body is the response body. */
    record Success(String body) implements MinionAnswer {}

    /** The minion answered with an error, or with a response that is too large. */
    record Failure(String error) implements MinionAnswer {}

    /** The minion declared that it has not run the task and will not run it. */
    record Declined() implements MinionAnswer {}

    /** No connection could be opened, so nothing was sent. */
    record NotSent(String reason) implements MinionAnswer {}

    /** No answer was received, although the request may have been; it is unknown whether the task ran. */
    record Lost(String reason) implements MinionAnswer {}
}
