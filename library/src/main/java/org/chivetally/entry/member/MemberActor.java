package org.chivetally.entry.member;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;
import org.chivetally.log.AppendOutcome;
import org.chivetally.log.LogRecord;
import org.chivetally.log.NewRecord;
import org.chivetally.log.PlatformLog;
import org.chivetally.log.ReadOutcome;
import org.chivetally.logging.EventLine;
import org.chivetally.time.NanoClock;

/** Drives a {@link MembershipView}: reads and writes the stream {@code members}, and executes effects. */
public final class MemberActor extends AbstractBehavior<MemberActor.Command> {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int RECORDS_PER_READ = 1_000;
    private static final Duration LONG_POLL_WAIT = Duration.ofSeconds(5);
    private static final Duration READ_RETRY_DELAY = Duration.ofMillis(500);
    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
    private static final Duration INTRODUCE_INTERVAL = Duration.ofSeconds(5);

    private final TimerScheduler<Command> timers;
    private final Parts parts;
    private final MembershipView view;
    private long nextOffset;
    private boolean changed;
    private boolean caughtUpOnce;
    private boolean upToDate;
    private boolean logReachable;

    private MemberActor(ActorContext<Command> context, TimerScheduler<Command> timers, Parts parts) {
        super(context);
        this.timers = timers;
        this.parts = parts;
        this.view =
                new MembershipView(parts.self(), parts.settings(), parts.clock().nanos());
        timers.startTimerWithFixedDelay(new Tick(), TICK_INTERVAL);
        timers.startTimerWithFixedDelay(new Introduce(), INTRODUCE_INTERVAL);
        timers.startTimerWithFixedDelay(new Announce(), parts.announceInterval());
        parts.publish().accept(view.list());
        parts.introduce().run();
        announce();
        read();
    }

    /** Creates the behavior. */
    public static Behavior<Command> create(Parts parts) {
        return Behaviors.setup(context -> Behaviors.withTimers(timers -> new MemberActor(context, timers, parts)));
    }

    @Override
    public Receive<Command> createReceive() {
        return newReceiveBuilder()
                .onMessage(Leave.class, this::onLeave)
                .onMessage(Command.class, command -> {
                    handle(command);
                    return this;
                })
                .build();
    }

    private void handle(Command command) {
        switch (command) {
            case Event event -> applyAndPublish(event.event());
            case ReadDone done -> onRead(done.outcome());
            case RetryRead retry -> read();
            case CatchUpRead read -> onCatchUpRead(read);
            case CatchUp catchUp -> catchUp(catchUp);
            case ListMembers listMembers ->
                listMembers.reply().accept(view.list().members());
            case Announce announce -> announce();
            case Introduce introduce -> introduceUnlessLogReachable();
            case Tick tick -> applyAndPublish(new MembershipEvent.Ticked());
            case Written written -> onWritten(written);
            case Leave leave -> throw new IllegalStateException("Leave is handled by onLeave");
        }
    }

    private void onRead(ReadOutcome outcome) {
        switch (outcome) {
            case ReadOutcome.Records records -> applyRecords(records);
            case ReadOutcome.Expired expired -> nextOffset = Math.max(nextOffset, expired.earliestOffset());
            case ReadOutcome.Unavailable unavailable -> {
                LOGGER.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
                        "%s", EventLine.of("members-read-failed").with("reason", unavailable.reason()));
                upToDate = false;
                setLogReachable(false);
                timers.startSingleTimer(new RetryRead(), READ_RETRY_DELAY);
                return;
            }
        }
        read();
    }

    private void applyRecords(ReadOutcome.Records records) {
        setLogReachable(true);
        for (LogRecord record : records.records()) {
            // Two reads may run concurrently; the later answer repeats records of the earlier one.
            if (record.offset() >= nextOffset) {
                nextOffset = record.offset() + 1;
                MemberRecords.read(record.payload())
                        .ifPresent(memberRecord -> applyEvent(new MembershipEvent.RecordRead(memberRecord)));
            }
        }
        publishIfChanged();
        upToDate = nextOffset >= records.endOffset();
        if (!caughtUpOnce && upToDate) {
            caughtUpOnce = true;
            parts.caughtUp().run();
        }
    }

    private void setLogReachable(boolean isReachable) {
        logReachable = isReachable;
        parts.logReachable().accept(isReachable);
    }

    // A pending long-poll read may have started before the requested records were written, so this reads separately.
    private void catchUp(CatchUp catchUp) {
        getContext()
                .pipeToSelf(
                        parts.log().read(MemberRecords.STREAM, nextOffset, RECORDS_PER_READ, Duration.ZERO),
                        (outcome, failure) -> new CatchUpRead(catchUp, orUnavailable(outcome, failure)));
    }

    private void onCatchUpRead(CatchUpRead read) {
        if (!(read.outcome() instanceof ReadOutcome.Records records)) {
            read.catchUp().done().complete(false);
            return;
        }
        applyRecords(records);
        if (nextOffset < records.endOffset()) {
            catchUp(read.catchUp());
            return;
        }
        read.catchUp().done().complete(true);
    }

    // While the log is down, announcements are not read, and a process that starts then would stay unknown. Instead it
    // introduces itself to the processes in its settings, and requests their members.
    private void introduceUnlessLogReachable() {
        if (!logReachable) {
            parts.introduce().run();
        }
    }

    private void announce() {
        write(new MemberRecord.Announce(parts.self()));
    }

    private void write(MemberRecord record) {
        NewRecord written = new NewRecord(UUID.randomUUID().toString(), MemberRecords.write(record));
        getContext()
                .pipeToSelf(
                        parts.log().append(MemberRecords.STREAM, List.of(written)),
                        (outcome, failure) -> new Written(record, outcome));
    }

    private void onWritten(Written written) {
        boolean failed = !(written.outcome() instanceof AppendOutcome.Appended);
        if (failed) {
            LOGGER.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
                    "%s", EventLine.of("member-record-not-written").with("record", written.record()));
        }
        boolean isAnnouncement = written.record() instanceof MemberRecord.Announce;
        if (failed && isAnnouncement && !timers.isTimerActive(Announce.RETRY_TIMER_KEY)) {
            timers.startSingleTimer(Announce.RETRY_TIMER_KEY, new Announce(), INTRODUCE_INTERVAL);
        }
    }

    private Behavior<Command> onLeave(Leave leave) {
        MemberRecord record =
                new MemberRecord.Leave(parts.self().processId(), parts.self().incarnation());
        NewRecord written = new NewRecord(UUID.randomUUID().toString(), MemberRecords.write(record));
        parts.log()
                .append(MemberRecords.STREAM, List.of(written))
                .whenComplete((outcome, failure) -> leave.done().complete(null));
        return Behaviors.stopped();
    }

    private void read() {
        getContext()
                .pipeToSelf(
                        parts.log().read(MemberRecords.STREAM, nextOffset, RECORDS_PER_READ, LONG_POLL_WAIT),
                        (outcome, failure) -> new ReadDone(orUnavailable(outcome, failure)));
    }

    private static ReadOutcome orUnavailable(ReadOutcome outcome, Throwable failure) {
        return failure == null ? outcome : new ReadOutcome.Unavailable(failure.toString());
    }

    private void applyAndPublish(MembershipEvent event) {
        applyEvent(event);
        publishIfChanged();
    }

    private void applyEvent(MembershipEvent event) {
        for (MembershipEffect effect : view.handle(event, parts.clock().nanos())) {
            execute(effect);
        }
    }

    private void publishIfChanged() {
        if (changed) {
            changed = false;
            parts.publish().accept(view.list());
        }
    }

    private void execute(MembershipEffect effect) {
        switch (effect) {
            case MembershipEffect.Changed changedView -> changed = true;
            case MembershipEffect.Append append when !upToDate -> {
                // Unread records most likely contain this record already, and nothing can be written during an outage.
                // The view requests the append again if it is still needed after the next read.
            }
            case MembershipEffect.Append append -> {
                LOGGER.atInfo().log("%s", EventLine.of("member-record").with("record", append.record()));
                write(append.record());
            }
            default -> {
                LOGGER.atInfo().log("%s", EventLine.of("member").with("effect", effect));
                parts.connectionEffects().accept(effect);
            }
        }
    }

    /** Messages to the actor. */
    public sealed interface Command {}

    /** Applies an event to the view. */
    public record Event(MembershipEvent event) implements Command {}

    /**
     * Reads the stream to its current end; completes with true once its records are published, with false if a read
     * fails.
     */
    public record CatchUp(CompletableFuture<Boolean> done) implements Command {}

    /** Returns the members, for a peer that cannot read the log. */
    public record ListMembers(Consumer<List<Member>> reply) implements Command {}

    /** Writes the leave record of this process, and stops the actor. */
    public record Leave(CompletableFuture<Void> done) implements Command {}

    private record ReadDone(ReadOutcome outcome) implements Command {}

    private record RetryRead() implements Command {}

    private record CatchUpRead(CatchUp catchUp, ReadOutcome outcome) implements Command {}

    private record Written(MemberRecord record, AppendOutcome outcome) implements Command {}

    private record Announce() implements Command {
        private static final String RETRY_TIMER_KEY = "announce-again";
    }

    private record Introduce() implements Command {}

    private record Tick() implements Command {}

    /**
     * Dependencies of the actor.
     *
     * @param self this process as a member
     * @param announceInterval time between announcements; well below the retention of the log
     * @param publish receives each new list, on the actor's thread
     * @param connectionEffects receives all effects except appends and changes, on the actor's thread
     * @param caughtUp runs once, when the stream was read to its end for the first time
     * @param logReachable receives after each read whether it succeeded
     * @param introduce introduces this process to the processes in its settings, and requests their members
     */
    public record Parts(
            PlatformLog log,
            NanoClock clock,
            Member self,
            MembershipSettings settings,
            Duration announceInterval,
            Consumer<MemberList> publish,
            Consumer<MembershipEffect> connectionEffects,
            Runnable caughtUp,
            Consumer<Boolean> logReachable,
            Runnable introduce) {}
}
