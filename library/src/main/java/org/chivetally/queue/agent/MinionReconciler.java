package org.chivetally.queue.agent;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.chivetally.logging.EventLine;
import org.chivetally.queue.Partitions;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.agent.MinionPort.ListedEnd;
import org.chivetally.queue.agent.MinionPort.PollResult;
import org.chivetally.time.Timers;

/** Brings what is held in line with a minion's lists of what runs and what has ended. */
final class MinionReconciler {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Timers timers;
    private final HeldRuns held;
    private final UnacknowledgedEnds ends;
    private final RunCommands commands;
    private final RunEndReporter endReporter;
    private final int partitions;
    private final UnknownRuns unknownRuns = new UnknownRuns();
    private boolean complete;

    MinionReconciler(
            Timers timers,
            HeldRuns held,
            UnacknowledgedEnds ends,
            RunCommands commands,
            RunEndReporter endReporter,
            int partitions) {
        this.timers = timers;
        this.held = held;
        this.ends = ends;
        this.commands = commands;
        this.endReporter = endReporter;
        this.partitions = partitions;
    }

    /** Tells whether everything that the lists have shown so far is known here, or was at one time. */
    boolean isComplete() {
        return complete;
    }

    /** Tells whether runs are there that nobody here knows. */
    boolean hasUnknownRuns() {
        return !unknownRuns.isEmpty();
    }

    /** Forgets what an earlier incarnation listed. */
    void clear() {
        unknownRuns.clear();
    }

    /**
     * Takes the lists over.
     *
     * @param at the incarnation that lists
     * @param sentAtNanos when it was asked
     * @return ends that are new
     */
    List<OwnedEnd> reconcile(Incarnation incarnation, PollResult.Lists lists, long sentAtNanos) {
        List<OwnedEnd> newEnds = reconcileEnds(incarnation, lists.ends());
        reconcileRunning(incarnation, lists, sentAtNanos);
        return newEnds;
    }

    private List<OwnedEnd> reconcileEnds(Incarnation incarnation, List<ListedEnd> listed) {
        List<OwnedEnd> newEnds = new ArrayList<>();
        for (ListedEnd end : listed) {
            HeldRun run = held.of(end.run().task());
            boolean isHeld = run != null && run.key().equals(end.run());
            RunOwner owner = isHeld ? run.owner() : partitionOf(end.run());
            if (!ends.add(end, owner)) {
                continue;
            }
            newEnds.add(new OwnedEnd(owner, end.toEndedRun(incarnation.name())));
            if (isHeld) {
                held.remove(run);
            }
            if (owner instanceof RunOwner.Entry) {
                // Nothing of such a job is stored, so the minion may forget the end as soon as it was told here.
                ends.markStored(end.sequence());
            }
        }
        return newEnds;
    }

    private void reconcileRunning(Incarnation incarnation, PollResult.Lists lists, long sentAtNanos) {
        Set<RunKey> running = new HashSet<>(lists.running());
        Set<RunKey> unknown = new HashSet<>(running);
        List<OwnedEnd> lost = new ArrayList<>();
        for (HeldRun run : held.all()) {
            unknown.remove(run.key());
            if (running.contains(run.key())) {
                confirmRunning(incarnation, run);
            } else if (run.isCarriedOver()) {
                held.remove(run);
                lost.add(run.endAtPreviousIncarnation());
            } else if (run.isStartRuledOut(lists.clockMillis(), sentAtNanos)) {
                endReporter.reportNeverStarted(incarnation, run);
            } else if (run.stage() == HeldRun.Stage.RUNNING && sentAtNanos - run.stageSinceNanos() > 0) {
                reportVanished(incarnation, run);
            }
        }
        endReporter.reportLost(incarnation.name(), lost, "reborn");
        // Runs of an agent before this one: their room isn't known here, so nothing is started until their lease,
        // which nobody renews, has ended. Once none is left, nobody knows a run that turns up, and it is stopped.
        unknownRuns.update(unknown);
        complete |= unknownRuns.isEmpty();
        if (complete) {
            commands.stopUnknownRuns(incarnation, unknownRuns);
        }
    }

    private void confirmRunning(Incarnation incarnation, HeldRun run) {
        boolean stopAgain = run.isCarriedOver() && run.isStopRequested();
        run.listed(timers.nanos());
        if (stopAgain) {
            commands.stop(incarnation, run);
        }
    }

    private void reportVanished(Incarnation incarnation, HeldRun run) {
        EventLine.of("run-vanished")
                .with("run", run.key())
                .with("minion", incarnation.name())
                .log(LOGGER.atWarning());
        endReporter.report(run, run.unlistedEnd(incarnation.name(), RunOutcome.LOST));
    }

    /** Returns the owner of a run that an agent before this one started: only kept jobs have owners that last. */
    private RunOwner partitionOf(RunKey run) {
        return new RunOwner.Partition(Partitions.of(run.task().jobId(), partitions));
    }
}
