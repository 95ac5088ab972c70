package org.chivetally.queue.agent;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.chivetally.logging.EventLine;
import org.chivetally.queue.Room;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.agent.MinionPort.PollRequest;
import org.chivetally.queue.agent.MinionPort.PollResult;
import org.chivetally.queue.agent.MinionPort.StartRequest;
import org.chivetally.time.Timers;

/**
 * Supervises the runs of one minion. It is the minion's only caller, so its account of the resources is exact: those of
 * a run are occupied from before its start is sent until its end is listed or its start is ruled out.
 */
public final class RunSupervisor {
    /**
     * Age of the last answer after which polls don't renew the lease, so that it expires if the minion's state is
     * unknown.
     */
    static final long RENEWAL_CUTOFF_NANOS = Duration.ofMillis(800).toNanos();

    /**
     * Age of the last answer after which the minion counts as unresponsive and refuses starts. With one call in
     * eighteen unanswered, two polls in a row are lost once in 300 polls; a minion that is cut off is detected before
     * its first starts have been found unconfirmed and abandoned.
     */
    static final long UNRESPONSIVE_NANOS = Duration.ofMillis(600).toNanos();

    /**
     * Time after the agent's start from which an unannounced minion and its runs are considered gone. Two announcements
     * are due in it, and four leases end.
     */
    static final long ANNOUNCEMENT_TIMEOUT_NANOS = Duration.ofSeconds(4).toNanos();

    /** Reason for refusing a start that doesn't fit. The worker may be tried again when it reports free resources. */
    public static final String NO_ROOM = "no room";

    /** Reason for refusing a second suspected task. The worker may be tried again when it holds none. */
    public static final String SUSPECT_HELD = "suspect held";

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Timers timers;
    private final MinionPort port;
    private final SupervisorListener listener;
    private final HeldRuns held = new HeldRuns();
    private final UnacknowledgedEnds ends = new UnacknowledgedEnds();
    private final IncarnationHistory history;
    private final MinionLease lease = new MinionLease();
    private final FencingToken token;
    private final LeaseExtensionCheck leaseCheck;
    private final RunCommands commands;
    private final UnstoredCrashes unstoredCrashes;
    private final RunEndReporter endReporter;
    private final MinionReconciler reconciler;
    private Optional<MinionState> minion = Optional.empty();
    private final long startedAtNanos;
    private boolean reconciled;
    private boolean restored;
    /** The current incarnation answered a poll but has not announced itself yet. */
    private boolean awaitingAnnouncement;

    private boolean departing;
    /** The minion's address refused the connection of the last poll. */
    private boolean connectionRefused;

    private boolean responsive = true;
    private boolean leaving;
    private boolean used;
    private boolean pollInFlight;
    private boolean pollScheduled;
    private long pollNumber;
    private long acknowledgedThrough;
    private long lastAnswerNanos;

    /** Creates a supervisor without a minion. Durable jobs are divided among the given number of partitions. */
    public RunSupervisor(Timers timers, MinionPort port, SupervisorListener listener, int partitions) {
        this.timers = timers;
        this.port = port;
        this.history = new IncarnationHistory(port);
        this.listener = listener;
        this.startedAtNanos = timers.nanos();
        this.token = new FencingToken(timers);
        this.leaseCheck = new LeaseExtensionCheck(lease, held, ends, listener);
        this.commands = new RunCommands(timers, port, token, lease, new CommandCallbacks());
        this.unstoredCrashes = new UnstoredCrashes("crashes@" + token.value());
        this.endReporter = new RunEndReporter(held, listener, unstoredCrashes);
        this.reconciler = new MinionReconciler(timers, held, ends, commands, endReporter, partitions);
    }

    /** Returns the minion, once one has announced itself. */
    public Optional<MinionState> minion() {
        return minion;
    }

    /** Tells whether starts are accepted. They are not while the list of ends is truncated, as it would only grow. */
    public boolean isAccepting() {
        return !leaving
                && responsive
                && reconciled
                && !awaitingAnnouncement
                && !departing
                && !reconciler.hasUnknownRuns()
                && !reconciler.mayOmitEnds()
                && minion.isPresent()
                && !minion.get().leaving();
    }

    /**
     * Tells whether the known runs and ends are all that the minion has. After a restart of the agent, runs of its
     * predecessor may be left, or ends that a truncated list omits; an owner that takes them for absent would start
     * their tasks a second time.
     */
    public boolean isInventoryComplete() {
        return reconciler.isComplete()
                || minion.isEmpty() && timers.nanos() - startedAtNanos > ANNOUNCEMENT_TIMEOUT_NANOS;
    }

    /** Returns the capacity minus the resources of all runs that are in progress, being stopped, or may still start. */
    public Room free() {
        return minion.isEmpty() ? Room.NONE : minion.get().capacity().minus(held.room());
    }

    /** Returns the runs that occupy resources, with their owners. */
    public Map<RunKey, RunOwner> runs() {
        return held.byKey();
    }

    /** Returns the listed ends that no owner has stored yet. */
    public List<OwnedEnd> unstoredEnds() {
        List<OwnedEnd> open = unstoredCrashes.unstored();
        if (minion.isPresent()) {
            open.addAll(ends.unstored(minion.get().incarnation().name()));
        }
        return open;
    }

    /** Returns the ends of which it is not known yet whether the minion crashed. */
    public List<OwnedEnd> suspectedCrashes() {
        return endReporter.suspectedCrashes();
    }

    /** Tells whether there are neither runs nor ends that wait to be stored. */
    public boolean isIdle() {
        return held.isEmpty() && ends.isEmpty();
    }

    /** Returns the number of runs whose tasks were running on a minion when that minion crashed. */
    public int suspected() {
        return held.suspected();
    }

    /** Returns the fencing token that this agent's calls carry now. */
    public long token() {
        return token.value();
    }

    /** Tells whether no start was ever sent. */
    public boolean isUnused() {
        return !used;
    }

    /** Refuses starts from now on, as the process is about to stop. */
    public void leave() {
        leaving = true;
        listener.roomChanged();
    }

    /**
     * Restores the minion of the agent's predecessor without waiting for its next announcement. That takes up to 1.5 s,
     * and after a complete power loss no worker would be known until then. Starts are refused until it has answered a
     * poll; the poll contains its id, so a replaced minion is detected. If it doesn't answer in time, it is discarded.
     */
    public void restore(MinionState state) {
        if (minion.isPresent() || !history.isFirstIncarnation()) {
            // The minion has announced itself or departed in the meantime, which is more recent.
            return;
        }
        EventLine.of("minion-recalled")
                .with("minion", state.incarnation().name())
                .log(LOGGER.atInfo());
        announced(state);
        restored = true;
        timers.after(Duration.ofNanos(ANNOUNCEMENT_TIMEOUT_NANOS), this::discardUnlessAnswered);
    }

    private void discardUnlessAnswered() {
        if (!restored) {
            return;
        }
        EventLine.of("minion-not-found").with("minion", name()).log(LOGGER.atWarning());
        restored = false;
        pollInFlight = false;
        pollNumber++;
        minion = Optional.empty();
        minionChanged();
    }

    private String name() {
        return minion.isEmpty() ? "" : minion.get().incarnation().name();
    }

    private void minionChanged() {
        listener.minionChanged();
        listener.roomChanged();
    }

    /**
     * Processes an announcement of the minion. One from an earlier incarnation, or one that is older than the current
     * state, was delayed and is ignored. One that would end runs has to be confirmed by the announced incarnation, also
     * if the known one doesn't answer: it may be cut off, and its runs go on until their lease has expired.
     */
    public void announced(MinionState state) {
        if (history.isStale(state, minion.orElse(null))) {
            return;
        }
        boolean isAnother = minion.isPresent() && !minion.get().incarnation().matches(state.incarnation());
        boolean isKnownOnePresent = responsive && reconciled || !held.isEmpty();
        if (isAnother && !restored && isKnownOnePresent) {
            history.verify(state, token.value(), this::acceptVerified);
        } else {
            accept(state, true);
        }
    }

    private void acceptVerified(MinionState state) {
        if (!history.isStale(state, minion.orElse(null))) {
            accept(state, true);
        }
    }

    private void accept(MinionState reported, boolean announced) {
        restored = false;
        Optional<MinionState> before = minion;
        boolean same = before.isPresent() && before.get().incarnation().matches(reported.incarnation());
        if (!same) {
            before.ifPresent(old -> discardIncarnation(old, reported.minionId(), outcomeOfLostRuns(old), "reborn"));
            if (before.isEmpty() && history.hasEarlierIncarnation(reported.minionId())) {
                // A start that was sent to the departed incarnation is refused once this one has been polled.
                token.increment();
            }
            restartLease(reported.clockMillis());
        }
        minion = Optional.of(same ? before.get().updatedTo(reported) : reported);
        MinionState now = minion.get();
        boolean changed = !same || before.get().leaving() != now.leaving() || awaitingAnnouncement && announced;
        awaitingAnnouncement = !announced;
        if (changed) {
            EventLine.of("minion-announced")
                    .with("minion", now.incarnation().name())
                    .with("leaving", now.leaving())
                    .with("capacity", now.capacity())
                    .log(LOGGER.atInfo());
            minionChanged();
        }
        if (same && !before.get().capacity().equals(now.capacity())) {
            capacityChanged(before.get().capacity(), now.capacity());
        }
        poll();
    }

    /** Discards the clock and the lease of an earlier incarnation. */
    private void restartLease(long clockMillis) {
        lastAnswerNanos = timers.nanos();
        lease.reset(clockMillis, lastAnswerNanos);
        if (!held.isEmpty()) {
            // A start that was sent to the previous incarnation may have begun a lease at this one.
            lease.extend(lastAnswerNanos);
        }
    }

    private void capacityChanged(Room before, Room now) {
        EventLine.of("minion-capacity-changed")
                .with("minion", name())
                .with("before", before)
                .with("capacity", now)
                .with("taken", held.room())
                .log(LOGGER.atInfo());
        listener.capacityChanged(!before.fitsInto(now));
        listener.minionChanged();
    }

    /**
     * Processes the departure message of the minion. The minion goes on if the answer to the message is lost, so its
     * runs end only when it is gone, or by their lease, which isn't renewed any more.
     */
    public void departed(String minionId) {
        if (minion.isEmpty() || !minion.get().minionId().equals(minionId) || departing) {
            return;
        }
        departing = true;
        Incarnation checked = minion.get().incarnation();
        EventLine.of("minion-departing")
                .with("minion", checked.name())
                .with("runs", held.size())
                .log(LOGGER.atInfo());
        new DepartureCheck(
                        timers,
                        port,
                        checked,
                        token,
                        isIdReused(),
                        () -> !held.isEmpty(),
                        hasDeparted -> departureChecked(checked, hasDeparted))
                .poll();
        listener.roomChanged();
    }

    /** Tells whether an earlier incarnation had the minion's id, so that a departure message may refer to that one. */
    private boolean isIdReused() {
        return history.hasEarlierIncarnation(minion.orElseThrow().minionId());
    }

    private void departureChecked(Incarnation checked, boolean hasDeparted) {
        if (!departing || minion.isEmpty() || !minion.get().incarnation().matches(checked)) {
            return;
        }
        departing = false;
        if (hasDeparted) {
            discardMinion(RunOutcome.LOST, "departed");
        } else {
            listener.roomChanged();
        }
    }

    private void discardMinion(RunOutcome outcome, String reason) {
        discardIncarnation(minion.orElseThrow(), "", outcome, reason);
        minion = Optional.empty();
        minionChanged();
    }

    /** Discards an incarnation whose runs end with the given outcome; the new id is empty if no minion replaces it. */
    private void discardIncarnation(MinionState old, String newMinionId, RunOutcome outcome, String reason) {
        restored = false;
        awaitingAnnouncement = false;
        departing = false;
        history.markReplaced(old.incarnation());
        endReporter.resolveSuspectedCrashes(old.incarnation().name(), outcome);
        // The answer of the old incarnation may be late or never come; the new one is polled without waiting for it.
        pollInFlight = false;
        responsive = true;
        pollScheduled = false;
        pollNumber++;
        if (old.minionId().equals(newMinionId)) {
            carryOver(old, outcome);
        } else {
            endReporter.reportAllLost(old.incarnation().name(), outcome, reason);
        }
        ends.clear();
        acknowledgedThrough = 0;
        reconciler.clear();
        reconciled = false;
    }

    /** Returns the outcome of runs on a lost minion: it crashed, unless it had announced that it was leaving. */
    private RunOutcome outcomeOfLostRuns(MinionState lost) {
        return lost.leaving() || departing ? RunOutcome.LOST : RunOutcome.CRASHED;
    }

    /**
     * Lets the first lists of a new incarnation under the same id decide which runs are lost. Calls contain only the
     * id, so it may have executed starts that were sent to the previous one. Once polled with the new token, it refuses
     * further ones, so its lists are final.
     */
    private void carryOver(MinionState old, RunOutcome outcome) {
        token.increment();
        for (HeldRun run : held.all()) {
            run.carryOver(old.incarnation(), outcome);
        }
        if (!held.isEmpty()) {
            EventLine.of("runs-carried-over")
                    .with("minion", old.incarnation().name())
                    .with("runs", held.size())
                    .log(LOGGER.atWarning());
        }
    }

    /** Starts a run of a task that is not suspected of crashing minions. */
    Optional<String> start(RunKey run, RunOwner owner, Room room, String payload, String checkpoint) {
        return start(run, owner, room, false, payload, checkpoint);
    }

    /**
     * Starts a run.
     *
     * @param suspected whether the task was running on a minion when that minion crashed
     * @return the reason why this call didn't start the run and never will; empty if the start was sent to the minion
     */
    public Optional<String> start(
            RunKey run, RunOwner owner, Room room, boolean suspected, String payload, String checkpoint) {
        if (!isAccepting()) {
            return Optional.of("not accepting");
        }
        HeldRun known = held.of(run.task());
        if (known != null) {
            return Optional.of("held as run " + known.key().run());
        }
        if (!room.fitsInto(free())) {
            return Optional.of(NO_ROOM);
        }
        if (suspected && held.suspected() > 0) {
            return Optional.of(SUSPECT_HELD);
        }
        long now = timers.nanos();
        if (!leaseCheck.isAllowed(now)) {
            return Optional.of("lease held back");
        }
        used = true;
        long leaseEndMillis = lease.extend(now);
        HeldRun newRun = new HeldRun(run, owner, room, leaseEndMillis, suspected, now);
        held.add(newRun);
        StartRequest request = new StartRequest(run, payload, leaseEndMillis, token.value(), checkpoint);
        commands.start(minion.orElseThrow().incarnation(), newRun, request);
        poll();
        return Optional.empty();
    }

    /**
     * Refuses starts until the minion answers a poll. All resources of an unavailable minion look free, so that owners
     * would send it every waiting task again and again and start none of them elsewhere.
     */
    private void markUnresponsive() {
        if (responsive) {
            responsive = false;
            EventLine.of("minion-not-answering").with("minion", name()).log(LOGGER.atWarning());
            listener.roomChanged();
        }
    }

    /** Stops a run. Has no effect if the run isn't held. */
    public void stop(RunKey key) {
        HeldRun run = held.of(key.task());
        if (run == null || run.key().run() != key.run() || run.isStopRequested() || minion.isEmpty()) {
            return;
        }
        run.requestStop();
        commands.stop(minion.get().incarnation(), run);
    }

    /** Records that an owner has stored ends of an incarnation, so that the minion may discard them. */
    public void markStored(String incarnation, List<Long> sequences) {
        if (unstoredCrashes.markStored(incarnation, sequences) || !name().equals(incarnation)) {
            return;
        }
        for (long sequence : sequences) {
            ends.markStored(sequence);
        }
        if (ends.storedThrough() > acknowledgedThrough) {
            poll();
        }
    }

    private void poll() {
        if (pollInFlight || pollScheduled || minion.isEmpty() || !isPollNeeded()) {
            return;
        }
        long now = timers.nanos();
        reportLostAfterLease(now);
        if (minion.isEmpty() || !isPollNeeded()) {
            return;
        }
        pollInFlight = true;
        pollNumber++;
        long number = pollNumber;
        Incarnation incarnation = minion.get().incarnation();
        PollRequest request = pollRequest(now);
        port.poll(incarnation.id(), request, result -> {
            pollInFlight = false;
            if (number == pollNumber
                    && minion.isPresent()
                    && minion.get().incarnation().matches(incarnation)) {
                handlePollResult(incarnation, result, now, request.acknowledgedThrough());
            } else {
                poll();
            }
        });
    }

    private PollRequest pollRequest(long now) {
        boolean uncertain = mayHaveRestarted();
        Duration wait = held.isEmpty() || !reconciled || uncertain ? Duration.ZERO : PollIntervals.POLL_WAIT;
        return new PollRequest(token.value(), uncertain ? 0 : ends.storedThrough(), renewal(now), wait);
    }

    /**
     * Tells whether the minion may have been restarted under the same id since its last answer. An acknowledgement
     * would make the new incarnation discard its own ends, and a lease end by the old clock would give it the longest
     * lease.
     */
    private boolean mayHaveRestarted() {
        return !responsive && minion.orElseThrow().incarnation().startedAtMillis() != 0;
    }

    private boolean isPollNeeded() {
        return !reconciled
                || !responsive
                || reconciler.hasUnknownRuns()
                || !held.isEmpty()
                || ends.storedThrough() > acknowledgedThrough;
    }

    private OptionalLong renewal(long now) {
        boolean uncertain = !reconciled || mayHaveRestarted() || departing && !isIdReused();
        if (held.isEmpty() || uncertain || now - lastAnswerNanos > RENEWAL_CUTOFF_NANOS || !leaseCheck.isAllowed(now)) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(lease.extend(now));
    }

    /**
     * Reports the runs of an unresponsive minion as lost once every lease that it may have accepted has expired; until
     * then, a second run elsewhere could overlap with the first. Refused connections don't show whether the minion has
     * crashed or is cut off; its next answer does.
     */
    private void reportLostAfterLease(long now) {
        boolean silent = now - lastAnswerNanos > RENEWAL_CUTOFF_NANOS;
        if (silent && !held.isEmpty() && lease.hasExpired(now)) {
            boolean mayHaveCrashed = connectionRefused && outcomeOfLostRuns(minion.orElseThrow()) == RunOutcome.CRASHED;
            endReporter.reportAllLost(name(), mayHaveCrashed ? RunOutcome.CRASH_SUSPECTED : RunOutcome.LOST, "silent");
            reconciled = false;
            listener.roomChanged();
        }
    }

    private void handlePollResult(
            Incarnation incarnation, PollResult result, long sentAtNanos, long acknowledgedByPoll) {
        connectionRefused = result instanceof PollResult.ConnectionRefused;
        switch (result) {
            case PollResult.Lists listed -> {
                if (!incarnation.mayHaveStartedAt(listed.startedAtMillis())) {
                    handleOtherIncarnation(incarnation, listed);
                    return;
                }
                recordStartTime(listed.startedAtMillis());
                lastAnswerNanos = timers.nanos();
                lease.observe(listed.clockMillis(), lastAnswerNanos);
                endReporter.resolveSuspectedCrashes(incarnation.name(), RunOutcome.LOST);
                restored = false;
                if (!reconciler.isComplete()) {
                    // The agent's predecessor may have extended the lease just now.
                    lease.extend(lastAnswerNanos);
                }
                acknowledgedThrough = Math.max(acknowledgedThrough, acknowledgedByPoll);
                boolean hasNewEnds = applyLists(listed, sentAtNanos);
                pollAfter(PollIntervals.pauseAfterAnswer(hasNewEnds, lastAnswerNanos - sentAtNanos));
            }
            case PollResult.Refused refused -> {
                EventLine.of("look-refused")
                        .with("minion", incarnation.name())
                        .with("reason", refused.reason())
                        .log(LOGGER.atWarning());
                if (refused.fenced()) {
                    token.raise();
                    pollAfter(Duration.ZERO);
                } else {
                    discardMinion(outcomeOfLostRuns(minion.orElseThrow()), "another id");
                }
            }
            case PollResult.ConnectionRefused refusedConnection -> {
                logUnanswered(incarnation, refusedConnection.reason());
                markUnresponsive();
                pollAfter(PollIntervals.POLL_RETRY_PAUSE);
            }
            case PollResult.Unknown unknown -> {
                logUnanswered(incarnation, unknown.reason());
                if (timers.nanos() - lastAnswerNanos > UNRESPONSIVE_NANOS) {
                    markUnresponsive();
                    pollAfter(PollIntervals.POLL_RETRY_PAUSE);
                } else {
                    pollAfter(PollIntervals.EMPTY_POLL_PAUSE);
                }
            }
        }
    }

    private static void logUnanswered(Incarnation incarnation, String reason) {
        EventLine.of("look-unanswered")
                .with("minion", incarnation.name())
                .with("reason", reason)
                .log(LOGGER.atInfo());
    }

    /**
     * Accepts another incarnation that answered in place of the current one. Its capacity isn't known until it
     * announces itself, so it accepts no starts. An earlier one is accepted only if the current one has not answered
     * for long: the minion's clock was set back, or the current one never existed.
     */
    private void handleOtherIncarnation(Incarnation known, PollResult.Lists lists) {
        boolean earlier = lists.startedAtMillis() < known.startedAtMillis();
        if (earlier && timers.nanos() - lastAnswerNanos <= ANNOUNCEMENT_TIMEOUT_NANOS) {
            logUnanswered(known, "an earlier incarnation answered");
            markUnresponsive();
            pollAfter(PollIntervals.POLL_RETRY_PAUSE);
            return;
        }
        accept(minion.orElseThrow().restarted(lists.startedAtMillis(), lists.clockMillis()), false);
        if (earlier) {
            history.remove(known.id());
        }
    }

    private void recordStartTime(long startedAtMillis) {
        MinionState known = minion.orElseThrow();
        if (startedAtMillis != 0 && known.incarnation().startedAtMillis() == 0) {
            minion = Optional.of(known.withIncarnation(Incarnation.of(known.minionId(), startedAtMillis)));
        }
    }

    private void pollAfter(Duration pause) {
        if (pause.isZero()) {
            poll();
            return;
        }
        if (!pollScheduled) {
            pollScheduled = true;
            timers.after(pause, () -> {
                pollScheduled = false;
                poll();
            });
        }
    }

    /** Applies the minion's lists. Returns whether they contained new ends. */
    private boolean applyLists(PollResult.Lists listed, long sentAtNanos) {
        Room before = free();
        boolean acceptingBefore = isAccepting();
        List<OwnedEnd> newEnds = reconciler.reconcile(minion.orElseThrow().incarnation(), listed, sentAtNanos);
        responsive = true;
        reconciled = true;
        if (!newEnds.isEmpty()) {
            listener.ended(newEnds);
        }
        if (!before.equals(free()) || acceptingBefore != isAccepting()) {
            listener.roomChanged();
        }
        return !newEnds.isEmpty();
    }

    /** Stops all runs of an owner. */
    public void stopAll(RunOwner owner) {
        held.ownedBy(owner).forEach(run -> stop(run.key()));
    }

    /** Returns the owners of all runs. */
    public Set<RunOwner> owners() {
        return held.owners();
    }

    /** Gives the commands access to this supervisor. */
    private final class CommandCallbacks implements RunCommands.Callbacks {
        @Override
        public boolean isHeld(Incarnation incarnation, HeldRun run) {
            return held.has(run)
                    && minion.isPresent()
                    && minion.get().incarnation().matches(incarnation);
        }

        @Override
        public void reportNeverStarted(Incarnation incarnation, HeldRun run) {
            endReporter.reportNeverStarted(incarnation, run);
        }

        @Override
        public void unreachable() {
            markUnresponsive();
        }

        @Override
        public void poll() {
            RunSupervisor.this.poll();
        }
    }
}
