package org.chivetally.resource;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.regex.Pattern;
import org.chivetally.document.Document;
import org.chivetally.document.Mistake;
import org.chivetally.document.Mistakes;
import org.chivetally.document.Section;

/** Reads declarations of resources from files and bodies, with every mistake and its place. */
public final class ResourceDocuments {
    /** Longest canonical spec, in characters. */
    public static final int MAXIMUM_SPEC_LENGTH = 64 * 1024;

    private static final int MOST_LABELS = 32;
    private static final Pattern LABEL = Pattern.compile("[A-Za-z0-9]([A-Za-z0-9_./-]{0,61}[A-Za-z0-9])?");
    private static final Pattern LABEL_VALUE = Pattern.compile("[^\\p{Cntrl}]{0,63}");

    private ResourceDocuments() {}

    /**
     * What some documents declare; the resources may be used only without mistakes.
     *
     * @param resources those without mistakes, in the documents' order
     */
    public record Declared(List<DeclaredResource> resources, Mistakes mistakes) {
        /** Copies the list. */
        public Declared {
            resources = List.copyOf(resources);
        }
    }

    /**
     * Reads files that belong together, such as a folder: a resource may stand in them once only.
     *
     * @param texts contents by names of the files
     */
    public static Declared readFiles(Map<String, String> texts) {
        List<DeclaredResource> resources = new ArrayList<>();
        Mistakes mistakes = new Mistakes();
        for (Map.Entry<String, String> file : texts.entrySet()) {
            for (Document document : Document.parseAll(file.getKey(), file.getValue())) {
                readResource(document.root()).ifPresent(resources::add);
                mistakes.addAll(document.finish());
            }
        }
        refuseRepeats(resources, mistakes);
        return new Declared(resources, mistakes);
    }

    /** Reads one file that may hold several documents. */
    public static Declared readFile(String place, String text) {
        return readFiles(Map.of(place, text));
    }

    /**
     * Reads labels and spec of a resource whose kind and name are known; they may be repeated in the text.
     *
     * <p>A text without any value is refused: a body lost on its way would otherwise set everything back to its
     * default.
     */
    public static Declared readBody(String place, ResourceKey key, String text) {
        Document document = Document.parse(place, text);
        document.requireNotEmpty();
        Section root = document.root();
        refuseOther(root, "kind", key.kind().singular());
        refuseOther(root, "name", key.name());
        Optional<DeclaredResource> resource = readContent(root, key);
        Mistakes mistakes = document.finish();
        return new Declared(mistakes.isEmpty() ? resource.stream().toList() : List.of(), mistakes);
    }

    /** Reads one resource with its kind and name from a section; the caller finishes the document. */
    public static Optional<DeclaredResource> readResource(Section section) {
        String word = section.requiredText("kind");
        Optional<ResourceKind> kind = ResourceKind.of(word);
        if (kind.isEmpty() && !word.isEmpty()) {
            section.mistake("kind", "\"" + word + "\" is not one of " + allowedKinds());
        }
        String name = section.requiredText("name");
        boolean isName = ResourceKey.isName(name);
        if (!isName && !name.isEmpty()) {
            section.mistake("name", ResourceKey.NAME_RULE);
        }
        if (kind.isPresent()) {
            // Without a usable name the rest is still read, so that its mistakes are told in the same report.
            return readContent(section, new ResourceKey(kind.get(), isName ? name : "unnamed"));
        }
        // Without a kind there is no schema: what stands below is neither checked nor called unknown.
        readLabels(section);
        section.json("spec");
        return Optional.empty();
    }

    /** Adds a mistake for each resource that an earlier one declares as well. */
    public static void refuseRepeats(List<DeclaredResource> resources, Mistakes mistakes) {
        Map<ResourceKey, String> first = new TreeMap<>();
        for (DeclaredResource resource : resources) {
            String earlier = first.putIfAbsent(resource.key(), resource.place());
            if (earlier != null) {
                String message = resource.key() + " stands twice, first at " + earlier;
                mistakes.add(new Mistake(resource.place(), "", message));
            }
        }
    }

    private static Optional<DeclaredResource> readContent(Section section, ResourceKey key) {
        Map<String, String> labels = readLabels(section);
        Section spec = section.section("spec");
        Optional<String> canonical = key.kind().schema().canonical(key.name(), spec);
        if (canonical.isPresent() && canonical.get().length() > MAXIMUM_SPEC_LENGTH) {
            section.mistake("spec", "longer than " + MAXIMUM_SPEC_LENGTH + " characters");
            return Optional.empty();
        }
        return canonical.map(json -> new DeclaredResource(key, Change.Content.of(labels, json), section.place()));
    }

    private static Map<String, String> readLabels(Section resource) {
        Map<String, String> labels = new TreeMap<>();
        Section section = resource.section("labels");
        for (String label : section.keys()) {
            String value = section.text(label, "");
            if (!LABEL.matcher(label).matches()) {
                section.mistake(
                        label, "a label has 1 to 63 characters of A-Z, a-z, 0-9, hyphen, dot, slash, underscore");
            }
            if (!LABEL_VALUE.matcher(value).matches()) {
                section.mistake(label, "a label's value has at most 63 characters and no control characters");
            }
            labels.put(label, value);
        }
        if (labels.size() > MOST_LABELS) {
            resource.mistake("labels", "more than " + MOST_LABELS + " labels");
        }
        return labels;
    }

    private static void refuseOther(Section root, String key, String wanted) {
        String given = root.text(key, wanted);
        boolean isSame = given.equals(wanted)
                || key.equals("kind") && ResourceKind.of(given).equals(ResourceKind.of(wanted));
        if (!isSame) {
            root.mistake(key, "the address says " + wanted);
        }
    }

    private static String allowedKinds() {
        List<String> words = new ArrayList<>();
        for (ResourceKind kind : ResourceKind.values()) {
            words.add(kind.singular());
        }
        return String.join(", ", words);
    }
}
