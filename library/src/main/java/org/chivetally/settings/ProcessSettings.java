package org.chivetally.settings;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * Settings that all daemons share.
 *
 * @param name name of the process, stable across restarts
 * @param failureDomain failure domain of the process
 * @param frames address on which the process listens for frames
 * @param advertised address at which other processes reach that listener; port 0 stands for the port that was bound
 * @param log access to the platform's log
 * @param seeds frame listeners of entries, to which the process connects while the log is unavailable
 * @param drainTimeout maximum time from SIGTERM to the end of the process
 * @param logLevel minimum level of log lines
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
    /** Copies the seeds and rejects missing components. */
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
