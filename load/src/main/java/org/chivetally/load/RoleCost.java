package org.chivetally.load;

import java.time.Duration;
import java.util.Objects;

/**
 * What the processes of one role used during a run.
 *
 * @param processes number of processes
 * @param processor processor time of all together
 * @param residentBytes resident memory of all together at the end
 */
public record RoleCost(int processes, Duration processor, long residentBytes) {
    private static final double NANOS_PER_MICRO = 1e3;
    private static final double BYTES_PER_MEBIBYTE = 1024.0 * 1024;

    /** Refuses missing parts. */
    public RoleCost {
        Objects.requireNonNull(processor, "processor");
    }

    /** Returns the sum of both. */
    public RoleCost plus(RoleCost other) {
        return new RoleCost(
                processes + other.processes, processor.plus(other.processor), residentBytes + other.residentBytes);
    }

    /** Returns the processor time of all together in microseconds for each of a number of starts. */
    public double microsEach(long starts) {
        return processor.toNanos() / NANOS_PER_MICRO / Math.max(1, starts);
    }

    /** Returns the share of one core that one process used over a time. */
    public double coreShare(Duration time) {
        return (double) processor.toNanos() / processes / time.toNanos();
    }

    /** Returns the resident memory of one process in MiB. */
    public double mebibytesEach() {
        return residentBytes / BYTES_PER_MEBIBYTE / processes;
    }
}
