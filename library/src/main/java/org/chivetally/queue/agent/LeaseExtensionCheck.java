package org.chivetally.queue.agent;

import com.google.common.flogger.FluentLogger;
import java.util.Set;
import org.chivetally.logging.EventLine;

/** Whether the minion's one lease may be extended, by a renewal or by a start. */
final class LeaseExtensionCheck {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final MinionLease lease;
    private final HeldRuns held;
    private final UnacknowledgedEnds ends;
    private final SupervisorListener listener;
    private boolean denied;

    LeaseExtensionCheck(MinionLease lease, HeldRuns held, UnacknowledgedEnds ends, SupervisorListener listener) {
        this.lease = lease;
        this.held = held;
        this.ends = ends;
        this.listener = listener;
    }

    /**
     * Tells whether the lease may be extended now. Not while the owner of anything there may have given it up: an owner
     * that is cut off starts its tasks elsewhere after a time, relying on the lease to have ended by then. The starts
     * of other owners would keep the old runs going beside the new ones, and would make an end that the owner never
     * heard of count although its task was started again.
     */
    boolean isAllowed(long nowNanos) {
        if (lease.hasExpired(nowNanos)) {
            ends.markLeaseExpired();
        }
        Set<RunOwner> owners = held.owners();
        owners.addAll(ends.ownersOfUnstoredEndsUnderLease());
        boolean allowed = owners.isEmpty() || listener.mayRenew(owners);
        if (allowed == denied) {
            denied = !allowed;
            EventLine.of(allowed ? "lease-renewed-again" : "lease-not-renewed")
                    .with("runs", held.size())
                    .with("owners", owners)
                    .log(LOGGER.atWarning());
        }
        return allowed;
    }
}
