package org.chivetally.logging;

import java.util.logging.LogManager;

/**
 * A log manager that keeps the handlers until the process ends. The default manager removes them at the beginning of
 * the JVM's shutdown, so that the events of a graceful shutdown would not be logged.
 *
 * <p>Takes effect if the system property {@link #PROPERTY} names this class before anything is logged. The property's
 * name is a compile-time constant because initializing this class would initialize the default manager first.
 */
public final class NonResettingLogManager extends LogManager {
    /** System property with the class name of the log manager. */
    public static final String PROPERTY = "java.util.logging.manager";

    /** Does nothing; code that installs a handler removes the previous handlers itself. */
    @Override
    public void reset() {}
}
