package org.chivetally.entry.submission;

import java.util.ArrayList;
import java.util.List;
import tools.jackson.core.JsonParser;
import tools.jackson.core.JsonToken;
import tools.jackson.core.ObjectReadContext;
import tools.jackson.core.StreamReadFeature;
import tools.jackson.core.json.JsonFactory;

/** Cuts JSON values out of a text without changing a character, so that payloads and answers pass as they are. */
public final class RawJson {
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();

    private RawJson() {}

    /** Opens a parser over a text that refuses repeated keys. */
    public static JsonParser parser(String text) {
        return FACTORY.createParser(ObjectReadContext.empty(), text);
    }

    /** Returns the text of the value that the parser stands at, and leaves the parser at the value's last token. */
    public static String slice(JsonParser parser, String text) {
        int start = (int) parser.currentTokenLocation().getCharOffset();
        parser.skipChildren();
        parser.finishToken();
        int end = (int) parser.currentLocation().getCharOffset();
        return text.substring(start, end).strip();
    }

    /** Returns the texts of the items of the list under a key of the outermost object; none when there is no list. */
    public static List<String> items(String text, String key) {
        List<String> found = new ArrayList<>();
        try (JsonParser parser = parser(text)) {
            parser.nextToken();
            while (parser.nextToken() == JsonToken.PROPERTY_NAME) {
                boolean wanted = parser.currentName().equals(key);
                boolean list = parser.nextToken() == JsonToken.START_ARRAY;
                if (!wanted || !list) {
                    parser.skipChildren();
                    continue;
                }
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    found.add(slice(parser, text));
                }
            }
        }
        return found;
    }
}
