package org.chivetally.daemon;

import java.time.Duration;
import org.chivetally.claim.ClaimSettings;
import org.chivetally.claim.GroupCommitSettings;
import org.chivetally.claim.SnapshotSettings;
import org.chivetally.claim.TailSettings;
import org.chivetally.coordination.DispatchSettings;
import org.chivetally.entry.EntryLimits;
import org.chivetally.entry.EntrySettings;
import org.chivetally.entry.link.Address;
import org.chivetally.entry.link.HeartbeatSettings;
import org.chivetally.resource.ResourceSettings;
import org.chivetally.settings.EntryClaimSettings;
import org.chivetally.settings.EntryDaemonSettings;
import org.chivetally.settings.HostPort;
import org.chivetally.settings.ProcessSettings;

/** Maps an entry's settings file to the settings of its parts. */
final class EntryMapping {
    private static final int RENEWALS_IN_LEASE = 3;
    private static final int WINDOWS_GONE = 2;
    private static final int SNAPSHOTS_IN_RETENTION = 4;

    private EntryMapping() {}

    static EntrySettings entry(EntryDaemonSettings settings) {
        ProcessSettings process = settings.process();
        return new EntrySettings(
                process.name(),
                process.failureDomain(),
                address(settings.http()),
                address(process.frames()),
                address(process.advertised()),
                process.seeds().stream().map(EntryMapping::address).toList(),
                claims(settings.claims()),
                dispatch(settings),
                HeartbeatSettings.standard(),
                limits(process.drainTimeout()));
    }

    private static DispatchSettings dispatch(EntryDaemonSettings settings) {
        DispatchSettings usual = DispatchSettings.defaults(settings.process().failureDomain());
        return new DispatchSettings(
                usual.failureDomain(),
                usual.decisionLines(),
                usual.policy(),
                fencing(usual.fencing(), settings.claims()),
                usual.queues(),
                usual.retries(),
                usual.speculation(),
                usual.quarantine());
    }

    static ResourceSettings resources(EntryDaemonSettings settings) {
        Duration retention = settings.claims().logRetention();
        return ResourceSettings.defaults(settings.process().name())
                .withSnapshotEvery(retention.dividedBy(SNAPSHOTS_IN_RETENTION));
    }

    // Agents and entries must agree on these: an entry that counts on an agent's memory for longer than it lasts
    // would take "not known here" for "never started", and start work twice. For the same reason an agent that ended
    // counts for as long as a job that it may have held can be taken over.
    private static DispatchSettings.Fencing fencing(DispatchSettings.Fencing usual, EntryClaimSettings claims) {
        return new DispatchSettings.Fencing(
                claims.ticketAge(),
                claims.ticketAge().multipliedBy(2).dividedBy(3),
                usual.clockMargin(),
                usual.inquiryRepeat(),
                usual.takeoverPatience(),
                claims.agentRetention(),
                claims.window().multipliedBy(WINDOWS_GONE));
    }

    private static ClaimSettings claims(EntryClaimSettings claims) {
        GroupCommitSettings usual = GroupCommitSettings.defaults();
        GroupCommitSettings commit = new GroupCommitSettings(
                claims.appendsPerSecond(),
                usual.burst(),
                usual.maximumQueued(),
                usual.maximumBatch(),
                usual.settleTime(),
                usual.retryInterval());
        return new ClaimSettings(
                claims.window(),
                claims.logRetention(),
                claims.lease(),
                claims.lease().dividedBy(RENEWALS_IN_LEASE),
                claims.ticketAge(),
                claims.claimTimeout(),
                commit,
                TailSettings.defaults(),
                SnapshotSettings.every(claims.logRetention().dividedBy(SNAPSHOTS_IN_RETENTION)));
    }

    // The jobs' part of the drain leaves time for what follows it: answers on their way, the lease's end, the leave.
    private static EntryLimits limits(Duration drainTimeout) {
        Duration afterJobs = drainTimeout.dividedBy(4);
        EntryLimits usual = EntryLimits.standard();
        return new EntryLimits(
                usual.maximumBodyBytes(),
                usual.maximumOpenSubmissions(),
                usual.maximumConnections(),
                usual.maximumKeptBytes(),
                usual.drainNotice(),
                drainTimeout.minus(afterJobs));
    }

    private static Address address(HostPort place) {
        return new Address(place.host(), place.port());
    }
}
