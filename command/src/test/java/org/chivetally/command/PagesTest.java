package org.chivetally.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItems;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.chivetally.document.Document;
import org.chivetally.document.Section;
import org.junit.jupiter.api.Test;

/**
 * Checks that the documentation covers every log event, metric and setting of the sources, and names only files that
 * exist.
 */
class PagesTest {
    private static final Path ROOT = Path.of("..");
    private static final List<String> MODULES = List.of("library", "command", "load", "standins", "platform");
    // Matches the event name in the first argument of EventLine.of and of the helper methods that pass it on, in both
    // branches of a conditional.
    private static final Pattern EVENT =
            Pattern.compile("(?<![\\w.])(?:(?:EventLine|ClaimLines)\\.of|of|ofTask|line|startLine|attemptLine)\\(\\s*"
                    + "(?:\\w+ \\? \"([a-z][a-z-]*)\" : )?\"([a-z][a-z-]*)\"");
    private static final Pattern METRIC = Pattern.compile(
            "(?:builder|counters?|timer|gauge|summary)\\(\\s*(?:\\w+,\\s*)?\"((?:chivetally|minion)\\.[a-z.]+)\"");
    private static final Pattern FILE = Pattern.compile("(?<![\\w/.-])((?:examples|scripts|docs|bin)/[\\w./-]*\\w)");

    @Test
    void everyLogEventIsDocumented() throws IOException {
        Set<String> events = matchesInSources(EVENT);
        assertThat(events, hasItems("placement", "claim-won", "job-final", "lease-gained", "lease-lost"));
        assertThat(undocumented(events), empty());
    }

    @Test
    void everyMetricIsDocumented() throws IOException {
        Set<String> metrics = matchesInSources(METRIC);
        assertThat(metrics, hasItems("chivetally.job.time", "chivetally.transport.frames", "minion.starts"));
        assertThat(undocumented(metrics), empty());
    }

    @Test
    void everySettingIsDocumented() throws IOException {
        Set<String> settings = new TreeSet<>();
        for (String daemon : List.of("entry", "agent")) {
            String example = Files.readString(ROOT.resolve("examples/settings/" + daemon + ".yaml"));
            Section root = Document.parse(daemon, example).root();
            for (String key : root.keys()) {
                settings.add(key);
                root.section(key).keys().forEach(name -> settings.add(key + "." + name));
            }
        }
        assertThat(settings, hasItems("claims.lease", "minion.slots", "drainTimeout", "seeds"));
        assertThat(undocumented(settings), empty());
    }

    @Test
    void everyFileNamedInTheDocumentationExists() throws IOException {
        Set<String> files = matchesIn("README.md", 0, FILE);
        files.addAll(matchesIn("docs", 1, FILE));
        assertThat(files, hasItems("bin/chivetally", "examples/job-small.yaml", "docs/ARCHITECTURE.md"));
        files.removeIf(file -> Files.exists(ROOT.resolve(file)));
        assertThat(files, empty());
    }

    private static Set<String> undocumented(Set<String> names) throws IOException {
        String page = Files.readString(ROOT.resolve("docs/OPERATIONS.md"));
        names.removeIf(name -> page.contains('`' + name + '`'));
        return names;
    }

    private static Set<String> matchesInSources(Pattern pattern) throws IOException {
        Set<String> names = new TreeSet<>();
        for (String module : MODULES) {
            names.addAll(matchesIn(module + "/src/main/java", Integer.MAX_VALUE, pattern));
        }
        return names;
    }

    private static Set<String> matchesIn(String path, int depth, Pattern pattern) throws IOException {
        Set<String> names = new TreeSet<>();
        try (Stream<Path> files = Files.walk(ROOT.resolve(path), depth)) {
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                Matcher matcher = pattern.matcher(Files.readString(file));
                while (matcher.find()) {
                    IntStream groups = IntStream.rangeClosed(1, matcher.groupCount());
                    groups.mapToObj(matcher::group).filter(name -> name != null).forEach(names::add);
                }
            }
        }
        return names;
    }
}
