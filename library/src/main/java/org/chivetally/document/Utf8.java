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

/** Strict decoding of UTF-8 from files and requests. */
public final class Utf8 {
    private static final char REPLACEMENT = '\ufffd';

    private Utf8() {}

    /** Result of decoding. */
    public sealed interface Decoded {
        /** The decoded text. */
        record Text(String text) implements Decoded {}

        /** The bytes are not UTF-8; the place, counted from 1, is that of the first invalid byte. */
        record Malformed(int line, int column) implements Decoded {
            /** Error message without the place. */
            public static final String MESSAGE = "is not UTF-8";
        }
    }

    /**
     * Decodes bytes and reports invalid ones.
     *
     * <p>The JDK's default decoding replaces each invalid byte: a payload would run with other content than the caller
     * submitted, and two different payloads would count as the same submission. Only texts that contain a replacement
     * character can be affected, so only these are decoded a second time with a strict decoder.
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

    /** Reads a text file; throws {@link ErrorCode#INVALID_INPUT}, with the place if it is not UTF-8. */
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
