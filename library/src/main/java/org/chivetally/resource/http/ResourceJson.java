package org.chivetally.resource.http;

import java.util.Map;
import org.chivetally.document.Section;
import org.chivetally.resource.Change;
import org.chivetally.resource.Conflict;
import org.chivetally.resource.Resource;
import org.chivetally.resource.ResourceKey;
import org.chivetally.resource.ResourceStatus;
import org.chivetally.resource.WatchEvent;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.json.JsonMapper;
import tools.jackson.databind.node.JsonNodeFactory;
import tools.jackson.databind.node.ObjectNode;

/** Converts resources, their status and watch events to JSON. */
final class ResourceJson {
    private static final JsonMapper MAPPER = new JsonMapper();

    private ResourceJson() {}

    static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    static void write(ObjectNode node, ResourceKey key) {
        node.put("kind", key.kind().singular()).put("name", key.name());
    }

    static void write(ObjectNode node, Conflict conflict) {
        write(node, conflict.key());
        node.put("basedOn", conflict.basedOn()).put("current", conflict.current());
        node.put("deleted", conflict.deleted()).put("changedBy", conflict.changedBy());
    }

    static void write(ObjectNode node, Change.Content content) {
        ObjectNode labels = node.putObject("labels");
        for (Map.Entry<String, String> label : content.labels().entrySet()) {
            labels.put(label.getKey(), label.getValue());
        }
        node.set("spec", specToJson(content.spec()));
    }

    static ObjectNode of(Resource resource) {
        ObjectNode node = object();
        write(node, resource.key());
        write(node, new Change.Content(resource.labels(), resource.spec()));
        node.put("version", resource.version());
        node.put("changedBy", resource.changedBy()).put("changedAt", resource.changedAt());
        return node;
    }

    static ObjectNode of(Resource resource, ResourceStatus status) {
        ObjectNode node = of(resource);
        node.set("status", of(status));
        return node;
    }

    static ObjectNode of(ResourceStatus status) {
        ObjectNode node = object().put("state", status.state().text());
        status.age().ifPresent(age -> node.put("ageMillis", age.toMillis()));
        status.report()
                .ifPresent(report -> node.put("agent", report.agent())
                        .put("failureDomain", report.failureDomain())
                        .put("freeSlots", report.freeSlots())
                        .put("queued", report.queued())
                        .put("running", report.running())
                        .put("draining", report.draining())
                        .put("unhealthy", report.unhealthy()));
        return node;
    }

    static ObjectNode of(WatchEvent event) {
        return switch (event) {
            case WatchEvent.Changed changed -> {
                ObjectNode node = object().put("type", Section.kebabCase(changed.type()));
                node.put("version", changed.resource().version()).put("resumeFrom", changed.resumeFrom());
                node.set("resource", of(changed.resource()));
                yield node;
            }
            case WatchEvent.Bookmark bookmark ->
                object().put("type", "bookmark")
                        .put("version", bookmark.version())
                        .put("resumeFrom", bookmark.version());
            case WatchEvent.Ended ended ->
                object().put("type", "error").put("code", ended.code().text()).put("detail", ended.detail());
        };
    }

    // Specs are not parsed when the log is replayed. A spec that is not valid JSON is returned as a string, since an
    // exception would end the list or watch for all other resources.
    private static JsonNode specToJson(String spec) {
        try {
            return MAPPER.readTree(spec);
        } catch (JacksonException malformed) {
            return JsonNodeFactory.instance.stringNode(spec);
        }
    }
}
