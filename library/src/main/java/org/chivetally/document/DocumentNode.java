package org.chivetally.document;

import java.util.List;

/** A parsed value with the place of its first character; lines and columns are counted from 1. */
sealed interface DocumentNode {
    /** Returns the line of the first character, counted from 1. */
    int line();

    /** Returns the column of the first character, counted from 1. */
    int column();

    /** Returns the kind of value with its article, for messages. */
    default String kind() {
        return switch (this) {
            case Scalar scalar -> scalar.isNull() ? "nothing" : "a single value";
            case Sequence ignored -> "a list";
            case Mapping ignored -> "a section";
        };
    }

    /** Returns whether this is an empty or null value. */
    default boolean isNull() {
        return false;
    }

    /**
     * A single value.
     *
     * @param text value without quotes and escapes
     * @param plain whether the value is unquoted, so that it may be a number, a boolean or null
     * @param line line of the first character, counted from 1
     * @param column column of the first character, counted from 1
     */
    record Scalar(String text, boolean plain, int line, int column) implements DocumentNode {
        @Override
        public boolean isNull() {
            return plain && (text.isEmpty() || text.equals("~") || text.equalsIgnoreCase("null"));
        }
    }

    /** A list of values. */
    record Sequence(List<DocumentNode> items, int line, int column) implements DocumentNode {}

    /** Keys with their values, in the order of the document and with duplicate keys. */
    record Mapping(List<MappingEntry> values, int line, int column) implements DocumentNode {}

    /** A key with its value. */
    record MappingEntry(Scalar key, DocumentNode value) {}
}
