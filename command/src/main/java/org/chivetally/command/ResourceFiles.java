package org.chivetally.command;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.chivetally.resource.DeclaredResource;
import org.chivetally.resource.ResourceDocuments;
import tools.jackson.databind.json.JsonMapper;
import tools.jackson.databind.node.ArrayNode;
import tools.jackson.databind.node.ObjectNode;

/**
 * Resources declared in files, which are validated before they are sent so that mistakes are reported with file, line
 * and column.
 */
record ResourceFiles(List<DeclaredResource> resources) {
    private static final JsonMapper MAPPER = JsonMapper.shared();

    /**
     * Reads the given files and the YAML and JSON files of the given folders; throws an exception that lists all
     * mistakes if there are any.
     */
    static ResourceFiles read(List<Path> paths) {
        Map<String, String> texts = new LinkedHashMap<>();
        for (Path path : paths) {
            DocumentFile.documentFiles(path).forEach(file -> texts.put(file.toString(), DocumentFile.text(file)));
        }
        ResourceDocuments.Declared declared = ResourceDocuments.readFiles(texts);
        declared.mistakes().requireNone();
        return new ResourceFiles(declared.resources());
    }

    /**
     * Returns the body of a request that applies all resources atomically.
     *
     * @param basedOn versions that the changes are based on, by {@code KIND/NAME}
     * @param prune labels of the resources that are deleted unless they are declared; if empty, none are deleted
     */
    ObjectNode request(Map<String, Long> basedOn, Map<String, String> prune) {
        ObjectNode request = MAPPER.createObjectNode();
        ArrayNode resourceNodes = request.putArray("resources");
        for (DeclaredResource resource : resources) {
            ObjectNode node = resourceNodes.addObject();
            node.put("kind", resource.key().kind().singular());
            node.put("name", resource.key().name());
            resource.content().labels().forEach(node.putObject("labels")::put);
            node.set("spec", MAPPER.readTree(resource.content().spec()));
            Long baseVersion = basedOn.get(resource.key().toString());
            if (baseVersion != null) {
                node.put("basedOn", baseVersion);
            }
        }
        if (!prune.isEmpty()) {
            prune.forEach(request.putObject("prune").putObject("labels")::put);
        }
        return request;
    }
}
