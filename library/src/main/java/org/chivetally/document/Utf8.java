package org.chivetally.document;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.chivetally.errors.ChivetallyException;
import org.chivetally.errors.ErrorCode;

/** Texts that come as bytes from outside. */
public final class Utf8 {
    private static final char REPLACEMENT = '\ufffd';

    private Utf8() {}

    /** What some bytes hold. */
    public sealed interface Decoded {
        /** A text, character by character as it was sent. */
        record Text(String text) implements Decoded {}

        /** No text; the place, counted from one, is that of the first byte that fits no character. */
        record Malformed(int line, int column) implements Decoded {
            /** What to tell of it. */
            public static final String MESSAGE = "is not UTF-8";
        }
    }

    /**
     * Decodes bytes without replacing any.
     *
     * <p>The usual decoding puts a replacement character for each byte that fits none: a payload would then run with
     * another content than the caller sent, and two different payloads would pass as one submission. Only a text with a
     * replacement character can have been altered so; whether it was is found out by decoding it again strictly.
     */
    public static Decoded decode(byte[] bytes) {
        String text = new String(bytes, StandardCharsets.UTF_8);
        if (text.indexOf(REPLACEMENT) < 0) {
            return new Decoded.Text(text);
        }
        CharBuffer decoded = CharBuffer.allocate(bytes.length);
        CharsetDecoder strict = StandardCharsets.UTF_8.newDecoder();
        if (strict.decode(ByteBuffer.wrap(bytes), decoded, true).isError()) {
            return malformedAfter(decoded.flip().toString());
        }
        return new Decoded.Text(text);
    }

    /** Returns the text of a file; throws {@link ErrorCode#INVALID_INPUT} with the place where it is none. */
    public static String read(Path file) {
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(file);
        } catch (IOException unreadable) {
            throw new ChivetallyException(ErrorCode.INVALID_INPUT, file + " can't be read: " + unreadable, unreadable);
        }
        return switch (decode(bytes)) {
            case Decoded.Text whole -> whole.text();
            case Decoded.Malformed(int line, int column) ->
                throw new ChivetallyException(
                        ErrorCode.INVALID_INPUT, file + ":" + line + ":" + column + ": " + Decoded.Malformed.MESSAGE);
        };
    }

    private static Decoded malformedAfter(String before) {
        int line = (int) before.chars().filter(character -> character == '\n').count() + 1;
        return new Decoded.Malformed(line, before.length() - before.lastIndexOf('\n'));
    }
}
