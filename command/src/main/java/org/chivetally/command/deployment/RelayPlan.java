package org.chivetally.command.deployment;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.chivetally.document.Section;
import org.chivetally.settings.HostPort;

/**
 * Addresses and delay of one relay between two processes.
 *
 * @param name name in lists of targets
 * @param listenPort port on the loopback address that accepts connections
 * @param target address that the connections are forwarded to
 * @param oneWayDelay delay of each byte in each direction
 * @param controlPort port on the loopback address for the HTTP requests that set faults
 */
public record RelayPlan(String name, int listenPort, HostPort target, Duration oneWayDelay, int controlPort) {
    private static final Duration MAXIMUM_ONE_WAY_DELAY = Duration.ofSeconds(1);

    /** Rejects null components. */
    public RelayPlan {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(oneWayDelay, "distance");
    }

    /** Reads the relays of a document; they are valid only if the document has no mistakes. */
    public static List<RelayPlan> readAll(Section root) {
        List<Section> sections = root.sections("relays");
        if (sections.isEmpty()) {
            root.mistake("relays", "at least one is needed");
        }
        return sections.stream().map(RelayPlan::read).toList();
    }

    /** Returns the relay as an item of the YAML list that {@link #readAll} reads. */
    String toYamlItem() {
        return "  - {name: %s, listen: %d, target: {host: %s, port: %d}, distance: %dus, control: %d}\n"
                .formatted(name, listenPort, target.host(), target.port(), oneWayDelay.toNanos() / 1000, controlPort);
    }

    private static RelayPlan read(Section item) {
        Section target = item.section("target");
        return new RelayPlan(
                item.requiredText("name"),
                port(item, "listen"),
                new HostPort(target.requiredText("host"), port(target, "port")),
                item.duration("distance", Duration.ZERO, MAXIMUM_ONE_WAY_DELAY, Duration.ZERO),
                port(item, "control"));
    }

    private static int port(Section section, String key) {
        return (int) section.requiredInteger(key, 1, HostPort.MAXIMUM_PORT);
    }
}
