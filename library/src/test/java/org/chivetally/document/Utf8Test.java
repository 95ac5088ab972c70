package org.chivetally.document;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;

/** A replacement character in the input is valid; it must not be mistaken for the result of a decoding error. */
class Utf8Test {
    @Test
    void keepsReplacementCharactersOfTheInput() {
        String text = "\u00e6 \ufffd \ud83c\udf32\n";
        assertThat(Utf8.decode(text.getBytes(StandardCharsets.UTF_8)), is((Utf8.Decoded) new Utf8.Decoded.Text(text)));
    }

    /** Covers truncated characters within and at the end of a text, and an encoded surrogate. */
    @Test
    void reportsThePlaceOfTheFirstInvalidByte() {
        assertThat(Utf8.decode(HexFormat.of().parseHex("610a62c36364ff")), is((Utf8.Decoded)
                new Utf8.Decoded.Malformed(2, 2)));
        assertThat(Utf8.decode(HexFormat.of().parseHex("eda080")), is((Utf8.Decoded) new Utf8.Decoded.Malformed(1, 1)));
        assertThat(Utf8.decode(HexFormat.of().parseHex("61e282")), is((Utf8.Decoded) new Utf8.Decoded.Malformed(1, 2)));
    }
}
