package org.chivetally.claim;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;
import org.chivetally.log.AppendOutcome;
import org.chivetally.log.NewRecord;
import org.chivetally.log.PlatformLog;
import org.chivetally.log.ReadOutcome;
import org.chivetally.time.NanoClock;

/** Connects a {@link ClaimStateMachine} with the log, the clock and its callers. */
final class ClaimsActor extends AbstractBehavior<ClaimsCommand> {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration TICK_INTERVAL = Duration.ofMillis(10);
    private static final Duration EMPTY_READ_PAUSE = Duration.ofMillis(20);

    private final ActorRef<ClaimsCommand> actor;
    private final TimerScheduler<ClaimsCommand> timers;
    private final ClaimStateMachine stateMachine;
    private final PlatformLog log;
    private final ClaimSettings settings;
    private final String writer;
    private final NanoClock clock;
    private final ClaimMeters meters;
    private final AtomicBoolean caughtUp;
    private final SnapshotManager snapshots;
    private final List<Consumer<Boolean>> leaseListeners = new ArrayList<>();
    private final List<Consumer<Claim>> replacedListeners = new ArrayList<>();
    private final List<CompletableFuture<Void>> departures = new ArrayList<>();
    private final List<LongConsumer> leaseExtendedListeners = new ArrayList<>();
    private Long leaseEndNanos;
    private boolean departed;
    private boolean stopped;
    private boolean leaseHeld;
    private boolean readOpen;
    private long readNumber;
    private boolean readMayWait;
    private long readSentNanos;
    private long readNotBeforeNanos;
    private boolean snapshotNeeded = true;
    private long earliestOffset;
    private boolean appendOpen;
    private long appendNumber;
    private long appendSentNanos;

    private ClaimsActor(
            ActorContext<ClaimsCommand> context,
            TimerScheduler<ClaimsCommand> timers,
            ClaimStateMachine stateMachine,
            PlatformLog log,
            ClaimSettings settings,
            Coordinator self,
            NanoClock clock,
            ClaimMeters meters,
            AtomicBoolean caughtUp) {
        super(context);
        this.actor = context.getSelf();
        this.timers = timers;
        this.stateMachine = stateMachine;
        this.log = log;
        this.settings = settings;
        this.writer = RecordId.writerOf(self);
        this.clock = clock;
        this.meters = meters;
        this.caughtUp = caughtUp;
        this.readNotBeforeNanos = clock.nanos();
        this.snapshots = new SnapshotManager(context, log, settings, self, readNotBeforeNanos);
    }

    /** Returns the actor's behavior; the initial tick starts reading. */
    static Behavior<ClaimsCommand> create(
            ClaimStateMachine stateMachine,
            PlatformLog log,
            ClaimSettings settings,
            Coordinator self,
            NanoClock clock,
            ClaimMeters meters,
            AtomicBoolean caughtUp) {
        return Behaviors.setup(context -> Behaviors.withTimers(timers -> {
            timers.startTimerWithFixedDelay(new ClaimsCommand.Tick(), TICK_INTERVAL);
            context.getSelf().tell(new ClaimsCommand.Tick());
            return new ClaimsActor(context, timers, stateMachine, log, settings, self, clock, meters, caughtUp);
        }));
    }

    @Override
    public Receive<ClaimsCommand> createReceive() {
        return newReceiveBuilder().onMessage(ClaimsCommand.class, this::receive).build();
    }

    private Behavior<ClaimsCommand> receive(ClaimsCommand command) {
        handle(command, clock.nanos());
        if (!stopped) {
            readNext();
            append();
        }
        perform();
        meters.setTableSize(stateMachine.tableSize());
        caughtUp.set(stateMachine.caughtUp());
        return this;
    }

    private void handle(ClaimsCommand command, long nanos) {
        switch (command) {
            case ClaimsCommand.MakeClaim make -> stateMachine.claim(make.claimed(), make.mode(), make.reply(), nanos);
            case ClaimsCommand.TakeOver take -> stateMachine.takeOver(take.current(), take.reply(), nanos);
            case ClaimsCommand.FindKey find -> find.reply().complete(stateMachine.find(find.key()));
            case ClaimsCommand.FindJob find -> find.reply().complete(stateMachine.find(find.job()));
            case ClaimsCommand.FindClaimedAfter find -> find.reply().complete(stateMachine.claimedAfter(find.job()));
            case ClaimsCommand.Finish finish -> stateMachine.markFinished(finish.claim());
            case ClaimsCommand.Release release -> stateMachine.release(release.claim());
            case ClaimsCommand.Depart depart -> depart(depart.reply(), nanos);
            case ClaimsCommand.AddLeaseListener add -> addLeaseListener(add.listener());
            case ClaimsCommand.AddLeaseExtendedListener add -> addLeaseExtendedListener(add.listener());
            case ClaimsCommand.AddReplacedListener add -> replacedListeners.add(add.listener());
            case ClaimsCommand.ReadAnswered answered -> readAnswered(answered, nanos);
            case ClaimsCommand.AppendAnswered answered -> appendAnswered(answered.number(), answered.outcome(), nanos);
            case ClaimsCommand.SnapshotLoaded loaded -> snapshotLoaded(loaded, nanos);
            case ClaimsCommand.SnapshotTailRead read -> snapshots.write(read.tail(), stateMachine, nanos);
            case ClaimsCommand.SnapshotDone done -> snapshots.snapshotDone(done, nanos);
            case ClaimsCommand.Tick ignored -> tick(nanos);
            case ClaimsCommand.Stop ignored -> stop(nanos);
        }
    }

    /**
     * Stops reading and appending. The actor keeps running until its actor system terminates, so that later calls are
     * still answered.
     */
    private void stop(long nanos) {
        stopped = true;
        timers.cancelAll();
        stateMachine.abandonAll(nanos);
        departed = true;
        completeDepartures();
    }

    private void completeDepartures() {
        departures.forEach(reply -> reply.complete(null));
        departures.clear();
    }

    private void depart(CompletableFuture<Void> reply, long nanos) {
        if (departed) {
            reply.complete(null);
            return;
        }
        departures.add(reply);
        stateMachine.depart(nanos);
    }

    private void addLeaseListener(Consumer<Boolean> listener) {
        leaseListeners.add(listener);
        if (leaseHeld) {
            listener.accept(true);
        }
    }

    private void addLeaseExtendedListener(LongConsumer listener) {
        leaseExtendedListeners.add(listener);
        if (leaseEndNanos != null) {
            listener.accept(leaseEndNanos);
        }
    }

    private void tick(long nanos) {
        Duration readLimit = settings.tail().pollWait().plus(settings.tail().answerTimeout());
        if (readOpen && nanos - readSentNanos > readLimit.toNanos()) {
            readFailed("no answer in time", nanos);
        }
        if (appendOpen
                && nanos - appendSentNanos > settings.tail().answerTimeout().toNanos()) {
            appendAnswered(appendNumber, new AppendOutcome.Unknown("no answer in time"), nanos);
        }
        if (snapshots.isLoadOverdue(nanos)) {
            retryLoadLater("no answer in time", nanos);
        }
        stateMachine.tick(nanos);
        snapshots.tick(stateMachine, nanos);
    }

    private void snapshotLoaded(ClaimsCommand.SnapshotLoaded loaded, long nanos) {
        if (!snapshots.endLoading(loaded.number())) {
            return;
        }
        switch (loaded.load()) {
            case SnapshotLoadResult.Found found -> {
                snapshots.recordSnapshot(
                        found.image().nextOffset(), found.image().streamMillis());
                stateMachine.restore(found.image(), nanos);
                endLoading();
            }
            case SnapshotLoadResult.None ignored -> endLoading();
            case SnapshotLoadResult.Unavailable unavailable -> retryLoadLater(unavailable.reason(), nanos);
        }
    }

    private void endLoading() {
        snapshotNeeded = false;
        if (stateMachine.nextOffset() < earliestOffset) {
            stateMachine.skipTo(earliestOffset);
        }
    }

    private void retryLoadLater(String reason, long nanos) {
        snapshots.cancelLoading();
        readFailed(reason, nanos);
    }

    private void readNext() {
        long nanos = clock.nanos();
        if (readOpen || snapshots.isLoading() || nanos - readNotBeforeNanos < 0) {
            return;
        }
        if (snapshotNeeded) {
            snapshots.load(nanos);
            return;
        }
        readOpen = true;
        readNumber++;
        readSentNanos = nanos;
        long number = readNumber;
        readMayWait = stateMachine.mayLongPoll();
        Duration wait = readMayWait ? settings.tail().pollWait() : Duration.ZERO;
        log.read(LogClaims.STREAM, stateMachine.nextOffset(), settings.tail().readLimit(), wait)
                .whenComplete((outcome, failure) -> actor.tell(new ClaimsCommand.ReadAnswered(
                        number, failure == null ? outcome : new ReadOutcome.Unavailable(failure.toString()))));
    }

    private void readAnswered(ClaimsCommand.ReadAnswered answered, long nanos) {
        if (!readOpen || answered.number() != readNumber) {
            return;
        }
        readOpen = false;
        switch (answered.outcome()) {
            case ReadOutcome.Records found -> recordsRead(found, nanos);
            case ReadOutcome.Expired expired -> {
                earliestOffset = expired.earliestOffset();
                snapshotNeeded = true;
            }
            case ReadOutcome.Unavailable unavailable -> readFailed(unavailable.reason(), nanos);
        }
    }

    private void recordsRead(ReadOutcome.Records found, long nanos) {
        stateMachine.recordsRead(found.records(), found.endOffset(), readSentNanos, nanos);
        if (found.records().isEmpty() && (readMayWait || !stateMachine.mayLongPoll())) {
            // Without a pause, a log that answers empty reads immediately would be polled in a busy loop.
            readNotBeforeNanos = readSentNanos + EMPTY_READ_PAUSE.toNanos();
        }
    }

    private void readFailed(String reason, long nanos) {
        readOpen = false;
        readNotBeforeNanos = nanos + settings.tail().retryInterval().toNanos();
        stateMachine.readFailed(reason);
    }

    private void append() {
        stateMachine.nextAppend(clock.nanos()).ifPresent(this::send);
    }

    private void send(GroupCommit.Batch batch) {
        appendOpen = true;
        appendNumber = batch.number();
        appendSentNanos = clock.nanos();
        meters.recordAppend(batch.records().size());
        log.append(LogClaims.STREAM, encode(batch))
                .whenComplete((outcome, failure) -> actor.tell(new ClaimsCommand.AppendAnswered(
                        batch.number(), failure == null ? outcome : new AppendOutcome.Unknown(failure.toString()))));
    }

    private List<NewRecord> encode(GroupCommit.Batch batch) {
        Instant written = Instant.now();
        return batch.records().stream()
                .map(outgoing -> new NewRecord(
                        new RecordId(writer, outgoing.sequence()).text(),
                        ClaimRecordCodec.encode(outgoing.timestamped(), written)))
                .toList();
    }

    private void appendAnswered(long number, AppendOutcome outcome, long nanos) {
        if (number == appendNumber) {
            appendOpen = false;
        }
        stateMachine.appendCompleted(number, outcome, nanos);
    }

    private void perform() {
        for (ClaimEffect effect : stateMachine.drainEffects()) {
            perform(effect);
        }
    }

    private void perform(ClaimEffect effect) {
        switch (effect) {
            case ClaimEffect.Decide decide -> {
                meters.recordDecision(decide.waitedNanos());
                decide.reply().complete(decide.decision());
            }
            case ClaimEffect.NotifyLeaseChanged notification -> {
                leaseHeld = notification.held();
                leaseListeners.forEach(listener -> listener.accept(notification.held()));
            }
            case ClaimEffect.NotifyLeaseExtended notification -> {
                leaseEndNanos = notification.untilNanos();
                leaseExtendedListeners.forEach(listener -> listener.accept(notification.untilNanos()));
            }
            case ClaimEffect.NotifyReplaced notification ->
                replacedListeners.forEach(listener -> listener.accept(notification.successor()));
            case ClaimEffect.ConfirmDeparture ignored -> {
                departed = true;
                completeDepartures();
            }
            case ClaimEffect.CountSkipped ignored -> meters.recordSkipped();
            case ClaimEffect.WriteLine write -> logger.atInfo().log("%s", write.line());
        }
    }
}
