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
 * File that persists the record of starts of a minion.
 *
 * <p>Without it, a minion that is killed would lose its record, and a duplicate start of one of its tasks would go
 * undetected. Each start is written before its task runs, and the next process with the same file continues the record.
 */
final class StartFile {
    private final Path file;

    StartFile(Path file) {
        this.file = file;
    }

    /** Reads the starts of earlier processes in order; tasks that were still running are marked as lost. */
    List<MinionStart> read() {
        List<MinionStart> starts = new ArrayList<>();
        if (!Files.exists(file)) {
            return starts;
        }
        try {
            Files.readAllLines(file).forEach(text -> replay(text, starts));
        } catch (IOException unreadable) {
            throw new UncheckedIOException("can't read the record of starts", unreadable);
        }
        starts.replaceAll(start -> start.outcome().equals(MinionStart.RUNNING) ? start.asLost() : start);
        return starts;
    }

    /** Appends a start, or its new state when it ends. */
    void write(int position, MinionStart start) {
        String line = StandInHttp.JSON.writeValueAsString(new Line(position, start)) + "\n";
        try {
            Files.writeString(file, line, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException unwritable) {
            throw new UncheckedIOException("can't write the record of starts", unwritable);
        }
    }

    private static void replay(String text, List<MinionStart> starts) {
        Line line;
        try {
            line = StandInHttp.JSON.readValue(text, Line.class);
        } catch (JacksonException cutShort) {
            // The process ended while it wrote this line, so the task had not started or had not been answered.
            return;
        }
        if (line.position() == starts.size()) {
            starts.add(line.start());
        } else {
            starts.set(line.position(), line.start());
        }
    }

    /** One line of the file: the position of a start in the record, and the state of the start at that time. */
    private record Line(int position, MinionStart start) {}
}
