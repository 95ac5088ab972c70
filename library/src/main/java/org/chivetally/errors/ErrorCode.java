package org.chivetally.errors;

/** Stable error codes of problem documents, exit messages and log events; a code never changes its meaning. */
public enum ErrorCode {
    /** The input is malformed; the detail lists each mistake with its place. HTTP 400. */
    INVALID_INPUT("invalid-input", 400),
    /** There is no resource or job of that name. HTTP 404. */
    NOT_FOUND("not-found", 404),
    /** A write was based on a version that is not the latest. HTTP 409. */
    VERSION_CONFLICT("version-conflict", 409),
    /** The idempotency key was used before with a different body. HTTP 422. */
    KEY_REUSED("key-reused", 422),
    /** The task exceeds the capacity of every backend server of the service. HTTP 422. */
    NEVER_FITS("never-fits", 422),
    /** A watch requested a version that is no longer retained. HTTP 410. */
    VERSION_TOO_OLD("version-too-old", 410),
    /** The job ended earlier, and its answer is no longer retained. HTTP 410. */
    ANSWER_EXPIRED("answer-expired", 410),
    /** The queues are full or the team exceeds its quota. HTTP 429, with Retry-After. */
    OVERLOADED("overloaded", 429),
    /** The platform's log is unavailable. HTTP 503, with Retry-After. */
    LOG_UNAVAILABLE("log-unavailable", 503),
    /** The process is stopping or has not caught up yet. HTTP 503, with Retry-After. */
    NOT_READY("not-ready", 503),
    /** The deadline passed before the outcome was known. HTTP 504. */
    DEADLINE_EXCEEDED("deadline-exceeded", 504),
    /** The job was cancelled. HTTP 409. */
    CANCELLED("cancelled", 409),
    /** At least one task failed. HTTP 502. */
    TASK_FAILED("task-failed", 502),
    /** At least one task may have started, and its outcome is unknown. HTTP 502. */
    OUTCOME_UNKNOWN("outcome-unknown", 502),
    /** A broken invariant of chivetally itself. HTTP 500. */
    INTERNAL("internal", 500);

    private final String text;
    private final int httpStatus;

    ErrorCode(String text, int httpStatus) {
        this.text = text;
        this.httpStatus = httpStatus;
    }

    /** Returns the code as written in documents and logs. */
    public String text() {
        return text;
    }

    /** Returns the HTTP status of responses with this code. */
    public int httpStatus() {
        return httpStatus;
    }
}
