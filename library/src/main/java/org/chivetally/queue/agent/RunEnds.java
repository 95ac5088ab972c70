package org.chivetally.queue.agent;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import org.chivetally.logging.EventLine;
import org.chivetally.queue.RunOutcome;

/** Ends of runs that the minion doesn't list: frees their room and reports them to their owners. */
final class RunEnds {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final HeldRuns held;
    private final SupervisorListener listener;
    private final CrashLedger ledger;

    RunEnds(HeldRuns held, SupervisorListener listener, CrashLedger ledger) {
        this.held = held;
        this.listener = listener;
        this.ledger = ledger;
    }

    /** Ends a run that isn't at a minion and never will be. */
    void neverStarted(Incarnation at, HeldRun run) {
        ended(run, run.unlistedEnd(at.name(), RunOutcome.NEVER_STARTED));
    }

    /** Ends one run. */
    void ended(HeldRun run, OwnedEnd end) {
        held.remove(run);
        listener.ended(List.of(end));
        listener.roomChanged();
    }

    /** Ends all runs that are held. */
    void allLost(String minion, RunOutcome outcome, String reason) {
        lost(minion, held.endAll(minion, outcome), reason);
    }

    /** Reports runs that are no longer held. */
    void lost(String minion, List<OwnedEnd> lost, String reason) {
        if (lost.isEmpty()) {
            return;
        }
        EventLine.of("runs-lost")
                .with("minion", minion)
                .with("runs", lost.size())
                .with("reason", reason)
                .with("outcome", lost.getFirst().end().outcome())
                .log(LOGGER.atWarning());
        List<OwnedEnd> reported = new ArrayList<>();
        for (OwnedEnd end : lost) {
            boolean isCounted = end.end().outcome() == RunOutcome.CRASHED && end.owner() instanceof RunOwner.Partition;
            reported.add(isCounted ? ledger.add(end) : end);
        }
        listener.ended(reported);
    }
}
