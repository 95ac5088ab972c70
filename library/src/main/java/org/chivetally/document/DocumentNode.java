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
            case Scalar scalar -> scalar.missing() ? "nothing" : "a single value";
            case ItemList ignored -> "a list";
            case KeyedValues ignored -> "a section";
        };
    }

    /** Tells whether this is an empty value or the word null. */
    default boolean missing() {
        return false;
    }

    /**
     * A single value.
     *
     * @param plain whether it stands without quotes, so that it may mean a number, a flag or nothing
     */
    record Scalar(String text, boolean plain, int line, int column) implements DocumentNode {
        @Override
        public boolean missing() {
            return plain && (text.isEmpty() || text.equals("~") || text.equalsIgnoreCase("null"));
        }
    }

    /** Values in order. */
    record ItemList(List<DocumentNode> items, int line, int column) implements DocumentNode {}

    /** Keys with their values in order; repeated keys are still in it. */
    record KeyedValues(List<KeyedValue> values, int line, int column) implements DocumentNode {}

    /** One key with its value. */
    record KeyedValue(Scalar key, DocumentNode value) {}
}
