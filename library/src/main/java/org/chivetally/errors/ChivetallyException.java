package org.chivetally.errors;

/** Reports a broken invariant or a failure of a command or request; expected outcomes of jobs are values instead. */
public final class ChivetallyException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;

    /** Creates an exception with a code and a message that says where the error is. */
    public ChivetallyException(ErrorCode code, String message) {
        super(message);
        this.code = code;
    }

    /** Creates an exception with a code, a message that says where the error is, and a cause. */
    public ChivetallyException(ErrorCode code, String message, Throwable cause) {
        super(message, cause);
        this.code = code;
    }

    /** Returns the stable error code. */
    public ErrorCode code() {
        return code;
    }
}
