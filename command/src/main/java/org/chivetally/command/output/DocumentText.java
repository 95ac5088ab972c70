package org.chivetally.command.output;

import java.util.List;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.SerializationFeature;
import tools.jackson.databind.json.JsonMapper;
import tools.jackson.dataformat.yaml.YAMLMapper;
import tools.jackson.dataformat.yaml.YAMLWriteFeature;

/** Formats JSON trees as text for standard output. */
public final class DocumentText {
    private static final JsonMapper JSON_MAPPER =
            JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();
    private static final YAMLMapper YAML_MAPPER = YAMLMapper.builder()
            .disable(YAMLWriteFeature.WRITE_DOC_START_MARKER)
            .enable(YAMLWriteFeature.MINIMIZE_QUOTES)
            .build();

    private DocumentText() {}

    /**
     * Returns the lines of a tree as JSON or YAML; {@link OutputFormat#TABLE}, which can't show every tree, becomes
     * YAML.
     */
    public static List<String> lines(JsonNode tree, OutputFormat format) {
        return text(tree, format).stripTrailing().lines().toList();
    }

    private static String text(JsonNode tree, OutputFormat format) {
        return switch (format) {
            case JSON -> JSON_MAPPER.writeValueAsString(tree);
            case YAML, TABLE -> YAML_MAPPER.writeValueAsString(tree);
        };
    }
}
