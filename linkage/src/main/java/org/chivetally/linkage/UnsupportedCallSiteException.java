package org.chivetally.linkage;

/** Thrown for a call site of a replaced bootstrap method whose arguments aren't supported. */
final class UnsupportedCallSiteException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    UnsupportedCallSiteException(String message) {
        super(message);
    }
}
