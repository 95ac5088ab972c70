package org.chivetally.command.daemon;

import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.slf4j.LoggerFactory;

/** Configures logging of the process to standard error. */
public final class LogSetup {
    private static final Logger ROOT = Logger.getLogger("");
    private static final Logger CHIVETALLY = Logger.getLogger("org.chivetally");

    private LogSetup() {}

    /**
     * Replaces all handlers of the root logger.
     *
     * @param level minimum level of chivetally's loggers; libraries log at warning, or at this level if it is higher
     */
    public static void install(Level level) {
        for (Handler handler : ROOT.getHandlers()) {
            ROOT.removeHandler(handler);
        }
        Handler standardError = new ConsoleHandler();
        standardError.setLevel(Level.ALL);
        standardError.setFormatter(new KeyValueFormatter());
        ROOT.addHandler(standardError);
        ROOT.setLevel(higher(level, Level.WARNING));
        CHIVETALLY.setLevel(level);
        // Initializes SLF4J before Pekko logs from several threads at its start: SLF4J buffers events that arrive
        // during its initialization, and prints a warning about them.
        LoggerFactory.getILoggerFactory();
    }

    private static Level higher(Level one, Level other) {
        return one.intValue() > other.intValue() ? one : other;
    }
}
