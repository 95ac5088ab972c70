package org.chivetally.settings;

import java.util.logging.Level;

/** Minimum level of log lines. */
public enum LogLevel {
    /** Adds the steps of the protocols. */
    DEBUG(Level.FINE),
    /** Adds all decisions. */
    INFO(Level.INFO),
    /** Only events that may require action by an operator. */
    WARNING(Level.WARNING);

    private final Level level;

    LogLevel(Level level) {
        this.level = level;
    }

    /** Returns the corresponding level of java.util.logging. */
    public Level level() {
        return level;
    }
}
