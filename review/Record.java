import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: what was sent, answered and run, with milliseconds since the start. */
final class Record implements AutoCloseable {
    private static final long START = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Milliseconds since the start of the run, on the steady clock. */
    static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    void log(String text) {
        logAt(now(), text);
    }

    synchronized void logAt(long millis, String text) {
        out.printf("%8d %s%n", millis, text);
    }

    /** Logs, and prints to the terminal. */
    void say(String text) {
        log(text);
        System.out.println(text);
    }

    @Override
    public synchronized void close() {
        out.flush();
        out.close();
    }
}
