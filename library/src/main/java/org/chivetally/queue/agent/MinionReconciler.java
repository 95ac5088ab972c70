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

/** Reconciles the agent's view of a minion with the minion's lists of running and ended runs. */
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
    private boolean endsTruncated;

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

    /**
     * Tells whether the agent knew all listed runs and all ends at some poll. Until then, runs that its predecessor
     * started, or their ends, may be left.
     */
    boolean isComplete() {
        return complete;
    }

    /** Tells whether the minion may have ends that the latest lists omit. */
    boolean mayOmitEnds() {
        return endsTruncated;
    }

    /** Tells whether the minion runs anything that the agent doesn't know. */
    boolean hasUnknownRuns() {
        return !unknownRuns.isEmpty();
    }

    /** Discards what is known of the minion's lists, as their incarnation was replaced. */
    void clear() {
        unknownRuns.clear();
        endsTruncated = false;
    }

    /**
     * Reconciles the agent's view with the minion's lists.
     *
     * @param incarnation the incarnation that answered
     * @param lists its lists
     * @param sentAtNanos when the poll was sent, on the monotonic clock in nanoseconds
     * @return the ends that were not listed before
     */
    List<OwnedEnd> reconcile(Incarnation incarnation, PollResult.Lists lists, long sentAtNanos) {
        List<OwnedEnd> newEnds = reconcileEnds(incarnation, lists.ends());
        updateTruncation(incarnation, lists);
        reconcileRunning(incarnation, lists, sentAtNanos);
        return newEnds;
    }

    private void updateTruncation(Incarnation incarnation, PollResult.Lists lists) {
        if (endsTruncated == lists.endsTruncated()) {
            return;
        }
        endsTruncated = lists.endsTruncated();
        EventLine.of(endsTruncated ? "ends-truncated" : "ends-complete")
                .with("minion", incarnation.name())
                .with("ends", lists.ends().size())
                .with("running", lists.running().size())
                .with("held", held.size())
                .log(endsTruncated ? LOGGER.atWarning() : LOGGER.atInfo());
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
                // Ends of in-memory jobs are not stored, so the minion may discard this one now.
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
            } else if (lists.endsTruncated()) {
                // Its end may be omitted; reported as lost, its task would start again although it may be done.
                continue;
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
        // The agent's predecessor started these runs, so their resources aren't known here. Nothing is started until
        // their lease, which isn't renewed, has expired. Runs that show up after that have no owner and are stopped.
        unknownRuns.update(unknown);
        complete |= unknownRuns.isEmpty() && !endsTruncated;
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

    /**
     * Returns the owner of a run that the agent's predecessor started. Only durable jobs have an owner that does not
     * end with a process: their partition.
     */
    private RunOwner partitionOf(RunKey run) {
        return new RunOwner.Partition(Partitions.of(run.task().jobId(), partitions));
    }
}
