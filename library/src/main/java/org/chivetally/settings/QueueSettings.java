package org.chivetally.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.chivetally.document.Section;
import org.chivetally.document.Utf8;
import org.chivetally.errors.ErrorCode;

/**
 * Settings of an entry or agent that serves durable queues.
 *
 * @param name name of the process, stable across restarts
 * @param failureDomain failure domain of the process
 * @param frames address on which the process listens for frames and at which other processes reach it
 * @param metrics address of the metrics endpoint
 * @param log address of the platform's log
 * @param partitions number of partitions of the job stream
 * @param statusRetention time for which the state of an ended job is retained
 * @param drainTimeout maximum time from SIGTERM to the end of the process
 * @param logLevel minimum level of log lines
 * @param scheduling optional scheduling features
 * @param entry settings of an entry; empty for an agent
 * @param agent settings of an agent; empty for an entry
 */
public record QueueSettings(
        String name,
        String failureDomain,
        HostPort frames,
        HostPort metrics,
        HostPort log,
        int partitions,
        Duration statusRetention,
        Duration drainTimeout,
        LogLevel logLevel,
        SchedulingSettings scheduling,
        Optional<EntryAddresses> entry,
        Optional<AgentAddresses> agent) {
    private static final int MAXIMUM_PARTITIONS = 1_000;
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final Duration HOUR = Duration.ofHours(1);
    private static final Duration DAY = Duration.ofDays(1);

    /** Rejects missing components. */
    public QueueSettings {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(scheduling, "scheduling");
        Objects.requireNonNull(entry, "entry");
        Objects.requireNonNull(agent, "agent");
    }

    /**
     * Addresses of an entry.
     *
     * @param callers address of the interface for callers
     * @param readiness address of the readiness probe
     */
    public record EntryAddresses(HostPort callers, HostPort readiness) {}

    /**
     * Addresses of an agent.
     *
     * @param announcements address on which the agent listens for announcements of its minion
     * @param minion address at which the minion accepts calls
     */
    public record AgentAddresses(HostPort announcements, HostPort minion) {}

    /** Reads a settings file; throws {@link ErrorCode#INVALID_INPUT} with all mistakes and their places. */
    public static QueueSettings read(Path file) {
        return SettingsFile.read(file.toString(), Utf8.read(file), QueueSettings::read);
    }

    /** Reads the settings from a document. */
    public static QueueSettings read(Section root) {
        Section process = root.section("process");
        Section log = root.section("log");
        Section frames = root.section("frames");
        String host = frames.requiredText("host");
        if (!host.isEmpty() && !HostPort.isReachableAddress(host)) {
            frames.mistake("host", '"' + host + "\" is not an IP address such as 10.1.0.13");
        }
        return new QueueSettings(
                process.requiredText("name"),
                process.requiredText("failureDomain"),
                new HostPort(host, (int) frames.requiredInteger("port", 1, HostPort.MAXIMUM_PORT)),
                new HostPort(host, (int) frames.requiredInteger("metricsPort", 1, HostPort.MAXIMUM_PORT)),
                address(log, "address"),
                (int) log.requiredInteger("partitions", 1, MAXIMUM_PARTITIONS),
                root.requiredDuration("statusRetention", SECOND, DAY),
                root.requiredDuration("drainTimeout", SECOND, HOUR),
                root.choice("logLevel", LogLevel.class, LogLevel.INFO),
                root.has("scheduling") ? SchedulingSettings.read(root.section("scheduling")) : SchedulingSettings.NONE,
                root.has("entry") ? Optional.of(entry(root.section("entry"))) : Optional.empty(),
                root.has("agent") ? Optional.of(agent(root.section("agent"))) : Optional.empty());
    }

    private static EntryAddresses entry(Section section) {
        return new EntryAddresses(address(section, "callers"), address(section, "readiness"));
    }

    private static AgentAddresses agent(Section section) {
        return new AgentAddresses(address(section, "announcements"), address(section, "minion"));
    }

    private static HostPort address(Section section, String key) {
        String text = section.requiredText(key);
        int colon = text.lastIndexOf(':');
        try {
            if (colon > 0) {
                return new HostPort(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (IllegalArgumentException malformed) {
            // Reported below, like a text without a port.
        }
        if (!text.isEmpty()) {
            section.mistake(key, '"' + text + "\" is not an address such as 10.1.0.13:8161");
        }
        return new HostPort("0.0.0.0", 0);
    }
}
