package org.chivetally.resource.http;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chivetally.document.Document;
import org.chivetally.document.Mistakes;
import org.chivetally.document.Section;
import org.chivetally.resource.DeclaredResource;
import org.chivetally.resource.ResourceDocuments;
import org.chivetally.resource.ResourceKey;
import org.chivetally.resource.WriteRecord;

/**
 * Body of {@code POST /v1/apply}. Other components are valid only if there are no mistakes.
 *
 * @param resources resources to create or replace
 * @param basedOn versions on which the changes are based, for the resources that give one
 * @param prune labels that select the resources to delete if the request does not declare them; empty deletes none
 * @param mistakes mistakes found in the body
 */
record ApplyRequest(
        List<DeclaredResource> resources,
        Map<ResourceKey, Long> basedOn,
        Map<String, String> prune,
        Mistakes mistakes) {
    private static final String PLACE = "body";
    private static final long UNSPECIFIED_VERSION = -1;

    static ApplyRequest read(String body) {
        Document document = Document.parse(PLACE, body);
        Section root = document.root();
        List<DeclaredResource> resources = new ArrayList<>();
        Map<ResourceKey, Long> basedOn = new HashMap<>();
        for (Section section : root.sections("resources")) {
            long basedOnVersion = section.integer("basedOn", 0, Long.MAX_VALUE, UNSPECIFIED_VERSION);
            Optional<DeclaredResource> resource = ResourceDocuments.readResource(section);
            resource.ifPresent(resources::add);
            resource.filter(ignored -> basedOnVersion != UNSPECIFIED_VERSION)
                    .ifPresent(declared -> basedOn.put(declared.key(), basedOnVersion));
        }
        Map<String, String> prune = readPrune(root);
        checkResourceCount(root);
        Mistakes mistakes = document.finish();
        ResourceDocuments.refuseRepeats(resources, mistakes);
        return new ApplyRequest(resources, basedOn, prune, mistakes);
    }

    private static void checkResourceCount(Section root) {
        int count = root.sections("resources").size();
        // Pruning against an empty list, as from a mistyped folder, would delete every resource with the labels.
        if (count == 0 || count > WriteRecord.MAXIMUM_CHANGES) {
            root.mistake("resources", "1 to " + WriteRecord.MAXIMUM_CHANGES + " resources are needed, not " + count);
        }
    }

    private static Map<String, String> readPrune(Section root) {
        Section prune = root.section("prune");
        if (!root.has("prune")) {
            return Map.of();
        }
        Map<String, String> labels = prune.map("labels");
        if (labels.isEmpty()) {
            prune.mistake("labels", "at least one label is needed, or everything would be pruned");
        }
        return labels;
    }
}
