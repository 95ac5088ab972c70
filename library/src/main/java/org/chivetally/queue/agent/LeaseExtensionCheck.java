package org.chivetally.queue.agent;

import com.google.common.flogger.FluentLogger;
import java.util.Set;
import org.chivetally.logging.EventLine;

/** Decides whether a renewal or a start may extend the minion's lease, which covers all of its runs. */
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
     * Tells whether the lease may be extended now. It may not if the owner of any run or unstored end has lost contact
     * with the agent: such an owner starts its tasks elsewhere after a timeout and relies on the lease having expired
     * by then. Starts of other owners would keep the old runs going beside the new ones, and would validate an end that
     * its owner never received although the task was started again.
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
