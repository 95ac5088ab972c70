package org.chivetally.load;

import java.time.Duration;
import java.util.Objects;

/**
 * Resource usage of the processes of one role during a run.
 *
 * @param processes number of processes
 * @param processorTime total processor time of all processes
 * @param residentBytes total resident memory of all processes at the end, in bytes
 */
public record RoleUsage(int processes, Duration processorTime, long residentBytes) {
    private static final double NANOS_PER_MICRO = 1e3;
    private static final double BYTES_PER_MEBIBYTE = 1024.0 * 1024;

    /** Rejects null components. */
    public RoleUsage {
        Objects.requireNonNull(processorTime, "processor");
    }

    /** Returns the sum of this usage and another. */
    public RoleUsage plus(RoleUsage other) {
        return new RoleUsage(
                processes + other.processes,
                processorTime.plus(other.processorTime),
                residentBytes + other.residentBytes);
    }

    /** Returns the total processor time in microseconds per start. */
    public double microsPerStart(long starts) {
        return processorTime.toNanos() / NANOS_PER_MICRO / Math.max(1, starts);
    }

    /** Returns the mean share of one core that each process used over a duration. */
    public double coreShare(Duration duration) {
        return (double) processorTime.toNanos() / processes / duration.toNanos();
    }

    /** Returns the mean resident memory of a process in MiB. */
    public double mebibytesPerProcess() {
        return residentBytes / BYTES_PER_MEBIBYTE / processes;
    }
}
