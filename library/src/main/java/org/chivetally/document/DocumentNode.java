package org.chivetally.document;

import java.util.List;

/** A parsed value with the place of its first character; lines and columns count from one. */
sealed interface DocumentNode {
    /** Returns the line of the first character. */
    int line();

    /** Returns the column of the first character. */
    int column();

    /** Returns the article and name of the kind of value, for messages. */
    default String kind() {
        return switch (this) {
            case Scalar scalar -> scalar.isNull() ? "nothing" : "a single value";
            case Sequence ignored -> "a list";
            case Mapping ignored -> "a section";
        };
    }

    /** Tells whether this is an empty value or the word null. */
    default boolean isNull() {
        return false;
    }

    /**
     * A single value.
     *
     * @param plain whether it stands without quotes, so that it may mean a number, a flag or nothing
     */
    record Scalar(String text, boolean plain, int line, int column) implements DocumentNode {
        @Override
        public boolean isNull() {
            return plain && (text.isEmpty() || text.equals("~") || text.equalsIgnoreCase("null"));
        }
    }

    /** Values in order. */
    record Sequence(List<DocumentNode> items, int line, int column) implements DocumentNode {}

    /** Keys with their values in order; repeated keys are still in it. */
    record Mapping(List<MappingEntry> values, int line, int column) implements DocumentNode {}

    /** One key with its value. */
    record MappingEntry(Scalar key, DocumentNode value) {}
}
