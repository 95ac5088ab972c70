package org.chivetally.settings;

import java.net.URI;
import java.net.URISyntaxException;
import java.time.Duration;
import java.util.Set;
import org.chivetally.document.Section;

/** Reads the sections that the settings of all daemons share. */
final class SettingsSections {
    private static final Duration MILLISECOND = Duration.ofMillis(1);
    private static final Duration HOUR = Duration.ofHours(1);
    private static final Duration MINUTE = Duration.ofMinutes(1);
    private static final Duration DEFAULT_DRAIN_TIMEOUT = Duration.ofMinutes(2);
    private static final Duration DEFAULT_LOG_REQUEST_TIMEOUT = Duration.ofSeconds(2);
    private static final Set<String> SCHEMES = Set.of("http", "https");
    private static final URI PLACEHOLDER_URL = URI.create("http://0.0.0.0");

    private SettingsSections() {}

    static ProcessSettings process(Section root) {
        Section process = root.section("process");
        Section frames = root.section("frames");
        HostPort listener = listener(frames);
        return new ProcessSettings(
                process.requiredText("name"),
                process.requiredText("failureDomain"),
                listener,
                advertised(frames, listener),
                log(root.section("log")),
                root.sections("seeds").stream().map(SettingsSections::address).toList(),
                root.duration("drainTimeout", MILLISECOND, HOUR, DEFAULT_DRAIN_TIMEOUT),
                root.choice("logLevel", LogLevel.class, LogLevel.INFO));
    }

    /** Reads the address of a listener, whose port may be 0. */
    static HostPort listener(Section section) {
        return new HostPort(
                section.requiredText("host"), (int) section.requiredInteger("port", 0, HostPort.MAXIMUM_PORT));
    }

    /** Reads the address of another process. */
    static HostPort address(Section section) {
        return new HostPort(
                section.requiredText("host"), (int) section.requiredInteger("port", 1, HostPort.MAXIMUM_PORT));
    }

    /** Reads a required absolute HTTP or HTTPS URL. */
    static URI url(Section section, String key) {
        String text = section.requiredText(key);
        if (text.isEmpty()) {
            return PLACEHOLDER_URL;
        }
        try {
            URI url = new URI(text);
            if (url.getScheme() != null && SCHEMES.contains(url.getScheme()) && url.getHost() != null) {
                return url;
            }
        } catch (URISyntaxException malformed) {
            // Reported below, like a URL without scheme or host.
        }
        section.mistake(key, '"' + text + "\" is not an address such as http://127.0.0.1:9000");
        return PLACEHOLDER_URL;
    }

    private static HostPort advertised(Section frames, HostPort listener) {
        return new HostPort(frames.text("advertisedHost", listener.host()), (int)
                frames.integer("advertisedPort", 1, HostPort.MAXIMUM_PORT, listener.port()));
    }

    private static LogAccessSettings log(Section log) {
        return new LogAccessSettings(
                url(log, "url"), log.duration("requestTimeout", MILLISECOND, MINUTE, DEFAULT_LOG_REQUEST_TIMEOUT));
    }
}
