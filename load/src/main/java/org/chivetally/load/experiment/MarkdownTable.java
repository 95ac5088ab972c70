package org.chivetally.load.experiment;

import java.util.ArrayList;
import java.util.List;

/** A table in Markdown. */
public final class MarkdownTable {
    private final List<String> headings;
    private final List<List<String>> rows = new ArrayList<>();

    /** Creates a table without rows. */
    public MarkdownTable(String... headings) {
        this.headings = List.of(headings);
    }

    /** Adds a row with one cell per heading. */
    public MarkdownTable row(String... cells) {
        if (cells.length != headings.size()) {
            throw new IllegalArgumentException(headings.size() + " cells expected, but got " + cells.length);
        }
        rows.add(List.of(cells));
        return this;
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        line(text, headings);
        line(text, headings.stream().map(heading -> "---").toList());
        rows.forEach(row -> line(text, row));
        return text.toString();
    }

    private static void line(StringBuilder text, List<String> cells) {
        text.append("| ").append(String.join(" | ", cells)).append(" |\n");
    }
}
