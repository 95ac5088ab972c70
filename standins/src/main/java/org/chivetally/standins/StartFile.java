package org.chivetally.standins;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import tools.jackson.core.JacksonException;

/**
 * A minion's record of starts in a file.
 *
 * <p>A minion that is killed would lose its record, and a second start of what it had begun would go unseen. Each start
 * is in the file before its task runs, and the next process at the same file goes on from there.
 */
final class StartFile {
    private final Path file;

    StartFile(Path file) {
        this.file = file;
    }

    /** Reads the starts of earlier processes, in their order; what still ran there is lost. */
    List<MinionStart> read() {
        List<MinionStart> starts = new ArrayList<>();
        if (!Files.exists(file)) {
            return starts;
        }
        try {
            Files.readAllLines(file).forEach(text -> replay(text, starts));
        } catch (IOException unreadable) {
            throw new UncheckedIOException("record of starts", unreadable);
        }
        starts.replaceAll(start -> start.outcome().equals(MinionStart.RUNNING) ? start.asLost() : start);
        return starts;
    }

    /** Adds a start or its end. */
    void write(int position, MinionStart start) {
        String line = StandInHttp.JSON.writeValueAsString(new Line(position, start)) + "\n";
        try {
            Files.writeString(file, line, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException unwritable) {
            throw new UncheckedIOException("record of starts", unwritable);
        }
    }

    private static void replay(String text, List<MinionStart> starts) {
        Line line;
        try {
            line = StandInHttp.JSON.readValue(text, Line.class);
        } catch (JacksonException cutShort) {
            // The process ended while it wrote: the task had not begun, or had not been answered.
            return;
        }
        if (line.position() == starts.size()) {
            starts.add(line.start());
        } else {
            starts.set(line.position(), line.start());
        }
    }

    /** One line: the start's position in the record, and the start as it was then. */
    private record Line(int position, MinionStart start) {}
}
