package org.chivetally.queue.agent;

import com.google.common.flogger.FluentLogger;
import java.util.Set;
import org.chivetally.logging.EventLine;

/** Whether the minion's one lease may be extended, by a renewal or by a start. */
final class LeasePermission {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final MinionLease lease;
    private final HeldRuns held;
    private final EndList ends;
    private final SupervisorListener listener;
    private boolean isHeldBack;

    LeasePermission(MinionLease lease, HeldRuns held, EndList ends, SupervisorListener listener) {
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
    boolean isGiven(long nowNanos) {
        if (lease.hasLapsed(nowNanos)) {
            ends.lapsed();
        }
        Set<RunOwner> owners = held.owners();
        owners.addAll(ends.ownersBeforeLapse());
        boolean given = owners.isEmpty() || listener.mayRenew(owners);
        if (given == isHeldBack) {
            isHeldBack = !given;
            EventLine.of(given ? "lease-renewed-again" : "lease-not-renewed")
                    .with("runs", held.size())
                    .with("owners", owners)
                    .log(LOGGER.atWarning());
        }
        return given;
    }
}
