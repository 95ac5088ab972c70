package org.chivetally.document;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One YAML or JSON document under strict reading.
 *
 * <p>A reader asks the {@link #root()} for what it knows; every wrong or missing value, and at {@link #finish()} every
 * key that nobody asked for, becomes a mistake with its place. Where a value is wrong, the default or a harmless
 * stand-in is returned, so that reading goes on to the next mistake; nothing may be built from the values before
 * {@code finish()} has reported none. Not safe for several threads.
 */
public final class Document {
    private final String name;
    private final Mistakes mistakes = new Mistakes();
    private final List<Section> sections = new ArrayList<>();
    private final Section root;
    private final boolean empty;
    private boolean finished;

    private Document(String name, DocumentNode node) {
        this.name = name;
        this.empty = node.isNull();
        reportRepeatedKeys(node, "");
        this.root = rootOf(node);
    }

    private Document(String name, Mistake mistake) {
        this(name, emptySection(1, 1));
        mistakes.add(mistake);
        // What could not be parsed has no keys: only the first mistake is worth telling.
        finished = true;
    }

    /**
     * Parses a text that holds one document; a second one is a mistake. An empty text is an empty root.
     *
     * @param place name of the file or source, which begins the place of each mistake
     */
    public static Document parse(String place, String text) {
        NodeReader.ParseResult reading = NodeReader.read(place, text);
        if (reading.mistake().isPresent()) {
            return new Document(place, reading.mistake().get());
        }
        if (reading.documents().isEmpty()) {
            return new Document(place, new DocumentNode.Scalar("", true, 1, 1));
        }
        Document document = new Document(place, reading.documents().getFirst());
        if (reading.documents().size() > 1) {
            document.addMistake(reading.documents().get(1), "", "only one document is allowed here");
        }
        return document;
    }

    /**
     * Parses a text that holds several documents, parted by {@code ---}; empty ones are left out.
     *
     * @return each document with its own mistakes; a malformed one ends the list with its mistake
     */
    public static List<Document> parseAll(String place, String text) {
        NodeReader.ParseResult reading = NodeReader.read(place, text);
        List<Document> documents = new ArrayList<>();
        for (DocumentNode node : reading.documents()) {
            if (!node.isNull()) {
                documents.add(new Document(place, node));
            }
        }
        reading.mistake().ifPresent(mistake -> documents.add(new Document(place, mistake)));
        return List.copyOf(documents);
    }

    /** Returns the outermost section; empty when the text could not be parsed. */
    public Section root() {
        return root;
    }

    /** Reports a mistake when the text holds no value at all. */
    public void requireNotEmpty() {
        if (empty) {
            mistakes.add(new Mistake(name + ":1:1", "", "a section of keys and values is needed, not nothing"));
        }
    }

    /** Returns the mistakes found so far. */
    public Mistakes mistakes() {
        return mistakes;
    }

    /** Reports every key that was never asked for, once, and returns all mistakes. */
    public Mistakes finish() {
        if (!finished) {
            finished = true;
            List.copyOf(sections).forEach(Section::rejectUnknownKeys);
        }
        return mistakes;
    }

    Section newSection(DocumentNode.Mapping node, String path) {
        Section section = new Section(this, node, path);
        sections.add(section);
        return section;
    }

    void addMistake(DocumentNode at, String path, String message) {
        mistakes.add(new Mistake(placeOf(at), path, message));
    }

    String placeOf(DocumentNode node) {
        return name + ":" + node.line() + ":" + node.column();
    }

    static DocumentNode.Mapping emptySection(int line, int column) {
        return new DocumentNode.Mapping(List.of(), line, column);
    }

    private void reportRepeatedKeys(DocumentNode node, String path) {
        switch (node) {
            case DocumentNode.Scalar ignored -> {}
            case DocumentNode.Sequence list -> {
                for (int position = 0; position < list.items().size(); position++) {
                    reportRepeatedKeys(list.items().get(position), path + "[" + position + "]");
                }
            }
            case DocumentNode.Mapping section -> reportRepeatedKeysOf(section, path);
        }
    }

    private void reportRepeatedKeysOf(DocumentNode.Mapping section, String path) {
        Map<String, DocumentNode.Scalar> first = new HashMap<>();
        for (DocumentNode.MappingEntry entry : section.values()) {
            String key = entry.key().text();
            String keyPath = Section.join(path, key);
            DocumentNode.Scalar earlier = first.putIfAbsent(key, entry.key());
            if (earlier != null) {
                addMistake(entry.key(), keyPath, "the key stands twice, first at " + placeOf(earlier));
            }
            reportRepeatedKeys(entry.value(), keyPath);
        }
    }

    private Section rootOf(DocumentNode node) {
        if (node instanceof DocumentNode.Mapping values) {
            return newSection(values, "");
        }
        if (!node.isNull()) {
            addMistake(node, "", "a section of keys and values is needed, not " + node.kind());
        }
        return newSection(emptySection(node.line(), node.column()), "");
    }
}
