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
 * Keeps the runs of one minion. The only caller of that minion, so its count of the room is exact: room is taken from
 * before a start is sent until the run's end is listed, or until it is certain that the start will not be carried out.
 */
public final class RunSupervisor {
    /**
     * Longest wait of one look. Ends are learned by looks alone, so an answer that is lost delays all ends by the wait
     * and the timeout: with one look in eighteen lost, a wait of 400 ms left a minion unseen for most of the time.
     */
    static final Duration POLL_WAIT = Duration.ofMillis(120);

    /** Pause after a look that told nothing new at once: ends wait to be stored, which takes the log about 10 ms. */
    static final Duration EMPTY_POLL_PAUSE = Duration.ofMillis(20);

    /**
     * Pause after a look that told of ends. Each look costs about as much as a start, and without a pause there is one
     * for each end. It is small beside the 60 ms that callers allow beyond the work.
     */
    static final Duration PAUSE_AFTER_ENDS = Duration.ofMillis(15);

    /** Pause after a look without an answer, so that a minion that is down isn't called in a tight loop. */
    static final Duration POLL_RETRY_PAUSE = Duration.ofMillis(100);

    /** Age of the last answer from which looks no longer renew, so that the lease of a minion in doubt runs out. */
    static final long RENEWAL_CUTOFF_NANOS = Duration.ofMillis(800).toNanos();

    /**
     * Age of the last answer from which the minion counts as not answering, and starts are refused. A minion that
     * leaves one call in eighteen unanswered loses two looks in a row every 300 looks; one that is cut off is found out
     * within the time in which its first starts are doubted and given up.
     */
    static final long UNRESPONSIVE_NANOS = Duration.ofMillis(600).toNanos();

    /** How long after its start an agent waits for the minion: two announcements are due and four leases end in it. */
    static final long ANNOUNCEMENT_TIMEOUT_NANOS = Duration.ofSeconds(4).toNanos();

    /** Refusal of a start that doesn't fit; the worker may be tried again as soon as it reports room. */
    public static final String NO_ROOM = "no room";

    /** Refusal of a suspect beside another one; the worker may be tried again as soon as it holds none. */
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
    /** The minion has answered for itself and has not announced this incarnation yet. */
    private boolean awaitingAnnouncement;

    private boolean departing;
    /** Nobody listened at the minion's address when it was last looked at. */
    private boolean connectionRefused;

    private boolean responsive = true;
    private boolean leaving;
    private boolean used;
    private boolean pollInFlight;
    private boolean pollScheduled;
    private long pollNumber;
    private long acknowledgedThrough;
    private long lastAnswerNanos;

    /**
     * Creates a supervisor that knows of no minion yet.
     *
     * @param partitions partitions among which kept jobs are dealt out
     */
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

    /** Tells whether starts are taken. */
    public boolean isAccepting() {
        return !leaving
                && responsive
                && reconciled
                && !awaitingAnnouncement
                && !departing
                && !reconciler.hasUnknownRuns()
                && minion.isPresent()
                && !minion.get().leaving();
    }

    /**
     * Tells whether the runs and ends here are all that the minion has. Not so at first after a restart: the agent
     * before may have left runs behind, and an owner that takes them for gone would start their tasks again beside
     * them.
     */
    public boolean isInventoryComplete() {
        return reconciler.isComplete()
                || minion.isEmpty() && timers.nanos() - startedAtNanos > ANNOUNCEMENT_TIMEOUT_NANOS;
    }

    /** Returns the capacity less the room of everything that runs, stops or may still start. */
    public Room free() {
        return minion.isEmpty() ? Room.NONE : minion.get().capacity().minus(held.room());
    }

    /** Returns the runs whose room is taken, with their owners. */
    public Map<RunKey, RunOwner> runs() {
        return held.byKey();
    }

    /** Returns the listed ends that nobody has stored yet. */
    public List<OwnedEnd> unstoredEnds() {
        List<OwnedEnd> open = unstoredCrashes.unstored();
        if (minion.isPresent()) {
            open.addAll(ends.unstored(minion.get().incarnation().name()));
        }
        return open;
    }

    /** Tells whether nothing runs and no end waits to be stored. */
    public boolean isIdle() {
        return held.isEmpty() && ends.isEmpty();
    }

    /** Returns how many of the runs are of tasks that were on a minion that crashed. */
    public int suspected() {
        return held.suspected();
    }

    /** Returns what fences calls of agents that were replaced, as this one sends it now. */
    public long token() {
        return token.value();
    }

    /** Tells whether nothing was ever started here. */
    public boolean isUnused() {
        return !used;
    }

    /** Takes no more starts, as the process is about to end. */
    public void leave() {
        leaving = true;
        listener.roomChanged();
    }

    /**
     * Takes up the minion that the agent before this one had here, without waiting for its next announcement: that
     * comes up to 1.5 s later, and after a loss of all power no worker would be known until then. Nothing is started
     * before it has answered a look that names its boot, so another boot is found out. One that does not answer is
     * forgotten.
     */
    public void restore(MinionState state) {
        if (minion.isPresent() || !history.isEmpty()) {
            // It has announced itself or taken its leave meanwhile, which is newer.
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
     * Notes what the minion announced. What an earlier incarnation announced is ignored, as is what this one announced
     * before something that is known already: both were held up.
     */
    public void announced(MinionState state) {
        if (history.isStale(state, minion.orElse(null))) {
            return;
        }
        boolean isAnother = minion.isPresent() && !minion.get().incarnation().matches(state.incarnation());
        if (isAnother && !restored && responsive && reconciled) {
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
            before.ifPresent(old -> discardIncarnation(old, reported.minionId(), outcomeAt(old), "reborn"));
            if (before.isEmpty() && history.hasEarlierIncarnation(reported.minionId())) {
                // What was sent to the one that took its leave is refused once this one has been looked at.
                token.increment();
            }
            restartLease(reported.clockMillis());
        }
        minion = Optional.of(same ? update(before.get(), reported) : reported);
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

    private static MinionState update(MinionState before, MinionState reported) {
        boolean bornIsMissing = reported.incarnation().startedAtMillis() == 0;
        MinionState state = bornIsMissing ? reported.withIncarnation(before.incarnation()) : reported;
        // A minion that has said it leaves never stays after all; a late announcement must not undo it.
        return before.leaving() ? state.asLeaving() : state;
    }

    /** Forgets the clock and the lease of an earlier incarnation. */
    private void restartLease(long clockMillis) {
        lastAnswerNanos = timers.nanos();
        lease.reset(clockMillis, lastAnswerNanos);
        if (!held.isEmpty()) {
            // A start that was sent to the incarnation before may have begun a lease at this one.
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

    /** Notes that the minion has taken its leave; whatever ran on it is gone. */
    public void departed(String minionId) {
        if (minion.isEmpty() || !minion.get().minionId().equals(minionId) || departing) {
            return;
        }
        if (!history.hasEarlierIncarnation(minionId)) {
            discardMinion(RunOutcome.LOST, "departed");
            return;
        }
        departing = true;
        Incarnation asked = minion.get().incarnation();
        new DepartureCheck(
                        timers,
                        port,
                        asked,
                        token,
                        () -> departureChecked(asked, true),
                        () -> departureChecked(asked, false))
                .poll();
        listener.roomChanged();
    }

    private void departureChecked(Incarnation asked, boolean isGone) {
        if (!departing || minion.isEmpty() || !minion.get().incarnation().matches(asked)) {
            return;
        }
        departing = false;
        if (isGone) {
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

    /**
     * Discards what is known of an incarnation.
     *
     * @param nextId id of the one that is there instead; empty when there is none
     * @param outcome how its runs have ended
     */
    private void discardIncarnation(MinionState old, String newMinionId, RunOutcome outcome, String reason) {
        restored = false;
        awaitingAnnouncement = false;
        departing = false;
        history.markReplaced(old.incarnation());
        // An answer of the old boot may take long or never come; the new one is looked at without waiting for it.
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

    /** Returns how runs end at a minion that is found gone: it has crashed, unless it had said that it leaves. */
    private RunOutcome outcomeAt(MinionState gone) {
        return gone.leaving() || departing ? RunOutcome.LOST : RunOutcome.CRASHED;
    }

    /**
     * Leaves it to the first lists of an incarnation under the same id which runs are gone: calls carry the id only, so
     * it may have carried out starts that were meant for the one before. The next token keeps it from carrying out more
     * of them once it has been looked at, so that those lists are the last word.
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

    /** Starts a run of a task that was on no minion that crashed. */
    Optional<String> start(RunKey run, RunOwner owner, Room room, String payload, String checkpoint) {
        return start(run, owner, room, false, payload, checkpoint);
    }

    /**
     * Starts a run.
     *
     * @param suspected whether the task was on a minion that crashed
     * @return why it isn't started and never will be by this call; empty when it was sent to the minion
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
     * Takes no starts until the minion has answered a look. Its room looks free while it is down, so owners would send
     * it every task that waits, again and again, and none of them would start elsewhere.
     */
    private void markUnresponsive() {
        if (responsive) {
            responsive = false;
            EventLine.of("minion-not-answering").with("minion", name()).log(LOGGER.atWarning());
            listener.roomChanged();
        }
    }

    /** Stops a run; nothing happens when it isn't held. */
    public void stop(RunKey key) {
        HeldRun run = held.of(key.task());
        if (run == null || run.key().run() != key.run() || run.isStopRequested() || minion.isEmpty()) {
            return;
        }
        run.requestStop();
        commands.stop(minion.get().incarnation(), run);
    }

    /** Notes that ends of an incarnation are stored, so that the minion may forget them. */
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
        Duration wait = held.isEmpty() || !reconciled || uncertain ? Duration.ZERO : POLL_WAIT;
        return new PollRequest(token.value(), uncertain ? 0 : ends.storedThrough(), renewal(now), wait);
    }

    /**
     * Tells whether the minion may have come back under the same id since it answered last. An acknowledgement would
     * make the next incarnation forget its own ends, and a lease by the clock before would be as long as it grants.
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
        boolean uncertain = !reconciled || mayHaveRestarted();
        if (held.isEmpty() || uncertain || now - lastAnswerNanos > RENEWAL_CUTOFF_NANOS || !leaseCheck.isAllowed(now)) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(lease.extend(now));
    }

    /**
     * Calls the runs of a minion that doesn't answer lost, once every lease that it may have taken has ended. Until
     * then a run may go on there, and a second one elsewhere would run beside it. A minion at whose address nobody
     * listens has not gone silent: its process has ended, and usually it is back only after the lease.
     */
    private void reportLostAfterLease(long now) {
        boolean silent = now - lastAnswerNanos > RENEWAL_CUTOFF_NANOS;
        if (silent && !held.isEmpty() && lease.hasExpired(now)) {
            endReporter.reportAllLost(
                    name(), connectionRefused ? outcomeAt(minion.orElseThrow()) : RunOutcome.LOST, "silent");
            reconciled = false;
            listener.roomChanged();
        }
    }

    private void handlePollResult(
            Incarnation incarnation, PollResult result, long sentAtNanos, long acknowledgedByPoll) {
        connectionRefused = result instanceof PollResult.Unreachable;
        switch (result) {
            case PollResult.Lists listed -> {
                if (!incarnation.mayHaveStartedAt(listed.startedAtMillis())) {
                    handleOtherIncarnation(incarnation, listed);
                    return;
                }
                recordStartTime(listed.startedAtMillis());
                lastAnswerNanos = timers.nanos();
                lease.observe(listed.clockMillis(), lastAnswerNanos);
                restored = false;
                if (!reconciler.isComplete()) {
                    // The agent before this one may have extended the lease a moment ago.
                    lease.extend(lastAnswerNanos);
                }
                acknowledgedThrough = Math.max(acknowledgedThrough, acknowledgedByPoll);
                boolean hasNewEnds = applyLists(listed, sentAtNanos);
                boolean immediate = lastAnswerNanos - sentAtNanos < EMPTY_POLL_PAUSE.toNanos();
                if (hasNewEnds) {
                    pollAfter(PAUSE_AFTER_ENDS);
                } else {
                    pollAfter(immediate ? EMPTY_POLL_PAUSE : Duration.ZERO);
                }
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
                    discardMinion(outcomeAt(minion.orElseThrow()), "another id");
                }
            }
            case PollResult.Unreachable unreachable -> {
                logUnanswered(incarnation, unreachable.reason());
                markUnresponsive();
                pollAfter(POLL_RETRY_PAUSE);
            }
            case PollResult.Unknown unknown -> {
                logUnanswered(incarnation, unknown.reason());
                if (timers.nanos() - lastAnswerNanos > UNRESPONSIVE_NANOS) {
                    markUnresponsive();
                    pollAfter(POLL_RETRY_PAUSE);
                } else {
                    pollAfter(EMPTY_POLL_PAUSE);
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
     * Takes the word of an incarnation that answers in place of the known one. It has not announced itself, so its
     * capacity isn't known and it takes no starts yet. One of an earlier start is believed only when the known one has
     * not been heard for long: its clock was set back, or the known one was never there.
     */
    private void handleOtherIncarnation(Incarnation known, PollResult.Lists lists) {
        boolean earlier = lists.startedAtMillis() < known.startedAtMillis();
        if (earlier && timers.nanos() - lastAnswerNanos <= ANNOUNCEMENT_TIMEOUT_NANOS) {
            logUnanswered(known, "an earlier incarnation answers");
            markUnresponsive();
            pollAfter(POLL_RETRY_PAUSE);
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

    /** Takes the lists over; tells whether they held anything new. */
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

    /** Stops everything that an owner has here. */
    public void stopAll(RunOwner owner) {
        for (HeldRun run : held.all()) {
            if (run.owner().equals(owner)) {
                stop(run.key());
            }
        }
    }

    /** Returns whose runs are here. */
    public Set<RunOwner> owners() {
        return held.owners();
    }

    /** What calls about single runs ask of and tell to this. */
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
