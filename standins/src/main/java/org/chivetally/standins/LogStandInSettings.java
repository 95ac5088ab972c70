package org.chivetally.standins;

import java.time.Duration;
import org.chivetally.log.InMemoryLogSettings;

/**
 * Settings of a {@link LogStandIn}.
 *
 * @param appendLatency time from the arrival of an append to its effect and answer
 * @param appendsPerSecond most appends a second, further ones queue; zero sets no ceiling
 * @param keptRecords most records kept per stream
 * @param keptFor longest time a record is kept
 */
public record LogStandInSettings(Duration appendLatency, int appendsPerSecond, int keptRecords, Duration keptFor) {
    /** Latency of a synced write. */
    public static final Duration DEFAULT_APPEND_LATENCY = Duration.ofMillis(4);

    /** Appends a second of a log that takes several hundred. */
    public static final int DEFAULT_APPENDS_PER_SECOND = 400;

    private static final long RANDOM_SEED = 1;

    /** Refuses what a log can't be. */
    public LogStandInSettings {
        new InMemoryLogSettings(keptRecords, keptFor, appendLatency, appendsPerSecond, RANDOM_SEED);
    }

    /** Returns settings in the shape of the platform's log. */
    public static LogStandInSettings defaults() {
        InMemoryLogSettings kept = InMemoryLogSettings.immediate();
        return new LogStandInSettings(
                DEFAULT_APPEND_LATENCY, DEFAULT_APPENDS_PER_SECOND, kept.keptRecords(), kept.keptFor());
    }

    /** Returns the settings of the log inside. */
    public InMemoryLogSettings inMemory() {
        return new InMemoryLogSettings(keptRecords, keptFor, appendLatency, appendsPerSecond, RANDOM_SEED);
    }
}
