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

/** Maps the settings file of an entry to the settings of its components. */
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

    // Agents and entries must agree on these durations: an entry that assumes a longer retention than the agent has
    // would interpret "not known here" as "never started" and start a task twice. For the same reason the record of an
    // agent that ended is retained while a job whose tasks it may have run can be taken over.
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

    // A quarter of the drain timeout is reserved for the steps after the jobs: answers in transit, the end of the lease
    // and the announcement that the entry leaves.
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
