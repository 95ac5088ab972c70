package org.chivetally.logging;

import java.util.logging.LogManager;

/**
 * Keeps the handlers until the process ends. The usual manager removes them as soon as the process begins to shut down,
 * so that nothing which happens while it stops, nor its last line, would be logged.
 *
 * <p>Takes effect in a process that names it in {@link #PROPERTY} before anything is logged. A compile-time constant,
 * as a call to this class would set up the usual manager first.
 */
public final class NonResettingLogManager extends LogManager {
    /** System property that names the manager. */
    public static final String PROPERTY = "java.util.logging.manager";

    /** Does nothing: whoever installs handlers removes those before them. */
    @Override
    public void reset() {}
}
