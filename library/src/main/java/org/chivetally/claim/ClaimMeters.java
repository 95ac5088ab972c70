package org.chivetally.claim;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.chivetally.time.NanoClock;

/** Metrics of the claims of one process. */
final class ClaimMeters {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final Counter appends;
    private final DistributionSummary recordsPerAppend;
    private final Timer latency;
    private final Counter skipped;
    private final AtomicInteger tableSize = new AtomicInteger();

    /**
     * Registers the meters.
     *
     * @param lease this process's lease, whose remaining time is published as a gauge
     */
    ClaimMeters(MeterRegistry meters, OwnLease lease, NanoClock clock) {
        this.appends = Counter.builder("chivetally.claims.appends")
                .description("appends to the claims stream")
                .register(meters);
        this.recordsPerAppend = DistributionSummary.builder("chivetally.claims.records.per.append")
                .description("records of one append")
                .register(meters);
        this.latency = Timer.builder("chivetally.claims.latency")
                .description("time from a claim to its decision")
                .publishPercentileHistogram()
                .register(meters);
        this.skipped = Counter.builder("chivetally.claims.records.skipped")
                .description("records that could not be read")
                .register(meters);
        Gauge.builder("chivetally.claims.table.size", tableSize, AtomicInteger::get)
                .description("claims in force")
                .strongReference(true)
                .register(meters);
        Gauge.builder("chivetally.claims.lease.left", lease, held -> secondsLeft(held, clock))
                .description("what is left of this process's lease")
                .baseUnit("seconds")
                .strongReference(true)
                .register(meters);
    }

    /** Counts an append and the number of its records. */
    void recordAppend(int records) {
        appends.increment();
        recordsPerAppend.record(records);
    }

    /** Records the time from a claim to its decision, in nanoseconds. */
    void recordDecision(long waitedNanos) {
        latency.record(waitedNanos, TimeUnit.NANOSECONDS);
    }

    /** Counts a record that could not be decoded. */
    void recordSkipped() {
        skipped.increment();
    }

    /** Sets the number of claims in force. */
    void setTableSize(int claims) {
        tableSize.set(claims);
    }

    private static double secondsLeft(OwnLease lease, NanoClock clock) {
        return lease.remainingNanos(clock.nanos()) / NANOS_PER_SECOND;
    }
}
