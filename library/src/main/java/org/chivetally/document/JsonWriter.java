package org.chivetally.document;

import java.io.StringWriter;
import java.util.regex.Pattern;
import tools.jackson.core.JsonGenerator;
import tools.jackson.core.ObjectWriteContext;
import tools.jackson.core.json.JsonFactory;

/** Writes nodes as JSON in the order of the document. Keeps duplicate keys; {@link Document} reports them. */
final class JsonWriter {
    private static final JsonFactory FACTORY = new JsonFactory();
    private static final Pattern NUMBER = Pattern.compile("-?(0|[1-9]\\d*)(\\.\\d+)?([eE][+-]?\\d+)?");

    private JsonWriter() {}

    static String write(DocumentNode node) {
        StringWriter text = new StringWriter();
        try (JsonGenerator generator = FACTORY.createGenerator(ObjectWriteContext.empty(), text)) {
            write(node, generator);
        }
        return text.toString();
    }

    private static void write(DocumentNode node, JsonGenerator generator) {
        switch (node) {
            case DocumentNode.Scalar scalar -> writeScalar(scalar, generator);
            case DocumentNode.Sequence list -> writeList(list, generator);
            case DocumentNode.Mapping section -> writeSection(section, generator);
        }
    }

    private static void writeList(DocumentNode.Sequence list, JsonGenerator generator) {
        generator.writeStartArray();
        for (DocumentNode item : list.items()) {
            write(item, generator);
        }
        generator.writeEndArray();
    }

    private static void writeSection(DocumentNode.Mapping section, JsonGenerator generator) {
        generator.writeStartObject();
        for (DocumentNode.MappingEntry value : section.values()) {
            generator.writeName(value.key().text());
            write(value.value(), generator);
        }
        generator.writeEndObject();
    }

    private static void writeScalar(DocumentNode.Scalar scalar, JsonGenerator generator) {
        String text = scalar.text();
        if (scalar.isNull()) {
            generator.writeNull();
        } else if (scalar.plain() && (text.equals("true") || text.equals("false"))) {
            generator.writeBoolean(text.equals("true"));
        } else if (scalar.plain() && NUMBER.matcher(text).matches()) {
            generator.writeNumber(text);
        } else {
            generator.writeString(text);
        }
    }
}
