import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** What was sent, answered and run, in the order in which the stand-ins saw it. */
final class TrialRecord implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final List<Event> events = new ArrayList<>();
    private final PrintWriter file;

    /** An event: its time in milliseconds since the start of the record, its kind, what it concerns, and details. */
    record Event(long atMillis, String kind, String subject, String details) {}

    TrialRecord(Path path) throws IOException {
        file = new PrintWriter(Files.newBufferedWriter(path, StandardCharsets.UTF_8));
    }

    long nowMillis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized Event add(String kind, String subject, String details) {
        Event event = new Event(nowMillis(), kind, subject, details);
        events.add(event);
        file.printf(Locale.ROOT, "%8.3f s  %-16s %s %s%n", event.atMillis / 1000.0, kind, subject, details);
        file.flush();
        return event;
    }

    /** Returns the events of a kind whose subject begins with a text. */
    synchronized List<Event> of(String kind, String subject) {
        return events.stream()
                .filter(event -> event.kind.equals(kind) && event.subject.startsWith(subject))
                .toList();
    }

    synchronized List<Event> all() {
        return List.copyOf(events);
    }

    @Override
    public synchronized void close() {
        file.close();
    }
}
