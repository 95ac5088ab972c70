package org.chivetally.settings;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * What every daemon is told.
 *
 * @param name name of the process, stable over restarts
 * @param failureDomain failure domain that the process runs in
 * @param frames where the process listens for frames of other processes
 * @param advertised where other processes reach that listener; port 0 stands for the port it got
 * @param log how the platform's log is reached
 * @param seeds entries' listeners for frames, dialled while the log can't be reached
 * @param drainTimeout longest time from SIGTERM to the end of the process
 * @param logLevel least level of log lines
 */
public record ProcessSettings(
        String name,
        String failureDomain,
        HostPort frames,
        HostPort advertised,
        LogAccessSettings log,
        List<HostPort> seeds,
        Duration drainTimeout,
        LogLevel logLevel) {
    /** Copies the seeds and refuses missing parts. */
    public ProcessSettings {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(frames, "frames");
        Objects.requireNonNull(advertised, "advertised");
        Objects.requireNonNull(log, "log");
        Objects.requireNonNull(drainTimeout, "drainTimeout");
        Objects.requireNonNull(logLevel, "logLevel");
        seeds = List.copyOf(seeds);
    }
}
