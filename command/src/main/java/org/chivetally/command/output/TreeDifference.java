package org.chivetally.command.output;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.TreeMap;
import tools.jackson.databind.JsonNode;

/** Lists the differences between two JSON trees, with one line per differing scalar value, sorted by path. */
public final class TreeDifference {
    private TreeDifference() {}

    /**
     * Returns lines that begin with {@code -} for values only in the old tree, and {@code +} for values only in the
     * new.
     */
    public static List<String> lines(JsonNode old, JsonNode updated) {
        TreeMap<String, String> before = values(old);
        TreeMap<String, String> after = values(updated);
        TreeMap<String, String> paths = new TreeMap<>(before);
        paths.putAll(after);
        List<String> lines = new ArrayList<>();
        for (String path : paths.keySet()) {
            addLines(lines, path, before.get(path), after.get(path));
        }
        return List.copyOf(lines);
    }

    private static void addLines(List<String> lines, String path, String before, String after) {
        if (Objects.equals(before, after)) {
            return;
        }
        if (before != null) {
            lines.add("  - " + path + ": " + before);
        }
        if (after != null) {
            lines.add("  + " + path + ": " + after);
        }
    }

    private static TreeMap<String, String> values(JsonNode tree) {
        TreeMap<String, String> found = new TreeMap<>();
        collect(tree, "", found);
        return found;
    }

    private static void collect(JsonNode node, String path, TreeMap<String, String> found) {
        if (node.isObject()) {
            node.properties()
                    .forEach(property -> collect(property.getValue(), childPath(path, property.getKey()), found));
        } else if (node.isArray()) {
            for (int position = 0; position < node.size(); position++) {
                collect(node.get(position), path + "[" + position + "]", found);
            }
        } else if (!node.isMissingNode()) {
            found.put(path, node.toString());
        }
    }

    private static String childPath(String path, String key) {
        return path.isEmpty() ? key : path + "." + key;
    }
}
