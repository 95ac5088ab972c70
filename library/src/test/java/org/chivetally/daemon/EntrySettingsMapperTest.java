package org.chivetally.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import java.time.Duration;
import org.chivetally.document.Document;
import org.chivetally.entry.EntrySettings;
import org.chivetally.settings.EntryDaemonSettings;
import org.junit.jupiter.api.Test;

class EntrySettingsMapperTest {
    private static final String SETTINGS = """
            process: {name: entry-1, failureDomain: north}
            frames: {host: 127.0.0.1, port: 0}
            http: {host: 127.0.0.1, port: 0}
            log: {url: "http://127.0.0.1:1"}
            claims: {window: 20h, logRetention: 24h}
            """;

    @Test
    void goneAgentsAreRetainedWhileTheirJobsMayBeTakenOver() {
        // Submission keys are kept for 20 hours. An agent runs a task and crashes; an hour later its coordinator
        // crashes too, and the caller submits the job again. If the record of the agent had expired by then, the
        // task would start a second time.
        Document document = Document.parse("entry.yaml", SETTINGS);
        EntrySettings settings = EntrySettingsMapper.entry(EntryDaemonSettings.read(document.root()));
        assertThat(settings.dispatch().fencing().goneRetention(), greaterThanOrEqualTo(Duration.ofHours(20)));
    }
}
