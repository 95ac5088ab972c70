package org.chivetally.resource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.matchesPattern;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.chivetally.document.Mistake;
import org.chivetally.job.ServicePolicy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ResourceDocumentsTest {
    private static final Path EXAMPLES = Path.of("..", "examples", "resources");

    @ParameterizedTest
    @ValueSource(strings = {"jylland", "tasmania"})
    void readsTheExamplesOfBothUsers(String folder) throws IOException {
        ResourceDocuments.Declared declared = ResourceDocuments.readFiles(texts(EXAMPLES.resolve(folder)));
        assertThat(declared.mistakes().text(), is(""));
        Set<ResourceKind> kinds = declared.resources().stream()
                .map(resource -> resource.key().kind())
                .collect(Collectors.toCollection(() -> EnumSet.noneOf(ResourceKind.class)));
        assertThat(kinds, equalTo(EnumSet.allOf(ResourceKind.class)));
        for (DeclaredResource resource : declared.resources()) {
            assertThat(canonicalAgain(resource), is(resource.content().spec()));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"service", "team", "routing"})
    void fillsDefaultsThatReadAsThemselves(String kind) {
        DeclaredResource resource = ResourceDocuments.readFile("f", "kind: " + kind + "\nname: a\n")
                .resources()
                .getFirst();
        assertThat(canonicalAgain(resource), is(resource.content().spec()));
    }

    @Test
    void givesTypedSpecsAndTheSafeOnesOfWhatNobodyDeclared() {
        ResourceDocuments.Declared declared =
                ResourceDocuments.readFile("f", "kind: service\nname: a\nspec: {attempts: 7, idempotent: true}\n");
        Resource resource = new Resource(
                declared.resources().getFirst().key(),
                new TreeMap<>(),
                declared.resources().getFirst().content().spec(),
                1,
                "me",
                "now");
        DeclaredPolicies policies = DeclaredPolicies.none().next(List.of(resource));
        assertThat(policies.service("a").maximumAttempts(), is(7));
        assertThat(policies.service("b"), is(ServicePolicy.undeclared("b")));
        assertThat(policies.service("No resource's name!").idempotent(), is(false));
    }

    @Test
    void reportsEveryMistakeOfAFolderAndItsPlace() {
        Map<String, String> folder = new TreeMap<>(Map.of(
                "a.yaml", "kind: service\nname: A b\nspec:\n  attempts: 0\n  speculate: true\n  retries: 3\n",
                "b.yaml", "kind: backend-server\nname: m\nspec: {state: {type: http-json, path: x, load: {at: cpu}}}\n",
                "c.yaml", "kind: team\nname: t\n---\nkind: team\nname: t\n---\nkind: worker\nname: t\n"));
        ResourceDocuments.Declared declared = ResourceDocuments.readFiles(folder);
        List<String> lines =
                declared.mistakes().list().stream().map(Mistake::toString).toList();
        assertThat(
                lines,
                contains(
                        containsString("a.yaml:2:7: name: a name has"),
                        containsString("a.yaml:4:13: spec.attempts: \"0\" is not"),
                        containsString("a.yaml:5:14: spec.speculate: only an idempotent"),
                        containsString("a.yaml:6:3: spec.retries: unknown key"),
                        containsString("b.yaml:3:7: spec.service: is missing"),
                        containsString("b.yaml:3:39: spec.state.path: a path begins with /"),
                        containsString("b.yaml:3:53: spec.state.load.at: a JSON pointer"),
                        containsString("c.yaml:7:7: kind: \"worker\" is not one of backend-server, service"),
                        containsString("c.yaml:4:1: team/t stands twice, first at c.yaml:1:1")));
    }

    @Test
    void refusesABodyThatNamesAnotherResource() {
        ResourceKey key = new ResourceKey(ResourceKind.TEAM, "a");
        assertThat(
                ResourceDocuments.readBody("body", key, "{\"name\":\"b\"}")
                        .mistakes()
                        .text(),
                is("body:1:9: name: the address says a"));
        assertThat(
                ResourceDocuments.readBody("body", key, "{\"kind\":\"teams\",\"name\":\"a\"}")
                        .mistakes()
                        .list(),
                empty());
    }

    @Property(tries = 2000)
    void neverCrashesAndNamesThePlaceOfEachRefusal(@ForAll("texts") String text) {
        for (Mistake mistake : ResourceDocuments.readFile("f", text).mistakes().list()) {
            assertThat(mistake.place(), matchesPattern("f:\\d+:\\d+"));
        }
    }

    @Property(tries = 500)
    void neverCrashesOnAnySpec(@ForAll ResourceKind kind, @ForAll("specs") String spec) {
        String text = "kind: " + kind.singular() + "\nname: a\nspec: {" + spec + "}\n";
        for (Mistake mistake : ResourceDocuments.readFile("f", text).mistakes().list()) {
            assertThat(mistake.place(), matchesPattern("f:\\d+:\\d+"));
        }
    }

    @Provide
    Arbitrary<String> texts() {
        Arbitrary<String> lines = Arbitraries.of(
                "kind: service",
                "kind: team",
                "kind: routing",
                "kind: backend-server",
                "kind: []",
                "name: a",
                "name: ",
                "name: A",
                "labels: {a: b}",
                "labels: [a]",
                "spec:",
                "spec: 1",
                "  attempts: 3",
                "  state:",
                "    type: http-json",
                "  deadline: 1h",
                "  weight: x",
                "---",
                "  - a",
                "\t",
                "...",
                "? a");
        return lines.list().ofMaxSize(20).map(list -> String.join("\n", list));
    }

    @Provide
    Arbitrary<String> specs() {
        Arbitrary<String> keys = Arbitraries.of(
                "idempotent",
                "claims",
                "attempts",
                "attemptLease",
                "deadline",
                "speculate",
                "resources",
                "service",
                "draining",
                "state",
                "placement",
                "overcommit",
                "silentAfter",
                "weight",
                "maximumRunning",
                "type",
                "x");
        Arbitrary<String> values = Arbitraries.of(
                "true",
                "false",
                "memory",
                "1",
                "-1",
                "0.5",
                "1e99",
                "99999999999999999999",
                "1s",
                "0us",
                "999999999999h",
                "1TiB",
                "null",
                "''",
                "[1]",
                "{type: http-json}",
                "{type: response-headers, load: {at: X, scale: 0}}",
                "{type: prometheus-text, path: /m, draining: {at: a, when: [1], unless: [2]}}",
                "least-loaded");
        Arbitrary<String> entries = Combinators.combine(keys, values).as((key, value) -> key + ": " + value);
        return entries.list().ofMaxSize(8).map(list -> String.join(", ", list));
    }

    private static String canonicalAgain(DeclaredResource resource) {
        String body = "{\"spec\":" + resource.content().spec() + "}";
        ResourceDocuments.Declared again = ResourceDocuments.readBody("again", resource.key(), body);
        again.mistakes().requireNone();
        return again.resources().getFirst().content().spec();
    }

    private static Map<String, String> texts(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.collect(Collectors.toMap(file -> file.getFileName().toString(), ResourceDocumentsTest::text));
        }
    }

    private static String text(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
