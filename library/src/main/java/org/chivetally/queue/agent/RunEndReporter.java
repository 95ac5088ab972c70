package org.chivetally.queue.agent;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import org.chivetally.logging.EventLine;
import org.chivetally.queue.RunOutcome;

/** Ends of runs that the minion doesn't list: frees their room and reports them to their owners. */
final class RunEndReporter {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final HeldRuns held;
    private final SupervisorListener listener;
    private final UnstoredCrashes unstoredCrashes;

    RunEndReporter(HeldRuns held, SupervisorListener listener, UnstoredCrashes ledger) {
        this.held = held;
        this.listener = listener;
        this.unstoredCrashes = ledger;
    }

    /** Ends a run that isn't at a minion and never will be. */
    void reportNeverStarted(Incarnation incarnation, HeldRun run) {
        report(run, run.unlistedEnd(incarnation.name(), RunOutcome.NEVER_STARTED));
    }

    /** Ends one run. */
    void report(HeldRun run, OwnedEnd end) {
        held.remove(run);
        listener.ended(List.of(end));
        listener.roomChanged();
    }

    /** Ends all runs that are held. */
    void reportAllLost(String incarnation, RunOutcome outcome, String reason) {
        reportLost(incarnation, held.endAll(incarnation, outcome), reason);
    }

    /** Reports runs that are no longer held. */
    void reportLost(String incarnation, List<OwnedEnd> lost, String reason) {
        if (lost.isEmpty()) {
            return;
        }
        EventLine.of("runs-lost")
                .with("minion", incarnation)
                .with("runs", lost.size())
                .with("reason", reason)
                .with("outcome", lost.getFirst().end().outcome())
                .log(LOGGER.atWarning());
        List<OwnedEnd> reported = new ArrayList<>();
        for (OwnedEnd end : lost) {
            boolean awaitsStorage =
                    end.end().outcome() == RunOutcome.CRASHED && end.owner() instanceof RunOwner.Partition;
            reported.add(awaitsStorage ? unstoredCrashes.add(end) : end);
        }
        listener.ended(reported);
    }
}
