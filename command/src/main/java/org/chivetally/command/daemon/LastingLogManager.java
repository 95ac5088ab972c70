package org.chivetally.command.daemon;

import java.util.logging.LogManager;

/**
 * Keeps log handlers while the process stops.
 *
 * <p>The JDK's manager removes all handlers in a shutdown hook of its own, at the same time as {@link GracefulStop}
 * runs in another: the lines of the drain would be lost. Standard error needs no closing, so the removal is left out.
 */
public final class LastingLogManager extends LogManager {
    /** System property that names the manager's class; read once, before the first logger is made. */
    public static final String PROPERTY = "java.util.logging.manager";

    @Override
    public void reset() {
        // Nothing: see the class comment.
    }
}
