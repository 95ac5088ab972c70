package org.chivetally.queue.agent;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.chivetally.logging.EventLine;
import org.chivetally.queue.Partitions;
import org.chivetally.queue.Room;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.TaskKey;
import org.chivetally.queue.agent.MinionPort.ListedEnd;
import org.chivetally.queue.agent.MinionPort.LookAnswer;
import org.chivetally.queue.agent.MinionPort.LookOrder;
import org.chivetally.queue.agent.MinionPort.StartAnswer;
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

    /**
     * Time without an answer after which a start is doubted. Answers take a millisecond, and the tasks of callers who
     * wait last 85 ms and more: any later, the job would miss its objective by the doubt alone.
     */
    static final Duration START_DOUBT = Duration.ofMillis(100);

    /** How long a doubtful start may show up in a look before it is stopped; the next look comes within it. */
    static final Duration DOUBT_PAUSE = Duration.ofMillis(60);

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

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Timers timers;
    private final MinionPort port;
    private final SupervisorListener listener;
    private final int partitions;
    private final Map<TaskKey, HeldRun> held = new LinkedHashMap<>();
    private final EndList ends = new EndList();
    private final AnnouncedBoots boots;
    private final MinionLease lease = new MinionLease();
    private final FencingToken token;
    private Optional<MinionState> minion = Optional.empty();
    private Room taken = Room.NONE;
    private Set<RunKey> strangers = Set.of();
    private final long startedAtNanos;
    private boolean reconciled;
    private boolean complete;
    private boolean recalled;
    private boolean answering = true;
    private boolean leaving;
    private boolean used;
    private boolean lookInFlight;
    private boolean lookArmed;
    private boolean renewalHeld;
    private long lookNumber;
    private long keptSent;
    private long lastAnswerNanos;

    /**
     * Creates a supervisor that knows of no minion yet.
     *
     * @param partitions partitions among which kept jobs are dealt out
     */
    public RunSupervisor(Timers timers, MinionPort port, SupervisorListener listener, int partitions) {
        this.partitions = partitions;
        this.timers = timers;
        this.port = port;
        this.boots = new AnnouncedBoots(port);
        this.listener = listener;
        this.startedAtNanos = timers.nanos();
        this.token = new FencingToken(timers);
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
                && strangers.isEmpty()
                && minion.isPresent()
                && !minion.get().leaving();
    }

    /**
     * Tells whether the runs and ends here are all that the minion has. Not so at first after a restart: the agent
     * before may have left runs behind, and an owner that takes them for gone would start their tasks again beside
     * them.
     */
    public boolean isComplete() {
        return complete || minion.isEmpty() && timers.nanos() - startedAtNanos > UNANNOUNCED_NANOS;
    }

    /** Returns the capacity less the room of everything that runs, stops or may still start. */
    public Room free() {
        return minion.isEmpty() ? Room.NONE : minion.get().capacity().minus(taken);
    }

    /** Returns the runs whose room is taken, with their owners. */
    public Map<RunKey, RunOwner> runs() {
        Map<RunKey, RunOwner> runs = new LinkedHashMap<>();
        for (HeldRun run : held.values()) {
            runs.put(run.key(), run.owner());
        }
        return runs;
    }

    /** Returns the listed ends that nobody has stored yet. */
    public List<OwnedEnd> openEnds() {
        return minion.isEmpty() ? List.of() : ends.open(minion.get().boot());
    }

    /** Tells whether nothing runs and no end waits to be stored. */
    public boolean isIdle() {
        return held.isEmpty() && ends.isEmpty();
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
        EventLine.of("minion-recalled").with("minion", state.boot()).log(LOGGER.atInfo());
        announced(state);
        recalled = true;
        timers.after(Duration.ofNanos(UNANNOUNCED_NANOS), this::forgetUnlessAnswered);
    }

    private void forgetUnlessAnswered() {
        if (!recalled) {
            return;
        }
        EventLine.of("minion-not-found")
                .with("minion", minion.orElseThrow().boot())
                .log(LOGGER.atWarning());
        recalled = false;
        lookInFlight = false;
        lookNumber++;
        minion = Optional.empty();
        minionChanged();
    }

    private void minionChanged() {
        listener.minionChanged();
        listener.roomChanged();
    }

    /** Notes what the minion announced. A boot that was replaced is ignored, as its announcement was held up. */
    public void announced(MinionState state) {
        if (boots.isPast(state)) {
            return;
        }
        boolean anotherBoot = minion.isPresent() && !minion.get().boot().equals(state.boot());
        if (anotherBoot && !recalled && answering && reconciled) {
            boots.confirm(state, token.value(), this::accept);
        } else {
            accept(state);
        }
    }

    private void accept(MinionState state) {
        recalled = false;
        Optional<MinionState> before = minion;
        boolean sameBoot = before.isPresent() && before.get().boot().equals(state.boot());
        if (!sameBoot) {
            before.ifPresent(old -> replaced(old, "reborn"));
            lease.reset(state.clockMillis(), timers.nanos());
            lastAnswerNanos = timers.nanos();
        }
        // A minion that has said it leaves never stays after all; a late announcement must not undo it.
        boolean stillLeaving = sameBoot && before.get().leaving();
        minion = Optional.of(stillLeaving ? state.asLeaving() : state);
        if (!sameBoot || before.get().leaving() != minion.get().leaving()) {
            EventLine.of("minion-announced")
                    .with("minion", state.boot())
                    .with("leaving", minion.get().leaving())
                    .with("capacity", state.capacity())
                    .log(LOGGER.atInfo());
            minionChanged();
        }
        look();
    }

    /** Notes that the minion has taken its leave; whatever ran on it is gone. */
    public void departed(String boot) {
        if (minion.isPresent() && minion.get().boot().equals(boot)) {
            replaced(minion.get(), "departed");
            minion = Optional.empty();
            minionChanged();
        }
    }

    private void replaced(MinionState old, String reason) {
        recalled = false;
        boots.replaced(old.boot());
        // An answer of the old boot may take long or never come; the new one is looked at without waiting for it.
        lookInFlight = false;
        answering = true;
        lookArmed = false;
        lookNumber++;
        loseAll(old.boot(), reason);
        ends.clear();
        keptSent = 0;
        strangers = Set.of();
        reconciled = false;
    }

    private void loseAll(String boot, String reason) {
        List<OwnedEnd> lost = new ArrayList<>();
        for (HeldRun run : held.values()) {
            lost.add(run.unlistedEnd(boot, RunOutcome.LOST));
        }
        held.clear();
        taken = Room.NONE;
        if (!lost.isEmpty()) {
            EventLine.of("runs-lost")
                    .with("minion", boot)
                    .with("runs", lost.size())
                    .with("reason", reason)
                    .log(LOGGER.atWarning());
            listener.ended(lost);
        }
    }

    /**
     * Starts a run.
     *
     * @return why it isn't started and never will be by this call; empty when it was sent to the minion
     */
    public Optional<String> start(RunKey run, RunOwner owner, Room room, String payload, String checkpoint) {
        if (!isAccepting()) {
            return Optional.of("not accepting");
        }
        HeldRun known = held.get(run.task());
        if (known != null) {
            return Optional.of("held as run " + known.key().run());
        }
        if (!room.fitsInto(free())) {
            return Optional.of(NO_ROOM);
        }
        long now = timers.nanos();
        if (!mayExtendLease(now)) {
            return Optional.of("lease held back");
        }
        used = true;
        long until = lease.extend(now);
        HeldRun fresh = new HeldRun(run, owner, room, until, now);
        held.put(run.task(), fresh);
        taken = taken.plus(room);
        String boot = minion.orElseThrow().boot();
        port.start(
                boot,
                new StartOrder(run, payload, until, token.value(), checkpoint),
                answer -> startAnswered(boot, fresh, answer));
        timers.after(START_DOUBT, () -> doubt(boot, fresh, "no answer yet"));
        look();
        return Optional.empty();
    }

    private void startAnswered(String boot, HeldRun run, StartAnswer answer) {
        if (isNotHeld(boot, run)) {
            return;
        }
        switch (answer) {
            case StartAnswer.Started started -> {
                lease.observe(started.clockMillis(), timers.nanos());
                run.become(HeldRun.Stage.RUNNING, timers.nanos());
                if (run.isStopWanted()) {
                    sendStop(boot, run);
                }
                look();
            }
            case StartAnswer.Rejected rejected -> {
                logRejected(boot, run, rejected.reason());
                if (rejected.fenced()) {
                    token.raise();
                }
                neverStarted(boot, run);
            }
            case StartAnswer.Unreachable unreachable -> {
                logRejected(boot, run, unreachable.reason());
                stopAnswering();
                neverStarted(boot, run);
                look();
            }
            case StartAnswer.Unknown unknown -> doubt(boot, run, unknown.reason());
        }
    }

    private static void logRejected(String boot, HeldRun run, String reason) {
        EventLine.of("run-rejected")
                .with("run", run.key())
                .with("minion", boot)
                .with("reason", reason)
                .log(LOGGER.atInfo());
    }

    private void doubt(String boot, HeldRun run, String reason) {
        if (isNotHeld(boot, run) || run.stage() != HeldRun.Stage.STARTING) {
            return;
        }
        EventLine.of("run-doubtful")
                .with("run", run.key())
                .with("minion", boot)
                .with("reason", reason)
                .log(LOGGER.atWarning());
        run.become(HeldRun.Stage.DOUBTFUL, timers.nanos());
        timers.after(DOUBT_PAUSE, () -> resolve(boot, run));
        look();
    }

    /**
     * Takes no starts until the minion has answered a look. Its room looks free while it is down, so owners would send
     * it every task that waits, again and again, and none of them would start elsewhere.
     */
    private void stopAnswering() {
        if (answering) {
            answering = false;
            EventLine.of("minion-not-answering")
                    .with("minion", minion.map(MinionState::boot).orElse(""))
                    .log(LOGGER.atWarning());
            listener.roomChanged();
        }
    }

    /**
     * Rules a doubtful start out. A stop that was answered keeps the minion from ever taking this run, so the room is
     * free from the next look that does not list it; without that, a start carried out late would overfill the worker.
     */
    private void resolve(String boot, HeldRun run) {
        if (isNotHeld(boot, run) || run.stage() != HeldRun.Stage.DOUBTFUL || run.isStopAnswered()) {
            return;
        }
        sendStop(boot, run);
    }

    private boolean isNotHeld(String boot, HeldRun run) {
        return held.get(run.key().task()) != run
                || minion.isEmpty()
                || !minion.get().boot().equals(boot);
    }

    private void neverStarted(String boot, HeldRun run) {
        release(run);
        listener.ended(List.of(run.unlistedEnd(boot, RunOutcome.NEVER_STARTED)));
        listener.roomChanged();
    }

    private void release(HeldRun run) {
        held.remove(run.key().task());
        taken = taken.minus(run.room());
    }

    /** Stops a run; nothing happens when it isn't held. */
    public void stop(RunKey key) {
        HeldRun run = held.get(key.task());
        if (run == null || run.key().run() != key.run() || run.isStopWanted() || minion.isEmpty()) {
            return;
        }
        run.wantStop();
        sendStop(minion.get().boot(), run);
    }

    private void sendStop(String boot, HeldRun run) {
        port.stop(boot, run.key(), token.value(), taken -> {
            if (isNotHeld(boot, run)) {
                return;
            }
            if (taken) {
                run.stopAnswered(timers.nanos());
                look();
            } else {
                timers.after(LOOK_RETRY, () -> {
                    if (!isNotHeld(boot, run) && !run.isStopAnswered()) {
                        sendStop(boot, run);
                    }
                });
            }
        });
    }

    /** Notes that ends of a boot are stored, so that the minion may forget them. */
    public void kept(String boot, List<Long> sequences) {
        if (minion.isEmpty() || !minion.get().boot().equals(boot)) {
            return;
        }
        for (long sequence : sequences) {
            ends.keep(sequence);
        }
        if (ends.keptThrough() > keptSent) {
            look();
        }
    }

    private void look() {
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
        String boot = minion.get().boot();
        OptionalLong lease = renewal(now);
        Duration wait = held.isEmpty() ? Duration.ZERO : LOOK_WAIT;
        long kept = ends.keptThrough();
        port.look(boot, new LookOrder(token.value(), kept, lease, wait), answer -> {
            lookInFlight = false;
            if (number == lookNumber
                    && minion.isPresent()
                    && minion.get().boot().equals(boot)) {
                looked(boot, answer, now, kept);
            } else {
                look();
            }
        });
    }

    private boolean isLookNeeded() {
        return !reconciled || !answering || !strangers.isEmpty() || !held.isEmpty() || ends.keptThrough() > keptSent;
    }

    private OptionalLong renewal(long now) {
        if (held.isEmpty() || now - lastAnswerNanos > UNANSWERED_NANOS || !mayExtendLease(now)) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(lease.extend(now));
    }

    /**
     * Tells whether the minion's one lease may be extended, by a renewal or by a start. Not while the owner of anything
     * there may have given it up: an owner that is cut off starts its tasks elsewhere after a time, relying on the
     * lease to have ended by then. The starts of other owners would keep the old runs going beside the new ones, and
     * would make an end that the owner never heard of count although its task was started again.
     */
    private boolean mayExtendLease(long now) {
        if (lease.hasLapsed(now)) {
            ends.lapsed();
        }
        Set<RunOwner> owners = owners();
        owners.addAll(ends.ownersBeforeLapse());
        boolean allowed = owners.isEmpty() || listener.mayRenew(owners);
        if (allowed == renewalHeld) {
            renewalHeld = !allowed;
            EventLine.of(allowed ? "lease-renewed-again" : "lease-not-renewed")
                    .with("runs", held.size())
                    .with("owners", owners)
                    .log(LOGGER.atWarning());
        }
        return allowed;
    }

    /**
     * Calls the runs of a minion that doesn't answer lost, once every lease that it may have taken has ended. Until
     * then a run may go on there, and a second one elsewhere would run beside it.
     */
    private void loseAfterLapse(long now) {
        boolean silent = now - lastAnswerNanos > UNANSWERED_NANOS;
        if (silent && !held.isEmpty() && lease.hasLapsed(now)) {
            loseAll(minion.orElseThrow().boot(), "silent");
            reconciled = false;
            listener.roomChanged();
        }
    }

    private void looked(String boot, LookAnswer answer, long sentAtNanos, long keptWithIt) {
        switch (answer) {
            case LookAnswer.Lists lists -> {
                lastAnswerNanos = timers.nanos();
                lease.observe(lists.clockMillis(), lastAnswerNanos);
                recalled = false;
                if (!complete) {
                    // The agent before this one may have extended the lease a moment ago.
                    lease.extend(lastAnswerNanos);
                }
                keptSent = Math.max(keptSent, keptWithIt);
                boolean news = took(boot, lists, sentAtNanos);
                boolean quick = lastAnswerNanos - sentAtNanos < LOOK_PAUSE.toNanos();
                if (news) {
                    lookAfter(NEWS_PAUSE);
                } else {
                    lookAfter(quick ? LOOK_PAUSE : Duration.ZERO);
                }
            }
            case LookAnswer.Refused refused -> {
                EventLine.of("look-refused")
                        .with("minion", boot)
                        .with("reason", refused.reason())
                        .log(LOGGER.atWarning());
                if (refused.fenced()) {
                    token.raise();
                    lookAfter(Duration.ZERO);
                } else {
                    departed(boot);
                }
            }
            case LookAnswer.Unreachable unreachable -> {
                unanswered(boot, unreachable.reason());
                stopAnswering();
                lookAfter(LOOK_RETRY);
            }
            case LookAnswer.Unknown unknown -> {
                unanswered(boot, unknown.reason());
                if (timers.nanos() - lastAnswerNanos > NOT_ANSWERING_NANOS) {
                    stopAnswering();
                    lookAfter(LOOK_RETRY);
                } else {
                    lookAfter(LOOK_PAUSE);
                }
            }
        }
    }

    private static void unanswered(String boot, String reason) {
        EventLine.of("look-unanswered")
                .with("minion", boot)
                .with("reason", reason)
                .log(LOGGER.atInfo());
    }

    private void lookAfter(Duration pause) {
        if (pause.isZero()) {
            look();
            return;
        }
        if (!lookArmed) {
            lookArmed = true;
            timers.after(pause, () -> {
                lookArmed = false;
                look();
            });
        }
    }

    /** Takes the lists over; tells whether they held anything new. */
    private boolean took(String boot, LookAnswer.Lists lists, long sentAtNanos) {
        Room before = free();
        boolean acceptingBefore = isAccepting();
        List<OwnedEnd> fresh = new ArrayList<>();
        for (ListedEnd end : lists.ends()) {
            HeldRun run = held.get(end.run().task());
            boolean followed = run != null && run.key().equals(end.run());
            RunOwner owner = followed ? run.owner() : partitionOf(end.run());
            if (!ends.add(end, owner)) {
                continue;
            }
            fresh.add(new OwnedEnd(owner, end.of(boot)));
            if (followed) {
                release(run);
            }
            if (owner instanceof RunOwner.Entry) {
                // Nothing of such a job is stored, so the minion may forget the end as soon as it was told here.
                ends.keep(end.sequence());
            }
        }
        tookRunning(boot, lists, sentAtNanos);
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

    private void tookRunning(String boot, LookAnswer.Lists lists, long sentAtNanos) {
        Set<RunKey> running = new HashSet<>(lists.running());
        Set<RunKey> unknown = new HashSet<>(running);
        for (HeldRun run : List.copyOf(held.values())) {
            unknown.remove(run.key());
            if (running.contains(run.key())) {
                if (run.stage() != HeldRun.Stage.RUNNING) {
                    run.become(HeldRun.Stage.RUNNING, timers.nanos());
                }
                continue;
            }
            if (run.isRuledOut(lists.clockMillis(), sentAtNanos)) {
                neverStarted(boot, run);
            } else if (run.stage() == HeldRun.Stage.RUNNING && sentAtNanos - run.stageSinceNanos() > 0) {
                vanished(boot, run);
            }
        }
        // Runs of an agent before this one: their room isn't known here, so nothing is started until their lease,
        // which nobody renews, has ended.
        strangers = Set.copyOf(unknown);
        complete |= strangers.isEmpty();
    }

    private void vanished(String boot, HeldRun run) {
        EventLine.of("run-vanished").with("run", run.key()).with("minion", boot).log(LOGGER.atWarning());
        release(run);
        listener.ended(List.of(run.unlistedEnd(boot, RunOutcome.LOST)));
        listener.roomChanged();
    }

    /** Returns the owner of a run that an agent before this one started: only kept jobs have owners that last. */
    private RunOwner partitionOf(RunKey run) {
        return new RunOwner.Partition(Partitions.of(run.task().jobId(), partitions));
    }

    /** Stops everything that an owner has here. */
    public void stopAll(RunOwner owner) {
        for (HeldRun run : List.copyOf(held.values())) {
            if (run.owner().equals(owner)) {
                stop(run.key());
            }
        }
    }

    /** Returns whose runs are here. */
    public Set<RunOwner> owners() {
        Set<RunOwner> owners = new HashSet<>();
        for (HeldRun run : held.values()) {
            owners.add(run.owner());
        }
        return owners;
    }
}
