package org.chivetally.claim;

import java.util.Objects;
import java.util.Optional;

/**
 * Id of a record of the claims stream: its writer and the writer's sequence number.
 *
 * <p>A writer has one append in flight and repeats those with unknown outcome before sending newer records, so the
 * first occurrences of its records are in the order of their sequence numbers. Readers can therefore drop all
 * duplicates by keeping one number per writer.
 *
 * @param writer name of the writing process's incarnation
 * @param sequence sequence number of the record, counted from 1 by its writer
 */
record RecordId(String writer, long sequence) {
    private static final char SEPARATOR = '#';

    RecordId {
        Objects.requireNonNull(writer, "writer");
        if (sequence < 1) {
            throw new IllegalArgumentException("sequence must be at least 1");
        }
    }

    /** Returns the writer name of a process. */
    static String writerOf(Coordinator coordinator) {
        return coordinator.processId() + '/' + coordinator.incarnation();
    }

    /** Parses a record id; empty if the text is not one. */
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

    /** Returns the id in the form in which it is stored in the log. */
    String text() {
        return writer + SEPARATOR + sequence;
    }
}
