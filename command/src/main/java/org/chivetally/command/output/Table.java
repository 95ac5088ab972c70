package org.chivetally.command.output;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Table of text in aligned columns under headings. */
public final class Table {
    private static final String COLUMN_SEPARATOR = "  ";

    private final List<String> headings;
    private final List<List<String>> rows = new ArrayList<>();

    /** Creates an empty table with the given column headings. */
    public Table(String... headings) {
        this.headings = List.of(headings);
    }

    /** Appends a row with one cell for each column; an empty cell is shown as a dash. */
    public Table row(Object... cells) {
        if (cells.length != headings.size()) {
            throw new IllegalArgumentException("a row has " + headings.size() + " cells, not " + cells.length);
        }
        rows.add(IntStream.range(0, cells.length)
                .mapToObj(column -> cellText(cells[column]))
                .toList());
        return this;
    }

    /** Returns the lines, headings first, without trailing spaces. */
    public List<String> lines() {
        List<List<String>> all = new ArrayList<>();
        all.add(headings);
        all.addAll(rows);
        int[] widths = IntStream.range(0, headings.size())
                .map(column -> widest(all, column))
                .toArray();
        return all.stream().map(row -> line(row, widths)).toList();
    }

    private static String cellText(Object cell) {
        String text = String.valueOf(cell);
        return text.isEmpty() ? "-" : text;
    }

    private static int widest(List<List<String>> rows, int column) {
        return rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
    }

    private static String line(List<String> row, int[] widths) {
        return IntStream.range(0, widths.length)
                .mapToObj(column -> padded(row.get(column), widths[column]))
                .collect(Collectors.joining(COLUMN_SEPARATOR))
                .stripTrailing();
    }

    private static String padded(String text, int width) {
        return text + " ".repeat(width - text.length());
    }
}
