package org.chivetally.command;

import java.net.URI;
import java.time.Duration;
import org.chivetally.command.client.EntryClient;
import picocli.CommandLine.Option;

/** Which entry a command talks to. */
final class EntryOptions {
    private static final String DEFAULT_ENTRY = "http://127.0.0.1:8080";

    @Option(
            names = "--entry",
            paramLabel = "URL",
            defaultValue = "${env:CHIVETALLY_ENTRY:-" + DEFAULT_ENTRY + "}",
            description = "Address of an entry; by default CHIVETALLY_ENTRY, then " + DEFAULT_ENTRY + ".")
    private URI entry;

    @Option(
            names = "--timeout",
            paramLabel = "DURATION",
            defaultValue = "PT30S",
            converter = DurationConverter.class,
            description = "Longest wait for one answer, such as 500ms, 30s or 2m; 30s by default.")
    private Duration timeout;

    EntryClient client() {
        return client(Duration.ZERO);
    }

    /** Returns a client whose requests may take longer by the time that the entry is asked to hold them. */
    EntryClient client(Duration serverWait) {
        return new EntryClient(entry, timeout.plus(serverWait));
    }

    URI entry() {
        return entry;
    }
}
