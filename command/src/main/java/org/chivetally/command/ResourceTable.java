package org.chivetally.command;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.chivetally.command.output.Table;
import tools.jackson.databind.JsonNode;

/** Formats resources as a table with one row per resource, with its status and abbreviated specification. */
final class ResourceTable {
    private static final int MAXIMUM_CELL_LENGTH = 80;

    private ResourceTable() {}

    /** Returns the lines of the table for a list of resources, or for a single resource. */
    static List<String> lines(JsonNode document) {
        Table table = new Table("RESOURCE", "VERSION", "STATUS", "CHANGED BY", "SPEC");
        if (document.has("items")) {
            document.path("items").forEach(resource -> addRow(table, resource));
        } else {
            addRow(table, document);
        }
        return table.lines();
    }

    /** Returns kind and name of a resource document as {@code KIND/NAME}. */
    static String nameOf(JsonNode resource) {
        return resource.path("kind").asString("") + "/" + resource.path("name").asString("");
    }

    private static void addRow(Table table, JsonNode resource) {
        table.row(
                nameOf(resource),
                resource.path("version").asString(""),
                resource.path("status").path("state").asString(""),
                resource.path("changedBy").asString(""),
                abbreviated(resource.path("spec")));
    }

    private static String abbreviated(JsonNode section) {
        String text = section.properties().stream().map(ResourceTable::pair).collect(Collectors.joining(" "));
        return text.length() <= MAXIMUM_CELL_LENGTH ? text : text.substring(0, MAXIMUM_CELL_LENGTH) + "...";
    }

    private static String pair(Map.Entry<String, JsonNode> property) {
        JsonNode value = property.getValue();
        return property.getKey() + "=" + (value.isContainer() ? value.toString() : value.asString());
    }
}
