package org.chivetally.command;

import java.util.Optional;
import org.chivetally.command.output.OutputFormat;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.json.JsonMapper;

/** Prints the events of a watch and tracks the version from which to resume it. */
final class WatchOutput {
    private static final String BOOKMARK = "bookmark";
    private static final String ERROR = "error";

    private final Console console;
    private final OutputFormat format;
    private final Long maximumCount;
    private Optional<Long> resumeFrom;
    private long shownCount;

    WatchOutput(Console console, OutputFormat format, Long most, Long from) {
        this.console = console;
        this.format = format;
        this.maximumCount = most;
        this.resumeFrom = Optional.ofNullable(from);
    }

    /** Prints one event; returns false if the stream is to be closed. */
    boolean line(String text) {
        JsonNode event = JsonMapper.shared().readTree(text);
        String type = event.path("type").asString("");
        if (event.has("resumeFrom")) {
            resumeAt(event.path("resumeFrom").asLong(0));
        }
        if (type.equals(ERROR)) {
            console.errorLine("the watch ended: " + event.path("detail").asString("") + "; resuming it");
            return false;
        }
        if (!type.equals(BOOKMARK)) {
            show(type, event, event.path("resource"));
        }
        return !isComplete();
    }

    /** Prints a resource that was listed because its changes are no longer stored. */
    void showListed(JsonNode resource) {
        show("listed", resource, resource);
    }

    void resumeAt(long version) {
        resumeFrom = Optional.of(version);
    }

    Optional<Long> resumeFrom() {
        return resumeFrom;
    }

    boolean isComplete() {
        return maximumCount != null && shownCount >= maximumCount;
    }

    private void show(String type, JsonNode whole, JsonNode resource) {
        shownCount++;
        switch (format) {
            case TABLE ->
                console.line(type + " " + ResourceTable.nameOf(resource) + " version "
                        + resource.path("version").asString("") + " by "
                        + resource.path("changedBy").asString(""));
            case JSON -> console.line(whole.toString());
            case YAML -> {
                console.line("---");
                console.document(whole, format);
            }
        }
    }
}
