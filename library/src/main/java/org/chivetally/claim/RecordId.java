package org.chivetally.claim;

import java.util.Objects;
import java.util.Optional;

/**
 * Id of a record of the claims stream: its writer and the writer's own count.
 *
 * <p>A writer has one append in flight and repeats what is in doubt before anything newer, so its records first stand
 * in the stream in the order of their counts. One number for each writer is therefore enough to drop every repeat.
 */
record RecordId(String writer, long sequence) {
    private static final char SEPARATOR = '#';

    RecordId {
        Objects.requireNonNull(writer, "writer");
        if (sequence < 1) {
            throw new IllegalArgumentException("counts begin at 1");
        }
    }

    /** Returns the name under which a process writes. */
    static String writerOf(Coordinator coordinator) {
        return coordinator.processId() + '/' + coordinator.incarnation();
    }

    /** Returns the parts of an id, or nothing when a writer of another kind made it. */
    static Optional<RecordId> parse(String text) {
        int separator = text.lastIndexOf(SEPARATOR);
        if (separator < 1) {
            return Optional.empty();
        }
        try {
            long sequence = Long.parseLong(text, separator + 1, text.length(), 10);
            return sequence < 1 ? Optional.empty() : Optional.of(new RecordId(text.substring(0, separator), sequence));
        } catch (NumberFormatException exception) {
            return Optional.empty();
        }
    }

    /** Returns the id as it stands in the log. */
    String text() {
        return writer + SEPARATOR + sequence;
    }
}
