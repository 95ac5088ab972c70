package org.chivetally.load;

import java.time.Duration;
import java.util.Objects;

/**
 * What the processes of one role used during a run.
 *
 * @param processes number of processes
 * @param processorTime processor time of all together
 * @param residentBytes resident memory of all together at the end
 */
public record RoleUsage(int processes, Duration processorTime, long residentBytes) {
    private static final double NANOS_PER_MICRO = 1e3;
    private static final double BYTES_PER_MEBIBYTE = 1024.0 * 1024;

    /** Refuses missing parts. */
    public RoleUsage {
        Objects.requireNonNull(processorTime, "processor");
    }

    /** Returns the sum of both. */
    public RoleUsage plus(RoleUsage other) {
        return new RoleUsage(
                processes + other.processes,
                processorTime.plus(other.processorTime),
                residentBytes + other.residentBytes);
    }

    /** Returns the processor time of all together in microseconds for each of a number of starts. */
    public double microsPerStart(long starts) {
        return processorTime.toNanos() / NANOS_PER_MICRO / Math.max(1, starts);
    }

    /** Returns the share of one core that one process used over a time. */
    public double coreShare(Duration duration) {
        return (double) processorTime.toNanos() / processes / duration.toNanos();
    }

    /** Returns the resident memory of one process in MiB. */
    public double mebibytesPerProcess() {
        return residentBytes / BYTES_PER_MEBIBYTE / processes;
    }
}
