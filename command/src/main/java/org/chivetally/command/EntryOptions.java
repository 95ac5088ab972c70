package org.chivetally.command;

import java.net.URI;
import java.time.Duration;
import org.chivetally.command.client.EntryClient;
import picocli.CommandLine.Option;

/** Options that select the entry that a command connects to, and the request timeout. */
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
            description = "Maximum time to wait for one answer, such as 500ms, 30s or 2m; 30s by default.")
    private Duration timeout;

    EntryClient client() {
        return client(Duration.ZERO);
    }

    /**
     * Returns a client for requests that the entry may hold before it answers.
     *
     * @param serverWait longest time that the entry holds a request, added to the request timeout
     */
    EntryClient client(Duration serverWait) {
        return new EntryClient(entry, timeout.plus(serverWait));
    }

    URI entry() {
        return entry;
    }
}
