package org.chivetally.log;

import java.time.Duration;
import java.util.Objects;

/**
 * Retention, latency and throughput of an {@link InMemoryPlatformLog}.
 *
 * @param keptRecords maximum number of records per stream; older ones expire
 * @param keptFor maximum age of a record
 * @param appendLatency time from the arrival of an append to its effect and response
 * @param appendsPerSecond maximum number of appends per second over all streams, further ones are queued; 0 for no
 *     limit
 * @param seed seed of the random faults
 */
public record InMemoryLogSettings(
        int keptRecords, Duration keptFor, Duration appendLatency, int appendsPerSecond, long seed) {
    private static final int DEFAULT_KEPT_RECORDS = 1_000_000;
    private static final Duration DEFAULT_KEPT_FOR = Duration.ofHours(1);

    /** Rejects settings that retain no records, and negative values. */
    public InMemoryLogSettings {
        Objects.requireNonNull(keptFor, "keptFor");
        Objects.requireNonNull(appendLatency, "appendLatency");
        if (keptRecords < 1 || !keptFor.isPositive()) {
            throw new IllegalArgumentException("keptRecords and keptFor must be positive");
        }
        if (appendLatency.isNegative() || appendsPerSecond < 0) {
            throw new IllegalArgumentException("appendLatency and appendsPerSecond must not be negative");
        }
    }

    /** Returns settings of a log that responds immediately and has no rate limit. */
    public static InMemoryLogSettings immediate() {
        return new InMemoryLogSettings(DEFAULT_KEPT_RECORDS, DEFAULT_KEPT_FOR, Duration.ZERO, 0, 0);
    }
}
