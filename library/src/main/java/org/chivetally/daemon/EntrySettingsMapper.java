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
final class EntrySettingsMapper {
    private static final int RENEWALS_PER_LEASE = 3;
    private static final int GONE_RETENTION_WINDOWS = 2;
    private static final int SNAPSHOTS_PER_RETENTION = 4;

    private EntrySettingsMapper() {}

    static EntrySettings entry(EntryDaemonSettings settings) {
        ProcessSettings process = settings.process();
        return new EntrySettings(
                process.name(),
                process.failureDomain(),
                address(settings.http()),
                address(process.frames()),
                address(process.advertised()),
                process.seeds().stream().map(EntrySettingsMapper::address).toList(),
                claims(settings.claims()),
                dispatch(settings),
                HeartbeatSettings.standard(),
                limits(process.drainTimeout()));
    }

    private static DispatchSettings dispatch(EntryDaemonSettings settings) {
        DispatchSettings defaults = DispatchSettings.defaults(settings.process().failureDomain());
        return new DispatchSettings(
                defaults.failureDomain(),
                defaults.decisionLines(),
                defaults.policy(),
                fencing(defaults.fencing(), settings.claims()),
                defaults.queues(),
                defaults.retries(),
                defaults.speculation(),
                defaults.quarantine());
    }

    static ResourceSettings resources(EntryDaemonSettings settings) {
        Duration retention = settings.claims().logRetention();
        return ResourceSettings.defaults(settings.process().name())
                .withSnapshotEvery(retention.dividedBy(SNAPSHOTS_PER_RETENTION));
    }

    // Agents and entries must agree on these: an entry that counts on an agent's memory for longer than it lasts
    // would take "not known here" for "never started", and start work twice. For the same reason an agent that ended
    // counts for as long as a job that it may have held can be taken over.
    private static DispatchSettings.Fencing fencing(DispatchSettings.Fencing defaults, EntryClaimSettings claims) {
        return new DispatchSettings.Fencing(
                claims.ticketAge(),
                claims.ticketAge().multipliedBy(2).dividedBy(3),
                defaults.clockMargin(),
                defaults.inquiryRepeat(),
                defaults.takeoverPatience(),
                claims.agentRetention(),
                claims.window().multipliedBy(GONE_RETENTION_WINDOWS));
    }

    private static ClaimSettings claims(EntryClaimSettings claims) {
        GroupCommitSettings defaults = GroupCommitSettings.defaults();
        GroupCommitSettings commit = new GroupCommitSettings(
                claims.appendsPerSecond(),
                defaults.burst(),
                defaults.maximumQueued(),
                defaults.maximumBatch(),
                defaults.settleTime(),
                defaults.retryInterval());
        return new ClaimSettings(
                claims.window(),
                claims.logRetention(),
                claims.lease(),
                claims.lease().dividedBy(RENEWALS_PER_LEASE),
                claims.ticketAge(),
                claims.claimTimeout(),
                commit,
                TailSettings.defaults(),
                SnapshotSettings.every(claims.logRetention().dividedBy(SNAPSHOTS_PER_RETENTION)));
    }

    // The jobs' part of the drain leaves time for what follows it: answers on their way, the lease's end, the leave.
    private static EntryLimits limits(Duration drainTimeout) {
        Duration timeAfterJobs = drainTimeout.dividedBy(4);
        EntryLimits defaults = EntryLimits.standard();
        return new EntryLimits(
                defaults.maximumBodyBytes(),
                defaults.maximumOpenSubmissions(),
                defaults.maximumConnections(),
                defaults.maximumKeptBytes(),
                defaults.drainNotice(),
                drainTimeout.minus(timeAfterJobs));
    }

    private static Address address(HostPort hostPort) {
        return new Address(hostPort.host(), hostPort.port());
    }
}
