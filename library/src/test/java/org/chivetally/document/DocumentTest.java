package org.chivetally.document;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.matchesPattern;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DocumentTest {
    private enum Mode {
        LOG,
        IN_MEMORY
    }

    /** Guards against values that are parsed with a wrong type, unit or default. */
    @Test
    void readsEachKindOfValue() {
        Document document = Document.parse("settings.yaml", """
                name: entry-1
                queue: 200
                share: 0.25
                wait: 250ms
                size: 16MiB
                mode: in-memory
                on: true
                limits: {most: 3}
                seeds: [{host: a}, {host: b}]
                racks: [one, two]
                labels: {tier: first}
                payload: {"a": [1, 2.5, "3", null, true]}
                """);
        Section root = document.root();
        assertThat(root.requiredText("name"), is("entry-1"));
        assertThat(root.integer("queue", 1, 1000, 7), is(200L));
        assertThat(root.decimal("share", 0, 1, 0.5), is(0.25));
        assertThat(
                root.duration("wait", Duration.ZERO, Duration.ofHours(1), Duration.ZERO), is(Duration.ofMillis(250)));
        assertThat(root.bytes("size", 0, 1L << 30, 0), is(16L << 20));
        assertThat(root.choice("mode", Mode.class, Mode.LOG), is(Mode.IN_MEMORY));
        assertThat(root.flag("on", false), is(true));
        assertThat(root.section("limits").integer("most", 1, 9, 1), is(3L));
        assertThat(
                root.sections("seeds").stream()
                        .map(seed -> seed.requiredText("host"))
                        .toList(),
                contains("a", "b"));
        assertThat(root.texts("racks"), contains("one", "two"));
        assertThat(root.map("labels"), equalTo(Map.of("tier", "first")));
        assertThat(root.json("payload").orElseThrow(), is("{\"a\":[1,2.5,\"3\",null,true]}"));
        assertThat(document.finish().list(), empty());
    }

    /** A missing optional value must give the default and must not count as a mistake. */
    @Test
    void returnsDefaultsForMissingValues() {
        Document document = Document.parse("empty.yaml", "");
        assertThat(document.root().section("limits").integer("queue", 1, 9, 5), is(5L));
        assertThat(document.root().text("name", "nobody"), is("nobody"));
        assertThat(document.root().sections("seeds"), empty());
        assertThat(document.finish().isEmpty(), is(true));
    }

    /** A reader that stopped at the first mistake, or ignored unknown keys, would miss some of them. */
    @Test
    void reportsEveryMistakeWithItsPlace() throws IOException {
        Document document = Document.parse("mistakes.yaml", resource("mistakes.yaml"));
        Section root = document.root();
        root.requiredText("name");
        root.requiredText("team");
        root.integer("queue", 1, 10, 1);
        root.duration("wait", Duration.ofMillis(1), Duration.ofSeconds(5), Duration.ofSeconds(1));
        root.bytes("size", 0, 1 << 20, 0);
        root.choice("mode", Mode.class, Mode.LOG);
        root.flag("flag", false);
        root.section("limits").integer("most", 1, 9, 1);
        root.sections("seeds").forEach(seed -> seed.text("host", ""));
        root.map("labels");
        List<String> lines =
                document.finish().list().stream().map(Mistake::toString).toList();
        assertThat(
                lines,
                contains(
                        "mistakes.yaml:2:1: name: the key stands twice, first at mistakes.yaml:1:1",
                        "mistakes.yaml:1:1: team: is missing",
                        "mistakes.yaml:3:8: queue: \"0\" is not a whole number from 1 to 10",
                        "mistakes.yaml:4:7: wait: \"5 parsecs\" is not a duration from 1ms to 5s, as a whole"
                                + " number with"
                                + " us, ms, s, m or h",
                        "mistakes.yaml:5:7: size: \"3MB\" is not a size from 0B to 1MiB, as a whole number with B, KiB,"
                                + " MiB, GiB or TiB",
                        "mistakes.yaml:6:7: mode: \"disk\" is not one of log, in-memory",
                        "mistakes.yaml:7:7: flag: \"yes\" is not true or false",
                        "mistakes.yaml:9:9: limits.most: \"many\" is not a whole number from 1 to 9",
                        "mistakes.yaml:13:5: seeds[1]: a section of keys and values is needed, not a single value",
                        "mistakes.yaml:14:9: labels: a section of keys and values is needed, not a list",
                        "mistakes.yaml:10:3: limits.surplus: unknown key; allowed here: most"));
    }

    /** Aliases could expand a short text to gigabytes; malformed texts must give a mistake, not an exception. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "a: &x [1] | 1:4 | anchors",
                "a: *x | 1:4 | aliases",
                "a: !!str b | 1:4 | tags",
                "[1] | 1:1 | a section",
                "a: [1 | 1: | malformed",
                "'a: {b: 1, b: 2}' | 1:11 | twice",
                "? [a] : b | 1:3 | single value",
                "'a: \"\\x\"' | 1: | malformed",
            })
    void rejectsUnsupportedSyntax(String text, String place, String message) {
        Document document = Document.parse("f", text);
        document.root().json("a");
        Mistake mistake = document.finish().list().getFirst();
        assertThat(mistake.place(), containsString("f:" + place));
        assertThat(mistake.message(), containsString(message));
    }

    /** Unbounded nesting would overflow the stack of the recursive reader. */
    @Test
    void rejectsDeepNestingAndASecondDocument() {
        Document deep = Document.parse("f", "a: " + "[".repeat(100_000));
        assertThat(deep.finish().text(), containsString("nested deeper than 64"));
        assertThat(Document.parse("f", "a: 1\n---\nb: 2\n").mistakes().text(), containsString("f:3:1: only one"));
    }

    /** Empty documents are skipped, and a malformed one must not discard the valid ones before it. */
    @Test
    void separatesSeveralDocuments() {
        List<Document> documents = Document.parseAll("f", "a: 1\n---\n---\na: 2\n---\na: ]\n");
        assertThat(documents, hasSize(3));
        assertThat(documents.get(1).root().integer("a", 0, 9, 0), is(2L));
        assertThat(documents.get(2).finish().list().getFirst().place(), is("f:6:4"));
    }

    /** JSON is read by the YAML parser, which must accept its tabs, escapes and number formats. */
    @Test
    void readsJsonWithTabsAndEscapes() {
        String json = "{\n\t\"a\":\"\\u00e6\\ud83c\\udf32\\/\",\"b\":{\"c\":-1.5e3,\"d\":[]},\t\"e\":\""
                + "x".repeat(2000) + "\"}";
        Document document = Document.parse("body", json);
        assertThat(document.root().text("a", ""), is("\u00e6\ud83c\udf32/"));
        assertThat(document.root().section("b").toJson(), is("{\"c\":-1.5e3,\"d\":[]}"));
        assertThat(document.root().text("e", "").length(), is(2000));
        assertThat(document.finish().list(), empty());
    }

    /**
     * Random and malformed texts must give mistakes with a place, not exceptions, whatever the parser does with them.
     */
    @Property(tries = 2000)
    void neverThrowsAndReportsThePlaceOfEachMistake(@ForAll("texts") String text) {
        for (Document document : Document.parseAll("f", text)) {
            Section root = document.root();
            root.integer("a", 0, 9, 0);
            root.map("b");
            root.sections("c").forEach(Section::toJson);
            root.json("d");
            for (Mistake mistake : document.finish().list()) {
                assertThat(mistake.place(), matchesPattern("f:\\d+:\\d+"));
            }
        }
    }

    @Provide
    Arbitrary<String> texts() {
        Arbitrary<String> pieces = Arbitraries.of(
                "a",
                "b: ",
                "c:\n",
                "d: ",
                "\n",
                "\n  ",
                "\n - ",
                ": ",
                "[",
                "]",
                "{",
                "}",
                ",",
                "\"",
                "'",
                "&x ",
                "*x",
                "!!int ",
                "|",
                ">-",
                "\t",
                "---\n",
                "...",
                "%YAML 1.2\n",
                "? ",
                "#",
                "\\u00",
                "\\U00110000",
                "1e9",
                "null",
                "\0",
                "\ufeff",
                "\ud800",
                "@",
                "`");
        Arbitrary<String> structured = pieces.list().ofMaxSize(40).map(list -> String.join("", list));
        Arbitrary<String> bytes = Arbitraries.bytes()
                .array(byte[].class)
                .ofMaxSize(200)
                .map(content -> new String(content, StandardCharsets.UTF_8));
        return Arbitraries.oneOf(structured, bytes, Arbitraries.strings().ofMaxLength(100));
    }

    private static String resource(String name) throws IOException {
        try (InputStream stream = DocumentTest.class.getResourceAsStream(name)) {
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
