package org.chivetally.resource.http;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.chivetally.document.Mistake;
import org.chivetally.document.Mistakes;

/**
 * Query parameters of one request under strict reading.
 *
 * <p>An unknown parameter is refused: a mistyped {@code dryRun} would otherwise make the change that it was to preview.
 */
final class QueryParameters {
    private final Map<String, List<String>> values;
    private final Set<String> knownNames = new TreeSet<>();
    private final Mistakes mistakes = new Mistakes();

    QueryParameters(HttpRequest request) {
        this.values = request.getUri().query().toMultiMap();
    }

    boolean flag(String name) {
        String text = singleValue(name, "false");
        if (!text.equals("true") && !text.equals("false")) {
            addMistake(name, "\"" + text + "\" is not true or false");
        }
        return text.equals("true");
    }

    OptionalLong version(String name) {
        String text = singleValue(name, "");
        if (text.isEmpty()) {
            return OptionalLong.empty();
        }
        OptionalLong version = parseVersion(text);
        if (version.isEmpty()) {
            addMistake(name, "\"" + text + "\" is not a version: a whole number from 0");
        }
        return version;
    }

    /** Returns the labels of parameters of the form {@code label=name=value}. */
    Map<String, String> labels(String name) {
        knownNames.add(name);
        Map<String, String> labels = new LinkedHashMap<>();
        for (String text : values.getOrDefault(name, List.of())) {
            int separator = text.indexOf('=');
            if (separator < 1) {
                addMistake(name, "\"" + text + "\" is not of the form name=value");
            } else {
                labels.put(text.substring(0, separator), text.substring(separator + 1));
            }
        }
        return labels;
    }

    void addMistake(String name, String message) {
        mistakes.add(new Mistake("query", name, message));
    }

    Mistakes finish() {
        for (String name : values.keySet()) {
            if (!knownNames.contains(name)) {
                addMistake(name, "unknown parameter; allowed here: " + String.join(", ", knownNames));
            }
        }
        return mistakes;
    }

    static OptionalLong parseVersion(String text) {
        return text.matches("[0-9]{1,18}") ? OptionalLong.of(Long.parseLong(text)) : OptionalLong.empty();
    }

    private String singleValue(String name, String defaultValue) {
        knownNames.add(name);
        List<String> occurrences = values.getOrDefault(name, List.of());
        if (occurrences.size() > 1) {
            addMistake(name, "stands " + occurrences.size() + " times");
        }
        return occurrences.isEmpty() ? defaultValue : occurrences.getFirst();
    }
}
