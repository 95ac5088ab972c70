package org.chivetally.command;

import org.chivetally.errors.ErrorCode;

/** Exit codes of all commands; scripts depend on them, so the meaning of a code never changes. */
public final class ExitCodes {
    /** The command succeeded. */
    public static final int OK = 0;

    /** The job failed, the name is not known, or {@code diff} found differences. */
    public static final int FAILED = 1;

    /** The command line, a settings file or a document is malformed; nothing was done. */
    public static final int INVALID_INPUT = 2;

    /** Another write came first, or the idempotency key belongs to another submission. */
    public static final int CONFLICT = 3;

    /** No entry answered, or it refused temporarily; nothing was done, and a retry may succeed. */
    public static final int UNAVAILABLE = 4;

    /** The request may have taken effect; its outcome is unknown. */
    public static final int OUTCOME_UNKNOWN = 5;

    /** Internal error: an invariant of chivetally was violated. */
    public static final int INTERNAL = 70;

    private ExitCodes() {}

    /** Returns the exit code for an error code. */
    public static int of(ErrorCode code) {
        return switch (code) {
            case NOT_FOUND, CANCELLED, TASK_FAILED, DEADLINE_EXCEEDED, ANSWER_EXPIRED -> FAILED;
            case INVALID_INPUT, NEVER_FITS -> INVALID_INPUT;
            case VERSION_CONFLICT, KEY_REUSED, VERSION_TOO_OLD -> CONFLICT;
            case OVERLOADED, LOG_UNAVAILABLE, NOT_READY -> UNAVAILABLE;
            case OUTCOME_UNKNOWN -> OUTCOME_UNKNOWN;
            case INTERNAL -> INTERNAL;
        };
    }
}
