package org.chivetally.document;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * A mapping of keys to values in a document. Each accessor marks its key as known and records a mistake if the value is
 * invalid.
 *
 * <p>Defaults are returned without validation and may be null.
 */
public final class Section {
    private static final Pattern INTEGER = Pattern.compile("[+-]?\\d{1,18}");
    private static final Pattern DECIMAL = Pattern.compile("[+-]?\\d{1,18}(\\.\\d{1,18})?([eE][+-]?\\d{1,2})?");
    private static final int MAXIMUM_QUOTED_LENGTH = 60;

    private final Document document;
    private final DocumentNode.Mapping node;
    private final String path;
    private final Map<String, DocumentNode> values = new LinkedHashMap<>();
    private final Map<String, DocumentNode.Scalar> keys = new LinkedHashMap<>();
    private final Map<String, Section> children = new LinkedHashMap<>();
    private final TreeSet<String> requestedKeys = new TreeSet<>();

    Section(Document document, DocumentNode.Mapping node, String path) {
        this.document = document;
        this.node = node;
        this.path = path;
        for (DocumentNode.MappingEntry entry : node.values()) {
            keys.putIfAbsent(entry.key().text(), entry.key());
            values.putIfAbsent(entry.key().text(), entry.value());
        }
    }

    /** Returns the path of this section, such as {@code limits} or {@code seeds[2]}; empty for the root. */
    public String path() {
        return path;
    }

    /** Returns the place of this section, as {@code name:line:column}. */
    public String place() {
        return document.placeOf(node);
    }

    /** Returns the place of a key's value, or the place of this section if it has no such key. */
    public String place(String key) {
        return document.placeOf(values.getOrDefault(key, node));
    }

    /** Returns the keys of this section, in the order of the document. */
    public List<String> keys() {
        return List.copyOf(keys.keySet());
    }

    /** Returns whether the key is present with a value that is not null. */
    public boolean has(String key) {
        requestedKeys.add(key);
        DocumentNode value = values.get(key);
        return value != null && !value.isNull();
    }

    /** Returns whether no mistake has been found in the whole document so far. */
    public boolean isValid() {
        return document.mistakes().isEmpty();
    }

    /** Records a mistake at a key's value, for rules that involve several values. */
    public void mistake(String key, String message) {
        document.addMistake(values.getOrDefault(key, node), pathOf(key), message);
    }

    /** Returns a required text that must not be empty; an empty text if it is invalid. */
    public String requiredText(String key) {
        Optional<String> text = required(key);
        if (text.isPresent() && text.get().isEmpty()) {
            mistake(key, "must not be empty");
        }
        return text.orElse("");
    }

    /** Returns a text, or the default. */
    public String text(String key, String defaultValue) {
        return scalar(key).orElse(defaultValue);
    }

    /** Returns an integer within inclusive limits, or the default. */
    public long integer(String key, long minimum, long maximum, long defaultValue) {
        return scalar(key)
                .flatMap(text -> integerWithin(key, text, minimum, maximum))
                .orElse(defaultValue);
    }

    /** Returns a required integer within inclusive limits; the minimum if it is invalid. */
    public long requiredInteger(String key, long minimum, long maximum) {
        return required(key)
                .flatMap(text -> integerWithin(key, text, minimum, maximum))
                .orElse(minimum);
    }

    /** Returns a decimal number within inclusive limits, or the default. */
    public double decimal(String key, double minimum, double maximum, double defaultValue) {
        return scalar(key)
                .flatMap(text -> decimalWithin(key, text, minimum, maximum))
                .orElse(defaultValue);
    }

    /** Returns a duration such as {@code 250ms} within inclusive limits, or the default. */
    public Duration duration(String key, Duration minimum, Duration maximum, Duration defaultValue) {
        return scalar(key)
                .flatMap(text -> durationWithin(key, text, minimum, maximum))
                .orElse(defaultValue);
    }

    /** Returns a required duration within inclusive limits; the minimum if it is invalid. */
    public Duration requiredDuration(String key, Duration minimum, Duration maximum) {
        return required(key)
                .flatMap(text -> durationWithin(key, text, minimum, maximum))
                .orElse(minimum);
    }

    /** Returns a size such as {@code 16MiB} within inclusive limits, in bytes, or the default. */
    public long bytes(String key, long minimum, long maximum, long defaultValue) {
        return scalar(key)
                .flatMap(text -> bytesWithin(key, text, minimum, maximum))
                .orElse(defaultValue);
    }

    /** Returns a required size within inclusive limits, in bytes; the minimum if it is invalid. */
    public long requiredBytes(String key, long minimum, long maximum) {
        return required(key)
                .flatMap(text -> bytesWithin(key, text, minimum, maximum))
                .orElse(minimum);
    }

    /** Returns a boolean, or the default. */
    public boolean flag(String key, boolean defaultValue) {
        return scalar(key).flatMap(text -> flagOf(key, text)).orElse(defaultValue);
    }

    /** Returns a required boolean; false if it is invalid. */
    public boolean requiredFlag(String key) {
        return required(key).flatMap(text -> flagOf(key, text)).orElse(false);
    }

    /** Returns an enum constant, written as by {@link #kebabCase}, or the default. */
    public <E extends Enum<E>> E choice(String key, Class<E> type, E defaultValue) {
        return scalar(key).flatMap(text -> constant(key, text, type)).orElse(defaultValue);
    }

    /** Returns a required enum constant, written as by {@link #kebabCase}; the first constant if it is invalid. */
    public <E extends Enum<E>> E requiredChoice(String key, Class<E> type) {
        return required(key).flatMap(text -> constant(key, text, type)).orElseGet(() -> type.getEnumConstants()[0]);
    }

    /** Returns the name of an enum constant as written in documents: in lower case with hyphens. */
    public static String kebabCase(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the section at a key; an empty one if it is missing. */
    public Section section(String key) {
        requestedKeys.add(key);
        return children.computeIfAbsent(key, this::openSection);
    }

    /** Returns the list of sections at a key; empty if it is missing. */
    public List<Section> sections(String key) {
        List<Section> found = new ArrayList<>();
        List<DocumentNode> items = items(key);
        for (int position = 0; position < items.size(); position++) {
            String itemPath = pathOf(key) + "[" + position + "]";
            DocumentNode item = items.get(position);
            found.add(children.computeIfAbsent(itemPath, ignored -> sectionOf(item, itemPath)));
        }
        return List.copyOf(found);
    }

    /** Returns the sections at a key by their names, in the order of the document; empty if it is missing. */
    public Map<String, Section> namedSections(String key) {
        Section mapping = section(key);
        Map<String, Section> found = new LinkedHashMap<>();
        for (String name : mapping.keys()) {
            found.put(name, mapping.section(name));
        }
        return found;
    }

    /** Returns the list of texts at a key; empty if it is missing. */
    public List<String> texts(String key) {
        List<String> found = new ArrayList<>();
        List<DocumentNode> items = items(key);
        for (int position = 0; position < items.size(); position++) {
            textOf(items.get(position), pathOf(key) + "[" + position + "]").ifPresent(found::add);
        }
        return List.copyOf(found);
    }

    /** Returns the texts at a key by their names, in the order of the document; empty if it is missing. */
    public Map<String, String> map(String key) {
        Section mapping = section(key);
        Map<String, String> found = new LinkedHashMap<>();
        for (String name : mapping.keys()) {
            mapping.scalar(name).ifPresent(text -> found.put(name, text));
        }
        return found;
    }

    /** Returns a value of any kind as JSON text; empty if it is missing. */
    public Optional<String> json(String key) {
        requestedKeys.add(key);
        return Optional.ofNullable(values.get(key)).map(JsonWriter::write);
    }

    /** Returns the whole section as JSON text and marks all its keys as known. */
    public String toJson() {
        requestedKeys.addAll(keys.keySet());
        return JsonWriter.write(node);
    }

    /** Records a mistake for each key that was never requested; called by {@link Document#finish()}. */
    void rejectUnknownKeys() {
        for (Map.Entry<String, DocumentNode.Scalar> entry : keys.entrySet()) {
            if (!requestedKeys.contains(entry.getKey())) {
                document.addMistake(entry.getValue(), pathOf(entry.getKey()), "unknown key" + allowedKeys());
            }
        }
    }

    private String allowedKeys() {
        if (requestedKeys.isEmpty()) {
            return "; none is allowed here";
        }
        return "; allowed here: " + String.join(", ", requestedKeys);
    }

    private Section openSection(String key) {
        DocumentNode value = values.get(key);
        if (value instanceof DocumentNode.Mapping section) {
            return document.newSection(section, pathOf(key));
        }
        if (value != null && !value.isNull()) {
            mistake(key, "a section of keys and values is needed, not " + value.kind());
        }
        return emptySection(pathOf(key));
    }

    private Section sectionOf(DocumentNode item, String itemPath) {
        if (item instanceof DocumentNode.Mapping section) {
            return document.newSection(section, itemPath);
        }
        document.addMistake(item, itemPath, "a section of keys and values is needed, not " + item.kind());
        return document.newSection(Document.emptySection(item.line(), item.column()), itemPath);
    }

    private Section emptySection(String childPath) {
        return document.newSection(Document.emptySection(node.line(), node.column()), childPath);
    }

    private List<DocumentNode> items(String key) {
        requestedKeys.add(key);
        DocumentNode value = values.get(key);
        if (value == null || value.isNull()) {
            return List.of();
        }
        if (value instanceof DocumentNode.Sequence list) {
            return list.items();
        }
        mistake(key, "a list is needed, not " + value.kind());
        return List.of();
    }

    private Optional<String> required(String key) {
        requestedKeys.add(key);
        if (!values.containsKey(key)) {
            mistake(key, "is missing");
            return Optional.empty();
        }
        return scalar(key);
    }

    private Optional<String> scalar(String key) {
        requestedKeys.add(key);
        DocumentNode value = values.get(key);
        return value == null ? Optional.empty() : textOf(value, pathOf(key));
    }

    private Optional<String> textOf(DocumentNode value, String valuePath) {
        if (value instanceof DocumentNode.Scalar scalar && !scalar.isNull()) {
            return Optional.of(scalar.text());
        }
        document.addMistake(value, valuePath, "a single value is needed, not " + value.kind());
        return Optional.empty();
    }

    private Optional<Long> integerWithin(String key, String text, long minimum, long maximum) {
        Optional<Long> number = INTEGER.matcher(text).matches() ? Optional.of(Long.parseLong(text)) : Optional.empty();
        String expected = "a whole number from " + minimum + " to " + maximum;
        return within(key, text, number, minimum, maximum, expected);
    }

    private Optional<Double> decimalWithin(String key, String text, double minimum, double maximum) {
        Optional<Double> number =
                DECIMAL.matcher(text).matches() ? Optional.of(Double.parseDouble(text)) : Optional.empty();
        String expected = "a number from " + plain(minimum) + " to " + plain(maximum);
        return within(key, text, number, minimum, maximum, expected);
    }

    private static String plain(double number) {
        return BigDecimal.valueOf(number).stripTrailingZeros().toPlainString();
    }

    private Optional<Duration> durationWithin(String key, String text, Duration minimum, Duration maximum) {
        String expected = "a duration from " + Units.formatDuration(minimum) + " to " + Units.formatDuration(maximum)
                + ", as a whole number with us, ms, s, m or h";
        return within(key, text, Units.parseDuration(text), minimum, maximum, expected);
    }

    private Optional<Long> bytesWithin(String key, String text, long minimum, long maximum) {
        String expected = "a size from " + Units.formatBytes(minimum) + " to " + Units.formatBytes(maximum)
                + ", as a whole number with B, KiB, MiB, GiB or TiB";
        return within(key, text, Units.parseBytes(text), minimum, maximum, expected);
    }

    private <T extends Comparable<T>> Optional<T> within(
            String key, String text, Optional<T> value, T minimum, T maximum, String expected) {
        if (value.isPresent()
                && value.get().compareTo(minimum) >= 0
                && value.get().compareTo(maximum) <= 0) {
            return value;
        }
        mistake(key, quoted(text) + " is not " + expected);
        return Optional.empty();
    }

    private Optional<Boolean> flagOf(String key, String text) {
        if (text.equals("true") || text.equals("false")) {
            return Optional.of(text.equals("true"));
        }
        mistake(key, quoted(text) + " is not true or false");
        return Optional.empty();
    }

    private <E extends Enum<E>> Optional<E> constant(String key, String text, Class<E> type) {
        Function<E, String> name = Section::kebabCase;
        for (E constant : type.getEnumConstants()) {
            if (name.apply(constant).equals(text)) {
                return Optional.of(constant);
            }
        }
        String allowed = Arrays.stream(type.getEnumConstants()).map(name).collect(Collectors.joining(", "));
        mistake(key, quoted(text) + " is not one of " + allowed);
        return Optional.empty();
    }

    private static String quoted(String text) {
        String shown = text.length() <= MAXIMUM_QUOTED_LENGTH ? text : text.substring(0, MAXIMUM_QUOTED_LENGTH) + "...";
        return '"' + shown + '"';
    }

    private String pathOf(String key) {
        return join(path, key);
    }

    static String join(String path, String key) {
        return path.isEmpty() ? key : path + "." + key;
    }
}
