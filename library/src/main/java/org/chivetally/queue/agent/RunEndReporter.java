package org.chivetally.queue.agent;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import org.chivetally.logging.EventLine;
import org.chivetally.queue.RunOutcome;

/** Ends runs that the minion doesn't list as ended: releases their resources and reports them to their owners. */
final class RunEndReporter {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final HeldRuns held;
    private final SupervisorListener listener;
    private final UnstoredCrashes unstoredCrashes;
    private final SuspectedCrashes suspectedCrashes = new SuspectedCrashes();

    RunEndReporter(HeldRuns held, SupervisorListener listener, UnstoredCrashes unstoredCrashes) {
        this.held = held;
        this.listener = listener;
        this.unstoredCrashes = unstoredCrashes;
    }

    /** Ends a run that was not started at an incarnation and never will be. */
    void reportNeverStarted(Incarnation incarnation, HeldRun run) {
        report(run, run.unlistedEnd(incarnation.name(), RunOutcome.NEVER_STARTED));
    }

    /** Ends one run. */
    void report(HeldRun run, OwnedEnd end) {
        held.remove(run);
        listener.ended(List.of(end));
        listener.roomChanged();
    }

    /**
     * Ends all runs that are held.
     *
     * @param incarnation name of the incarnation that ran them
     * @param outcome how they ended
     * @param reason for logs
     */
    void reportAllLost(String incarnation, RunOutcome outcome, String reason) {
        reportLost(incarnation, held.endAll(incarnation, outcome), reason);
    }

    /**
     * Reports ends of runs that were released already.
     *
     * @param incarnation name of the minion's incarnation, for logs
     * @param lost the ends
     * @param reason for logs
     */
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
        reportUnlisted(lost);
    }

    /** Returns the ends of which it is not known yet whether the minion crashed. */
    List<OwnedEnd> suspectedCrashes() {
        return suspectedCrashes.unresolved();
    }

    /**
     * Reports what has become of the suspected crashes.
     *
     * @param incarnation name of the suspected incarnation, for logs
     * @param outcome {@link RunOutcome#CRASHED} if another incarnation answers, {@link RunOutcome#LOST} if the
     *     suspected one does
     */
    void resolveSuspectedCrashes(String incarnation, RunOutcome outcome) {
        List<OwnedEnd> resolved = suspectedCrashes.resolve(outcome);
        if (resolved.isEmpty()) {
            return;
        }
        EventLine.of(outcome == RunOutcome.CRASHED ? "crash-confirmed" : "crash-disproved")
                .with("minion", incarnation)
                .with("runs", resolved.size())
                .log(LOGGER.atWarning());
        reportUnlisted(resolved);
    }

    private void reportUnlisted(List<OwnedEnd> ends) {
        List<OwnedEnd> reported = new ArrayList<>();
        for (OwnedEnd end : ends) {
            if (end.end().outcome() == RunOutcome.CRASH_SUSPECTED) {
                suspectedCrashes.add(end);
            }
            boolean awaitsStorage =
                    end.end().outcome() == RunOutcome.CRASHED && end.owner() instanceof RunOwner.Partition;
            reported.add(awaitsStorage ? unstoredCrashes.add(end) : end);
        }
        listener.ended(reported);
    }
}
