package org.chivetally.document;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A YAML or JSON document that is validated strictly.
 *
 * <p>Readers request values from the {@link #root()}. Each invalid or missing value is recorded as a mistake with its
 * place, and so is, in {@link #finish()}, each key that was never requested. An invalid value is replaced by the
 * default or a placeholder so that all mistakes are found in one pass; the values must not be used unless
 * {@code finish()} returns no mistakes. Not thread-safe.
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
        // A malformed document has no keys; checks for unknown keys would only report consequential errors.
        finished = true;
    }

    /**
     * Parses a text with a single document; a second document is a mistake. An empty text gives an empty root.
     *
     * @param place name of the file or source, used as prefix of the place of each mistake
     */
    public static Document parse(String place, String text) {
        NodeReader.ParseResult result = NodeReader.read(place, text);
        if (result.mistake().isPresent()) {
            return new Document(place, result.mistake().get());
        }
        if (result.documents().isEmpty()) {
            return new Document(place, new DocumentNode.Scalar("", true, 1, 1));
        }
        Document document = new Document(place, result.documents().getFirst());
        if (result.documents().size() > 1) {
            document.addMistake(result.documents().get(1), "", "only one document is allowed here");
        }
        return document;
    }

    /**
     * Parses a text with several documents, separated by {@code ---}; empty documents are skipped.
     *
     * @param place name of the file or source, used as prefix of the place of each mistake
     * @return the documents, each with its own mistakes; parsing ends at a malformed one, which is the last in the list
     */
    public static List<Document> parseAll(String place, String text) {
        NodeReader.ParseResult result = NodeReader.read(place, text);
        List<Document> documents = new ArrayList<>();
        for (DocumentNode node : result.documents()) {
            if (!node.isNull()) {
                documents.add(new Document(place, node));
            }
        }
        result.mistake().ifPresent(mistake -> documents.add(new Document(place, mistake)));
        return List.copyOf(documents);
    }

    /** Returns the top-level section; empty if the text is malformed. */
    public Section root() {
        return root;
    }

    /** Records a mistake if the document is empty. */
    public void requireNotEmpty() {
        if (empty) {
            mistakes.add(new Mistake(name + ":1:1", "", "a section of keys and values is needed, not nothing"));
        }
    }

    /** Returns the mistakes that have been found so far. */
    public Mistakes mistakes() {
        return mistakes;
    }

    /** Records a mistake for each key that was never requested, and returns all mistakes. */
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
