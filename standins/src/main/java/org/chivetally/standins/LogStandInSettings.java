package org.chivetally.standins;

import java.time.Duration;
import org.chivetally.log.InMemoryLogSettings;

/**
 * Settings of a {@link LogStandIn}.
 *
 * @param appendLatency time from the arrival of an append to its effect and answer
 * @param appendsPerSecond maximum appends per second, beyond which appends are queued; 0 for no limit
 * @param keptRecords maximum number of records kept per stream
 * @param keptFor maximum time that a record is kept
 */
public record LogStandInSettings(Duration appendLatency, int appendsPerSecond, int keptRecords, Duration keptFor) {
    /** Latency of a synced write. */
    public static final Duration DEFAULT_APPEND_LATENCY = Duration.ofMillis(4);

    /** Throughput of a log that accepts several hundred appends per second. */
    public static final int DEFAULT_APPENDS_PER_SECOND = 400;

    private static final long RANDOM_SEED = 1;

    /** Rejects values that {@link InMemoryLogSettings} rejects. */
    public LogStandInSettings {
        new InMemoryLogSettings(keptRecords, keptFor, appendLatency, appendsPerSecond, RANDOM_SEED);
    }

    /** Returns settings that resemble the platform's log. */
    public static LogStandInSettings defaults() {
        InMemoryLogSettings kept = InMemoryLogSettings.immediate();
        return new LogStandInSettings(
                DEFAULT_APPEND_LATENCY, DEFAULT_APPENDS_PER_SECOND, kept.keptRecords(), kept.keptFor());
    }

    /** Returns the settings of the in-memory log behind the stand-in. */
    public InMemoryLogSettings inMemory() {
        return new InMemoryLogSettings(keptRecords, keptFor, appendLatency, appendsPerSecond, RANDOM_SEED);
    }
}
