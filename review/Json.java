import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Minimal JSON reader and writer: objects are maps, arrays are lists, integral numbers are longs. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object read(String text) {
        Json reader = new Json(text);
        Object value = reader.value();
        reader.skipBlanks();
        if (reader.at != text.length()) {
            throw new IllegalArgumentException("text after the JSON value at " + reader.at);
        }
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) read(text);
    }

    static long integer(Map<String, Object> object, String name, long absent) {
        return object.get(name) instanceof Number number ? number.longValue() : absent;
    }

    static String text(Map<String, Object> object, String name) {
        return object.get(name) instanceof String string ? string : "";
    }

    private Object value() {
        skipBlanks();
        char first = text.charAt(at);
        return switch (first) {
            case '{' -> objectValue();
            case '[' -> arrayValue();
            case '"' -> string();
            case 't' -> literal("true", true);
            case 'f' -> literal("false", false);
            case 'n' -> literal("null", null);
            default -> number();
        };
    }

    private Object literal(String word, Object value) {
        if (!text.startsWith(word, at)) {
            throw new IllegalArgumentException("bad JSON at " + at);
        }
        at += word.length();
        return value;
    }

    private Object number() {
        int start = at;
        while (at < text.length() && "+-.eE0123456789".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
        String number = text.substring(start, at);
        return number.matches("-?\\d+") ? (Object) Long.valueOf(number) : (Object) Double.valueOf(number);
    }

    private String string() {
        StringBuilder result = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                result.append(c);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n' -> result.append('\n');
                case 't' -> result.append('\t');
                case 'r' -> result.append('\r');
                case 'b' -> result.append('\b');
                case 'f' -> result.append('\f');
                case 'u' -> {
                    result.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> result.append(escaped);
            }
        }
        at++;
        return result.toString();
    }

    private Map<String, Object> objectValue() {
        Map<String, Object> result = new LinkedHashMap<>();
        at++;
        skipBlanks();
        while (text.charAt(at) != '}') {
            skipBlanks();
            String name = string();
            skipBlanks();
            at++;
            result.put(name, value());
            skipBlanks();
            if (text.charAt(at) == ',') {
                at++;
            }
        }
        at++;
        return result;
    }

    private List<Object> arrayValue() {
        List<Object> result = new ArrayList<>();
        at++;
        skipBlanks();
        while (text.charAt(at) != ']') {
            result.add(value());
            skipBlanks();
            if (text.charAt(at) == ',') {
                at++;
            }
            skipBlanks();
        }
        at++;
        return result;
    }

    private void skipBlanks() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        switch (value) {
            case null -> out.append("null");
            case Map<?, ?> map -> {
                out.append('{');
                String separator = "";
                for (Map.Entry<?, ?> entry : map.entrySet()) {
                    out.append(separator);
                    write(String.valueOf(entry.getKey()), out);
                    out.append(':');
                    write(entry.getValue(), out);
                    separator = ",";
                }
                out.append('}');
            }
            case Iterable<?> items -> {
                out.append('[');
                String separator = "";
                for (Object item : items) {
                    out.append(separator);
                    write(item, out);
                    separator = ",";
                }
                out.append(']');
            }
            case String string -> {
                out.append('"');
                for (char c : string.toCharArray()) {
                    if (c == '"' || c == '\\') {
                        out.append('\\').append(c);
                    } else if (c < ' ') {
                        out.append(String.format("\\u%04x", (int) c));
                    } else {
                        out.append(c);
                    }
                }
                out.append('"');
            }
            default -> out.append(value);
        }
    }
}
