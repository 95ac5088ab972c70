package org.chivetally.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.function.Function;
import org.chivetally.document.Section;
import org.chivetally.errors.ChivetallyException;
import org.chivetally.errors.ErrorCode;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SettingsTest {
    private static final Path EXAMPLES = Path.of("..", "examples", "settings");

    /** Operators should not have to restart a daemon once for each mistake in its settings. */
    @ParameterizedTest
    @ValueSource(strings = {"entry", "agent"})
    void reportsAllMistakesOfAFileTogether(String daemon) throws IOException {
        Function<Section, ?> reader = daemon.equals("entry") ? EntryDaemonSettings::read : AgentDaemonSettings::read;
        String text = resource(daemon + "-malformed.yaml");
        ChivetallyException refusal = Assertions.assertThrows(
                ChivetallyException.class, () -> SettingsFile.read(daemon + ".yaml", text, reader));
        assertThat(refusal.code(), is(ErrorCode.INVALID_INPUT));
        assertThat(
                refusal.getMessage(),
                is(resource(daemon + "-malformed.expected").stripTrailing()));
    }

    @Test
    void readsTheExampleSettingsOfAnEntry() {
        EntryDaemonSettings settings = SettingsFile.readEntry(EXAMPLES.resolve("entry.yaml"));
        assertThat(settings.process().name(), is("entry-1"));
        assertThat(settings.http(), is(new HostPort("127.0.0.1", 8080)));
        assertThat(
                settings.process().seeds(), contains(new HostPort("127.0.0.1", 9081), new HostPort("127.0.0.1", 9082)));
        assertThat(settings.process().log().url(), is(URI.create("http://127.0.0.1:8600")));
        assertThat(settings.claims().window(), is(Duration.ofMinutes(10)));
    }

    @Test
    void readsTheExampleSettingsOfAnAgent() {
        AgentDaemonSettings settings = SettingsFile.readAgent(EXAMPLES.resolve("agent.yaml"));
        assertThat(settings.minion().slots(), is(8));
        assertThat(settings.minion().processorMillis(), is(64_000L));
        assertThat(settings.minion().memoryBytes(), is(128L << 30));
        assertThat(settings.process().drainTimeout(), is(Duration.ofMinutes(2)));
    }

    /** A missing file must be reported as invalid input; the daemon must not start with defaults. */
    @Test
    void rejectsAMissingFile() {
        ChivetallyException refusal = Assertions.assertThrows(
                ChivetallyException.class, () -> SettingsFile.readEntry(Path.of("no-such-settings.yaml")));
        assertThat(refusal.code(), is(ErrorCode.INVALID_INPUT));
    }

    private static String resource(String name) throws IOException {
        try (InputStream stream = SettingsTest.class.getResourceAsStream(name)) {
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
