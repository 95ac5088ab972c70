package org.chivetally.settings;

import java.time.Duration;
import java.util.Objects;
import org.chivetally.document.Section;

/**
 * Settings of an agent process.
 *
 * @param process settings that all daemons share
 * @param minion backend server instance of the agent
 * @param queue maximum number of tasks that wait at the agent for a slot
 * @param ticketAge maximum age of a start permit that the agent accepts
 * @param retention time for which results are retained for a coordinator that takes over a job
 */
public record AgentDaemonSettings(
        ProcessSettings process, MinionSettings minion, int queue, Duration ticketAge, Duration retention) {
    private static final int MAXIMUM_SLOTS = 1024;
    private static final int MINIMUM_CONNECTIONS = 2;
    private static final int MAXIMUM_CONNECTIONS = 65_536;
    private static final int MAXIMUM_PROCESSORS = 4096;
    private static final int MAXIMUM_ACCELERATORS = 1024;
    private static final int MAXIMUM_QUEUE = 10_000;
    private static final long MAXIMUM_MEMORY_BYTES = 1L << 46;
    private static final int MILLIS_PER_PROCESSOR = 1000;
    private static final int DEFAULT_QUEUE = 16;
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final Duration MINUTE = Duration.ofMinutes(1);
    private static final Duration HOUR = Duration.ofHours(1);
    private static final Duration DEFAULT_TICKET_AGE = Duration.ofSeconds(3);
    private static final Duration DEFAULT_RETENTION = Duration.ofMinutes(5);

    /** Rejects missing components. */
    public AgentDaemonSettings {
        Objects.requireNonNull(process, "process");
        Objects.requireNonNull(minion, "minion");
        Objects.requireNonNull(ticketAge, "ticketAge");
        Objects.requireNonNull(retention, "retention");
    }

    /** Reads the settings from a document; they must not be used if the document has mistakes. */
    public static AgentDaemonSettings read(Section root) {
        Section limits = root.section("limits");
        AgentDaemonSettings settings = new AgentDaemonSettings(
                SettingsSections.process(root),
                minion(root.section("minion")),
                (int) limits.integer("queue", 0, MAXIMUM_QUEUE, DEFAULT_QUEUE),
                limits.duration("ticketAge", SECOND, MINUTE, DEFAULT_TICKET_AGE),
                limits.duration("retention", SECOND, HOUR, DEFAULT_RETENTION));
        // A start may arrive as long as its ticket is accepted; if the attempt were discarded before, it could run
        // twice.
        if (settings.retention.compareTo(settings.ticketAge.multipliedBy(2)) < 0) {
            limits.mistake("retention", "must be at least twice ticketAge");
        }
        return settings;
    }

    private static MinionSettings minion(Section minion) {
        return new MinionSettings(
                minion.requiredText("backend"),
                minion.requiredText("service"),
                SettingsSections.url(minion, "url"),
                (int) minion.requiredInteger("slots", 1, MAXIMUM_SLOTS),
                (int) minion.requiredInteger("connections", MINIMUM_CONNECTIONS, MAXIMUM_CONNECTIONS),
                minion.requiredInteger("processors", 1, MAXIMUM_PROCESSORS) * MILLIS_PER_PROCESSOR,
                minion.requiredBytes("memory", 0, MAXIMUM_MEMORY_BYTES),
                (int) minion.integer("accelerators", 0, MAXIMUM_ACCELERATORS, 0));
    }
}
