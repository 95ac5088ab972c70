package org.chivetally.command.daemon;

import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.slf4j.LoggerFactory;

/** Sends log lines of one process to standard error. */
public final class LogSetup {
    private static final Logger ROOT = Logger.getLogger("");
    private static final Logger CHIVETALLY = Logger.getLogger("org.chivetally");

    private LogSetup() {}

    /**
     * Replaces whatever handlers there are.
     *
     * @param level least level of chivetally's own lines; libraries are kept at warnings unless this is higher
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
        // Pekko logs from several threads while it starts; SLF4J would warn about lines it had to hold back meanwhile.
        LoggerFactory.getILoggerFactory();
    }

    private static Level higher(Level one, Level other) {
        return one.intValue() > other.intValue() ? one : other;
    }
}
