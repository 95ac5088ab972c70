package org.chivetally.settings;

import java.util.logging.Level;

/** Least level of log lines. */
public enum LogLevel {
    /** Also every step of the protocols. */
    DEBUG(Level.FINE),
    /** Also every decision. */
    INFO(Level.INFO),
    /** Only what an operator should look at. */
    WARNING(Level.WARNING);

    private final Level level;

    LogLevel(Level level) {
        this.level = level;
    }

    /** Returns the level of the JDK's loggers. */
    public Level level() {
        return level;
    }
}
