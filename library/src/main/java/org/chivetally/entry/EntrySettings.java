package org.chivetally.entry;

import java.util.List;
import java.util.Objects;
import org.chivetally.claim.ClaimSettings;
import org.chivetally.coordination.DispatchSettings;
import org.chivetally.entry.link.Address;
import org.chivetally.entry.link.HeartbeatSettings;

/**
 * Settings of one entry.
 *
 * @param processId name of the process, stable over restarts
 * @param failureDomain where the process runs
 * @param http where callers and operators are served
 * @param frames where other processes are served
 * @param advertised where other processes reach the frames' listener; port 0 stands for the listener's own
 * @param seeds frames' listeners of other entries, for when the log is down
 */
public record EntrySettings(
        String processId,
        String failureDomain,
        Address http,
        Address frames,
        Address advertised,
        List<Address> seeds,
        ClaimSettings claims,
        DispatchSettings dispatch,
        HeartbeatSettings heartbeats,
        EntryLimits limits) {
    /** Refuses missing parts. */
    public EntrySettings {
        Objects.requireNonNull(processId, "processId");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(http, "http");
        Objects.requireNonNull(frames, "frames");
        Objects.requireNonNull(advertised, "advertised");
        Objects.requireNonNull(claims, "claims");
        Objects.requireNonNull(dispatch, "dispatch");
        Objects.requireNonNull(heartbeats, "heartbeats");
        Objects.requireNonNull(limits, "limits");
        seeds = List.copyOf(seeds);
    }
}
