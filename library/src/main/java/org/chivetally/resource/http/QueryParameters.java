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
 * Strict parser of the query parameters of one request.
 *
 * <p>Rejects unknown parameters: with a mistyped {@code dryRun} the request would otherwise make the change instead of
 * previewing it. Callers read every allowed parameter, then call {@link #finish()} for the mistakes found.
 */
final class QueryParameters {
    private final Map<String, List<String>> values;
    private final Set<String> knownNames = new TreeSet<>();
    private final Mistakes mistakes = new Mistakes();

    QueryParameters(HttpRequest request) {
        this.values = request.getUri().query().toMultiMap();
    }

    /** Returns the value of a boolean parameter, false if it is absent. */
    boolean flag(String name) {
        String text = singleValue(name, "false");
        if (!text.equals("true") && !text.equals("false")) {
            addMistake(name, "\"" + text + "\" is not true or false");
        }
        return text.equals("true");
    }

    /** Returns a resource version, or empty if the parameter is absent or malformed. */
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

    /** Returns the labels given by repeated parameters such as {@code label=owner=payments}. */
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

    /** Returns all mistakes, including one for each parameter that no call has read. */
    Mistakes finish() {
        for (String name : values.keySet()) {
            if (!knownNames.contains(name)) {
                addMistake(name, "unknown parameter; allowed here: " + String.join(", ", knownNames));
            }
        }
        return mistakes;
    }

    /** Parses a version of at most 18 digits, which always fits in a long; returns empty for any other text. */
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
