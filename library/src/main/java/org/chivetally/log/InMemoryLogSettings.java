package org.chivetally.log;

import java.time.Duration;
import java.util.Objects;

/**
 * How an {@link InMemoryPlatformLog} keeps records and how fast it takes them.
 *
 * @param keptRecords most records kept per stream; older ones expire
 * @param keptFor longest time a record is kept
 * @param appendLatency time from the arrival of an append to its effect and answer
 * @param appendsPerSecond most appends a second over all streams, further ones queue; zero sets no ceiling
 * @param seed seed of the random choices of faults
 */
public record InMemoryLogSettings(
        int keptRecords, Duration keptFor, Duration appendLatency, int appendsPerSecond, long seed) {
    private static final int DEFAULT_KEPT_RECORDS = 1_000_000;
    private static final Duration DEFAULT_KEPT_FOR = Duration.ofHours(1);

    /** Refuses settings that keep nothing and negative times. */
    public InMemoryLogSettings {
        Objects.requireNonNull(keptFor, "keptFor");
        Objects.requireNonNull(appendLatency, "appendLatency");
        if (keptRecords < 1 || !keptFor.isPositive()) {
            throw new IllegalArgumentException("a log keeps at least one record for some time");
        }
        if (appendLatency.isNegative() || appendsPerSecond < 0) {
            throw new IllegalArgumentException("latency and ceiling can't be negative");
        }
    }

    /** Returns settings of a log that answers at once, without a ceiling. */
    public static InMemoryLogSettings immediate() {
        return new InMemoryLogSettings(DEFAULT_KEPT_RECORDS, DEFAULT_KEPT_FOR, Duration.ZERO, 0, 0);
    }
}
