package org.chivetally.errors;

/** Thrown for broken invariants and at program borders; outcomes of work are values instead. */
public final class ChivetallyException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;

    /** Creates an exception with a code and a message that names the place. */
    public ChivetallyException(ErrorCode code, String message) {
        super(message);
        this.code = code;
    }

    /** Creates an exception with a code, a message that names the place, and the cause. */
    public ChivetallyException(ErrorCode code, String message, Throwable cause) {
        super(message, cause);
        this.code = code;
    }

    /** Returns the stable code. */
    public ErrorCode code() {
        return code;
    }
}
