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
import org.chivetally.queue.agent.MinionPort.LookAnswer;
import org.chivetally.queue.agent.MinionPort.LookOrder;
import org.chivetally.queue.agent.MinionPort.StartOrder;
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
    static final Duration LOOK_WAIT = Duration.ofMillis(120);

    /** Pause after a look that told nothing new at once: ends wait to be stored, which takes the log about 10 ms. */
    static final Duration LOOK_PAUSE = Duration.ofMillis(20);

    /**
     * Pause after a look that told of ends. Each look costs about as much as a start, and without a pause there is one
     * for each end. It is small beside the 60 ms that callers allow beyond the work.
     */
    static final Duration NEWS_PAUSE = Duration.ofMillis(15);

    /** Pause after a look without an answer, so that a minion that is down isn't called in a tight loop. */
    static final Duration LOOK_RETRY = Duration.ofMillis(100);

    /** Age of the last answer from which looks no longer renew, so that the lease of a minion in doubt runs out. */
    static final long UNANSWERED_NANOS = Duration.ofMillis(800).toNanos();

    /**
     * Age of the last answer from which the minion counts as not answering, and starts are refused. A minion that
     * leaves one call in eighteen unanswered loses two looks in a row every 300 looks; one that is cut off is found out
     * within the time in which its first starts are doubted and given up.
     */
    static final long NOT_ANSWERING_NANOS = Duration.ofMillis(600).toNanos();

    /**
     * Time from the start of this process after which a minion that has not announced itself is taken for gone, as is
     * all that an agent before this one started there: two announcements come in it, and four leases end.
     */
    static final long UNANNOUNCED_NANOS = Duration.ofSeconds(4).toNanos();

    /** Refusal of a start that doesn't fit; the worker may be tried again as soon as it reports room. */
    public static final String NO_ROOM = "no room";

    /** Refusal of a suspect beside another one; the worker may be tried again as soon as it holds none. */
    public static final String SUSPECT_HELD = "suspect held";

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Timers timers;
    private final MinionPort port;
    private final SupervisorListener listener;
    private final HeldRuns held = new HeldRuns();
    private final EndList ends = new EndList();
    private final AnnouncedBoots boots;
    private final MinionLease lease = new MinionLease();
    private final FencingToken token;
    private final LeasePermission permission;
    private final RunCalls calls;
    private final CrashLedger ledger;
    private final RunEnds runEnds;
    private final MinionLists lists;
    private Optional<MinionState> minion = Optional.empty();
    private final long startedAtNanos;
    private boolean reconciled;
    private boolean recalled;
    /** The minion has answered for itself and has not announced this incarnation yet. */
    private boolean unannounced;

    private boolean departing;
    /** Nobody listened at the minion's address when it was last looked at. */
    private boolean nobodyListens;

    private boolean answering = true;
    private boolean leaving;
    private boolean used;
    private boolean lookInFlight;
    private boolean lookArmed;
    private long lookNumber;
    private long keptSent;
    private long lastAnswerNanos;

    /**
     * Creates a supervisor that knows of no minion yet.
     *
     * @param partitions partitions among which kept jobs are dealt out
     */
    public RunSupervisor(Timers timers, MinionPort port, SupervisorListener listener, int partitions) {
        this.timers = timers;
        this.port = port;
        this.boots = new AnnouncedBoots(port);
        this.listener = listener;
        this.startedAtNanos = timers.nanos();
        this.token = new FencingToken(timers);
        this.permission = new LeasePermission(lease, held, ends, listener);
        this.calls = new RunCalls(timers, port, token, lease, new Calling());
        this.ledger = new CrashLedger("crashes@" + token.value());
        this.runEnds = new RunEnds(held, listener, ledger);
        this.lists = new MinionLists(timers, held, ends, calls, runEnds, partitions);
    }

    /** Returns the minion, once one has announced itself. */
    public Optional<MinionState> minion() {
        return minion;
    }

    /** Tells whether starts are taken. */
    public boolean isAccepting() {
        return !leaving
                && answering
                && reconciled
                && !unannounced
                && !departing
                && !lists.hasUnknownRuns()
                && minion.isPresent()
                && !minion.get().leaving();
    }

    /**
     * Tells whether the runs and ends here are all that the minion has. Not so at first after a restart: the agent
     * before may have left runs behind, and an owner that takes them for gone would start their tasks again beside
     * them.
     */
    public boolean isComplete() {
        return lists.isComplete() || minion.isEmpty() && timers.nanos() - startedAtNanos > UNANNOUNCED_NANOS;
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
    public List<OwnedEnd> openEnds() {
        List<OwnedEnd> open = ledger.open();
        if (minion.isPresent()) {
            open.addAll(ends.open(minion.get().incarnation().name()));
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
    public void recall(MinionState state) {
        if (minion.isPresent() || !boots.isFirst()) {
            // It has announced itself or taken its leave meanwhile, which is newer.
            return;
        }
        EventLine.of("minion-recalled")
                .with("minion", state.incarnation().name())
                .log(LOGGER.atInfo());
        announced(state);
        recalled = true;
        timers.after(Duration.ofNanos(UNANNOUNCED_NANOS), this::forgetUnlessAnswered);
    }

    private void forgetUnlessAnswered() {
        if (!recalled) {
            return;
        }
        EventLine.of("minion-not-found").with("minion", name()).log(LOGGER.atWarning());
        recalled = false;
        lookInFlight = false;
        lookNumber++;
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
        if (boots.isOld(state, minion.orElse(null))) {
            return;
        }
        boolean another = minion.isPresent() && !minion.get().incarnation().isSame(state.incarnation());
        if (another && !recalled && answering && reconciled) {
            boots.confirm(state, token.value(), this::confirmed);
        } else {
            accept(state, true);
        }
    }

    private void confirmed(MinionState state) {
        if (!boots.isOld(state, minion.orElse(null))) {
            accept(state, true);
        }
    }

    private void accept(MinionState reported, boolean announced) {
        recalled = false;
        Optional<MinionState> before = minion;
        boolean same = before.isPresent() && before.get().incarnation().isSame(reported.incarnation());
        if (!same) {
            before.ifPresent(old -> replaced(old, reported.boot(), outcomeAt(old), "reborn"));
            if (before.isEmpty() && boots.isReused(reported.boot())) {
                // What was sent to the one that took its leave is refused once this one has been looked at.
                token.next();
            }
            restartLease(reported.clockMillis());
        }
        minion = Optional.of(same ? update(before.get(), reported) : reported);
        MinionState now = minion.get();
        boolean news = !same || before.get().leaving() != now.leaving() || unannounced && announced;
        unannounced = !announced;
        if (news) {
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
        check();
    }

    private static MinionState update(MinionState before, MinionState reported) {
        boolean bornIsMissing = reported.incarnation().bornAtMillis() == 0;
        MinionState state = bornIsMissing ? reported.known(before.incarnation()) : reported;
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
    public void departed(String boot) {
        if (minion.isEmpty() || !minion.get().boot().equals(boot) || departing) {
            return;
        }
        if (!boots.isReused(boot)) {
            gone(RunOutcome.LOST, "departed");
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
                .check();
        listener.roomChanged();
    }

    private void departureChecked(Incarnation asked, boolean isGone) {
        if (!departing || minion.isEmpty() || !minion.get().incarnation().isSame(asked)) {
            return;
        }
        departing = false;
        if (isGone) {
            gone(RunOutcome.LOST, "departed");
        } else {
            listener.roomChanged();
        }
    }

    private void gone(RunOutcome outcome, String reason) {
        replaced(minion.orElseThrow(), "", outcome, reason);
        minion = Optional.empty();
        minionChanged();
    }

    /**
     * Discards what is known of an incarnation.
     *
     * @param nextId id of the one that is there instead; empty when there is none
     * @param outcome how its runs have ended
     */
    private void replaced(MinionState old, String nextId, RunOutcome outcome, String reason) {
        recalled = false;
        unannounced = false;
        departing = false;
        boots.replaced(old.incarnation());
        // An answer of the old boot may take long or never come; the new one is looked at without waiting for it.
        lookInFlight = false;
        answering = true;
        lookArmed = false;
        lookNumber++;
        if (old.boot().equals(nextId)) {
            carryOver(old, outcome);
        } else {
            runEnds.allLost(old.incarnation().name(), outcome, reason);
        }
        ends.clear();
        keptSent = 0;
        lists.clear();
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
        token.next();
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
        if (!permission.isGiven(now)) {
            return Optional.of("lease held back");
        }
        used = true;
        long until = lease.extend(now);
        HeldRun fresh = new HeldRun(run, owner, room, until, suspected, now);
        held.add(fresh);
        StartOrder order = new StartOrder(run, payload, until, token.value(), checkpoint);
        calls.start(minion.orElseThrow().incarnation(), fresh, order);
        check();
        return Optional.empty();
    }

    /**
     * Takes no starts until the minion has answered a look. Its room looks free while it is down, so owners would send
     * it every task that waits, again and again, and none of them would start elsewhere.
     */
    private void stopAnswering() {
        if (answering) {
            answering = false;
            EventLine.of("minion-not-answering").with("minion", name()).log(LOGGER.atWarning());
            listener.roomChanged();
        }
    }

    /** Stops a run; nothing happens when it isn't held. */
    public void stop(RunKey key) {
        HeldRun run = held.of(key.task());
        if (run == null || run.key().run() != key.run() || run.isStopWanted() || minion.isEmpty()) {
            return;
        }
        run.wantStop();
        calls.stop(minion.get().incarnation(), run);
    }

    /** Notes that ends of an incarnation are stored, so that the minion may forget them. */
    public void kept(String incarnation, List<Long> sequences) {
        if (ledger.kept(incarnation, sequences) || !name().equals(incarnation)) {
            return;
        }
        for (long sequence : sequences) {
            ends.keep(sequence);
        }
        if (ends.keptThrough() > keptSent) {
            check();
        }
    }

    private void check() {
        if (lookInFlight || lookArmed || minion.isEmpty() || !isLookNeeded()) {
            return;
        }
        long now = timers.nanos();
        loseAfterLapse(now);
        if (minion.isEmpty() || !isLookNeeded()) {
            return;
        }
        lookInFlight = true;
        lookNumber++;
        long number = lookNumber;
        Incarnation at = minion.get().incarnation();
        LookOrder order = lookOrder(now);
        port.look(at.id(), order, answer -> {
            lookInFlight = false;
            if (number == lookNumber
                    && minion.isPresent()
                    && minion.get().incarnation().isSame(at)) {
                looked(at, answer, now, order.keptThrough());
            } else {
                check();
            }
        });
    }

    private LookOrder lookOrder(long now) {
        boolean another = mayBeAnother();
        Duration wait = held.isEmpty() || !reconciled || another ? Duration.ZERO : LOOK_WAIT;
        return new LookOrder(token.value(), another ? 0 : ends.keptThrough(), renewal(now), wait);
    }

    /**
     * Tells whether the minion may have come back under the same id since it answered last. An acknowledgement would
     * make the next incarnation forget its own ends, and a lease by the clock before would be as long as it grants.
     */
    private boolean mayBeAnother() {
        return !answering && minion.orElseThrow().incarnation().bornAtMillis() != 0;
    }

    private boolean isLookNeeded() {
        return !reconciled || !answering || lists.hasUnknownRuns() || !held.isEmpty() || ends.keptThrough() > keptSent;
    }

    private OptionalLong renewal(long now) {
        boolean another = !reconciled || mayBeAnother();
        if (held.isEmpty() || another || now - lastAnswerNanos > UNANSWERED_NANOS || !permission.isGiven(now)) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(lease.extend(now));
    }

    /**
     * Calls the runs of a minion that doesn't answer lost, once every lease that it may have taken has ended. Until
     * then a run may go on there, and a second one elsewhere would run beside it. A minion at whose address nobody
     * listens has not gone silent: its process has ended, and usually it is back only after the lease.
     */
    private void loseAfterLapse(long now) {
        boolean silent = now - lastAnswerNanos > UNANSWERED_NANOS;
        if (silent && !held.isEmpty() && lease.hasLapsed(now)) {
            runEnds.allLost(name(), nobodyListens ? outcomeAt(minion.orElseThrow()) : RunOutcome.LOST, "silent");
            reconciled = false;
            listener.roomChanged();
        }
    }

    private void looked(Incarnation at, LookAnswer answer, long sentAtNanos, long keptWithIt) {
        nobodyListens = answer instanceof LookAnswer.Unreachable;
        switch (answer) {
            case LookAnswer.Lists listed -> {
                if (!at.isBornAs(listed.bornAtMillis())) {
                    answeredByAnother(at, listed);
                    return;
                }
                learnBorn(listed.bornAtMillis());
                lastAnswerNanos = timers.nanos();
                lease.observe(listed.clockMillis(), lastAnswerNanos);
                recalled = false;
                if (!lists.isComplete()) {
                    // The agent before this one may have extended the lease a moment ago.
                    lease.extend(lastAnswerNanos);
                }
                keptSent = Math.max(keptSent, keptWithIt);
                boolean news = took(listed, sentAtNanos);
                boolean quick = lastAnswerNanos - sentAtNanos < LOOK_PAUSE.toNanos();
                if (news) {
                    lookAfter(NEWS_PAUSE);
                } else {
                    lookAfter(quick ? LOOK_PAUSE : Duration.ZERO);
                }
            }
            case LookAnswer.Refused refused -> {
                EventLine.of("look-refused")
                        .with("minion", at.name())
                        .with("reason", refused.reason())
                        .log(LOGGER.atWarning());
                if (refused.fenced()) {
                    token.raise();
                    lookAfter(Duration.ZERO);
                } else {
                    gone(outcomeAt(minion.orElseThrow()), "another id");
                }
            }
            case LookAnswer.Unreachable unreachable -> {
                unanswered(at, unreachable.reason());
                stopAnswering();
                lookAfter(LOOK_RETRY);
            }
            case LookAnswer.Unknown unknown -> {
                unanswered(at, unknown.reason());
                if (timers.nanos() - lastAnswerNanos > NOT_ANSWERING_NANOS) {
                    stopAnswering();
                    lookAfter(LOOK_RETRY);
                } else {
                    lookAfter(LOOK_PAUSE);
                }
            }
        }
    }

    private static void unanswered(Incarnation at, String reason) {
        EventLine.of("look-unanswered")
                .with("minion", at.name())
                .with("reason", reason)
                .log(LOGGER.atInfo());
    }

    /**
     * Takes the word of an incarnation that answers in place of the known one. It has not announced itself, so its
     * capacity isn't known and it takes no starts yet. One of an earlier start is believed only when the known one has
     * not been heard for long: its clock was set back, or the known one was never there.
     */
    private void answeredByAnother(Incarnation known, LookAnswer.Lists lists) {
        boolean earlier = lists.bornAtMillis() < known.bornAtMillis();
        if (earlier && timers.nanos() - lastAnswerNanos <= UNANNOUNCED_NANOS) {
            unanswered(known, "an earlier incarnation answers");
            stopAnswering();
            lookAfter(LOOK_RETRY);
            return;
        }
        accept(minion.orElseThrow().reborn(lists.bornAtMillis(), lists.clockMillis()), false);
        if (earlier) {
            boots.forget(known.id());
        }
    }

    private void learnBorn(long bornAtMillis) {
        MinionState known = minion.orElseThrow();
        if (bornAtMillis != 0 && known.incarnation().bornAtMillis() == 0) {
            minion = Optional.of(known.known(Incarnation.of(known.boot(), bornAtMillis)));
        }
    }

    private void lookAfter(Duration pause) {
        if (pause.isZero()) {
            check();
            return;
        }
        if (!lookArmed) {
            lookArmed = true;
            timers.after(pause, () -> {
                lookArmed = false;
                check();
            });
        }
    }

    /** Takes the lists over; tells whether they held anything new. */
    private boolean took(LookAnswer.Lists listed, long sentAtNanos) {
        Room before = free();
        boolean acceptingBefore = isAccepting();
        List<OwnedEnd> fresh = lists.take(minion.orElseThrow().incarnation(), listed, sentAtNanos);
        answering = true;
        reconciled = true;
        if (!fresh.isEmpty()) {
            listener.ended(fresh);
        }
        if (!before.equals(free()) || acceptingBefore != isAccepting()) {
            listener.roomChanged();
        }
        return !fresh.isEmpty();
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
    private final class Calling implements RunCalls.Supervision {
        @Override
        public boolean isHeld(Incarnation at, HeldRun run) {
            return held.has(run)
                    && minion.isPresent()
                    && minion.get().incarnation().isSame(at);
        }

        @Override
        public void neverStarted(Incarnation at, HeldRun run) {
            runEnds.neverStarted(at, run);
        }

        @Override
        public void unreachable() {
            stopAnswering();
        }

        @Override
        public void check() {
            RunSupervisor.this.check();
        }
    }
}
