package org.chivetally.linkage;

/** A call site of a kind that is replaced, in a form that isn't known. */
final class UnsupportedCallSiteException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    UnsupportedCallSiteException(String message) {
        super(message);
    }
}
