package org.chivetally.entry.member;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;
import org.chivetally.log.LogRecord;
import org.chivetally.log.NewRecord;
import org.chivetally.log.PlatformLog;
import org.chivetally.log.ReadOutcome;
import org.chivetally.logging.EventLine;
import org.chivetally.time.NanoClock;

/** Reads the stream {@code members}, publishes the view, and announces this process there. */
public final class MemberActor extends AbstractBehavior<MemberActor.Command> {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int RECORDS_PER_READ = 1_000;
    private static final Duration LONGEST_READ = Duration.ofSeconds(5);
    private static final Duration READ_RETRY = Duration.ofMillis(500);
    private static final Duration ANNOUNCE_INTERVAL = Duration.ofSeconds(30);
    private static final Duration EXPIRY_INTERVAL = Duration.ofSeconds(1);
    private static final Duration KEPT_UNHEARD = Duration.ofSeconds(120);

    private final TimerScheduler<Command> timers;
    private final Parts parts;
    private final MemberTable table = new MemberTable();
    private long nextOffset;
    private boolean atEnd;
    private boolean reachable;

    private MemberActor(ActorContext<Command> context, TimerScheduler<Command> timers, Parts parts) {
        super(context);
        this.timers = timers;
        this.parts = parts;
        table.fold(new MemberRecord.Announce(parts.self()), parts.clock().nanos());
        timers.startTimerWithFixedDelay(new Expire(), EXPIRY_INTERVAL);
        timers.startTimerWithFixedDelay(new Announce(), ANNOUNCE_INTERVAL);
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
                .onMessage(ReadDone.class, this::onRead)
                .onMessage(ReadAgain.class, again -> read())
                .onMessage(CatchUp.class, this::onCatchUp)
                .onMessage(CatchUpDone.class, this::onCatchUpDone)
                .onMessage(Introduced.class, this::onIntroduced)
                .onMessage(Connected.class, this::onConnected)
                .onMessage(Expire.class, expire -> onExpire())
                .onMessage(Announce.class, announce -> announce())
                .onMessage(Leave.class, this::onLeave)
                .build();
    }

    private Behavior<Command> onRead(ReadDone done) {
        switch (done.outcome()) {
            case ReadOutcome.Records records -> foldAll(records);
            case ReadOutcome.Expired expired -> nextOffset = expired.earliestOffset();
            case ReadOutcome.Unavailable unavailable -> {
                LOGGER.atWarning().log("%s", EventLine.of("members-read-failed").with("reason", unavailable.reason()));
                reachable = false;
                timers.startSingleTimer(new ReadAgain(), READ_RETRY);
                return this;
            }
        }
        return read();
    }

    private void foldAll(ReadOutcome.Records records) {
        reachable = true;
        boolean changed = false;
        for (LogRecord record : records.records()) {
            if (record.offset() < nextOffset) {
                continue;
            }
            changed |= fold(record);
            nextOffset = record.offset() + 1;
        }
        if (!atEnd && nextOffset >= records.endOffset()) {
            atEnd = true;
            parts.caughtUp().run();
            changed = true;
        }
        publishIf(changed);
    }

    private boolean fold(LogRecord record) {
        return MemberRecords.read(record.payload())
                .map(known -> table.fold(known, parts.clock().nanos()))
                .orElse(false);
    }

    private Behavior<Command> onCatchUp(CatchUp catchUp) {
        getContext()
                .pipeToSelf(
                        parts.log().read(MemberRecords.STREAM, nextOffset, RECORDS_PER_READ, Duration.ZERO),
                        (outcome, failure) -> new CatchUpDone(
                                failure == null ? outcome : new ReadOutcome.Unavailable(failure.toString()), catchUp));
        return this;
    }

    private Behavior<Command> onCatchUpDone(CatchUpDone done) {
        if (!(done.outcome() instanceof ReadOutcome.Records records)) {
            done.catchUp().done().complete(false);
            return this;
        }
        foldAll(records);
        if (nextOffset < records.endOffset()) {
            return onCatchUp(done.catchUp());
        }
        done.catchUp().done().complete(true);
        return this;
    }

    private Behavior<Command> onIntroduced(Introduced introduced) {
        MemberRecord announce = new MemberRecord.Announce(introduced.member());
        boolean changed = table.fold(announce, parts.clock().nanos());
        if (changed && introduced.member().isAgent()) {
            append(announce);
        }
        publishIf(changed);
        return this;
    }

    private Behavior<Command> onConnected(Connected connected) {
        long now = parts.clock().nanos();
        connected.processIds().forEach(processId -> table.heard(processId, now));
        return this;
    }

    private Behavior<Command> onExpire() {
        table.heard(parts.self().processId(), parts.clock().nanos());
        publishIf(table.expire(parts.clock().nanos() - KEPT_UNHEARD.toNanos()));
        return this;
    }

    // While the log is down nobody reads an announcement, and a process that starts then would stay unknown. It says
    // so to the processes of its settings instead.
    private Behavior<Command> announce() {
        if (!reachable) {
            parts.introduce().run();
        }
        append(new MemberRecord.Announce(parts.self()));
        return this;
    }

    // An agent that the log does not know yet was introduced here and will get work. An entry that takes such a job
    // over has to ask all agents that may have run its tasks, and knows of them by the log, so the agent is announced
    // at once and not only by its own next attempt.
    private void append(MemberRecord content) {
        parts.log().append(MemberRecords.STREAM, List.of(record(content)));
    }

    private Behavior<Command> onLeave(Leave leave) {
        NewRecord record = record(
                new MemberRecord.Leave(parts.self().processId(), parts.self().incarnation()));
        parts.log()
                .append(MemberRecords.STREAM, List.of(record))
                .whenComplete((outcome, failure) -> leave.done().complete(null));
        return Behaviors.stopped();
    }

    private Behavior<Command> read() {
        getContext()
                .pipeToSelf(
                        parts.log().read(MemberRecords.STREAM, nextOffset, RECORDS_PER_READ, LONGEST_READ),
                        (outcome, failure) -> new ReadDone(
                                failure == null ? outcome : new ReadOutcome.Unavailable(failure.toString())));
        return this;
    }

    private void publishIf(boolean changed) {
        if (changed) {
            parts.publish().accept(new MemberView(table.members(), table.endedAgents()));
        }
    }

    private static NewRecord record(MemberRecord record) {
        return new NewRecord(UUID.randomUUID().toString(), MemberRecords.write(record));
    }

    /** Messages of the actor. */
    public sealed interface Command {}

    /** A process introduced itself over a connection. */
    public record Introduced(Member member) implements Command {}

    /** These processes are connected now. */
    public record Connected(Set<String> processIds) implements Command {}

    /** Says in the log that this process stops, and ends the actor. */
    public record Leave(CompletableFuture<Void> done) implements Command {}

    /** Reads the stream to its present end; true once all that it holds was published. */
    public record CatchUp(CompletableFuture<Boolean> done) implements Command {}

    private record CatchUpDone(ReadOutcome outcome, CatchUp catchUp) implements Command {}

    private record ReadDone(ReadOutcome outcome) implements Command {}

    private record ReadAgain() implements Command {}

    private record Announce() implements Command {}

    private record Expire() implements Command {}

    /**
     * What the actor works with.
     *
     * @param self this process as a member
     * @param publish takes each new view, on the actor's thread
     * @param caughtUp run once, when the stream was read to its end for the first time
     * @param introduce tells the processes of the settings of this one, while the log can't
     */
    public record Parts(
            PlatformLog log,
            NanoClock clock,
            Member self,
            Consumer<MemberView> publish,
            Runnable caughtUp,
            Runnable introduce) {}
}
