package org.chivetally.claim;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;
import org.chivetally.log.AppendOutcome;
import org.chivetally.log.NewRecord;
import org.chivetally.log.PlatformLog;
import org.chivetally.logging.EventLine;

/**
 * Actor that appends one snapshot, chunk by chunk with pauses, and then stops. A chunk whose append failed or timed out
 * is sent again; readers tolerate duplicates.
 */
final class SnapshotWriter extends AbstractBehavior<SnapshotWriter.Command> {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAXIMUM_FAILURES = 20;

    private final TimerScheduler<Command> timers;
    private final PlatformLog log;
    private final ClaimSettings settings;
    private final TableImage image;
    private final Consumer<Boolean> completionListener;
    private List<NewRecord> chunks = List.of();
    private int part;
    private int failures;
    private int attempt;

    private SnapshotWriter(
            ActorContext<Command> context,
            TimerScheduler<Command> timers,
            PlatformLog log,
            ClaimSettings settings,
            TableImage image,
            Consumer<Boolean> completionListener) {
        super(context);
        this.timers = timers;
        this.log = log;
        this.settings = settings;
        this.image = image;
        this.completionListener = completionListener;
    }

    /**
     * Returns the actor's behavior.
     *
     * @param executor encodes the chunks, which takes long for a large table
     * @param completionListener called with true if all chunks were written, otherwise with false
     */
    static Behavior<Command> create(
            PlatformLog log,
            ClaimSettings settings,
            TableImage image,
            String writer,
            Executor executor,
            Consumer<Boolean> completionListener) {
        return Behaviors.setup(context -> Behaviors.withTimers(timers -> {
            int chunkBytes = settings.snapshots().chunkBytes();
            CompletableFuture<List<NewRecord>> chunks =
                    CompletableFuture.supplyAsync(() -> SnapshotCodec.encode(image, writer, chunkBytes), executor);
            context.pipeToSelf(chunks, (encoded, failure) -> new Encoded(failure == null ? encoded : List.of()));
            return new SnapshotWriter(context, timers, log, settings, image, completionListener);
        }));
    }

    @Override
    public Receive<Command> createReceive() {
        return newReceiveBuilder().onMessage(Command.class, this::receive).build();
    }

    private Behavior<Command> receive(Command command) {
        return switch (command) {
            case Encoded encoded -> begin(encoded.chunks());
            case Send ignored -> send();
            case Answered answered -> answered.attempt() == attempt ? answered(answered.outcome()) : this;
        };
    }

    private Behavior<Command> begin(List<NewRecord> encoded) {
        chunks = encoded;
        return chunks.isEmpty() ? end(false) : send();
    }

    private Behavior<Command> send() {
        attempt++;
        int current = attempt;
        Answered timeout = new Answered(current, new AppendOutcome.Unknown("no answer in time"));
        timers.startSingleTimer(timeout, settings.tail().answerTimeout());
        getContext()
                .pipeToSelf(
                        log.append(LogClaims.SNAPSHOT_STREAM, List.of(chunks.get(part))),
                        (outcome, failure) -> new Answered(
                                current, failure == null ? outcome : new AppendOutcome.Unknown(failure.toString())));
        return this;
    }

    private Behavior<Command> answered(AppendOutcome outcome) {
        attempt++;
        timers.cancelAll();
        if (!(outcome instanceof AppendOutcome.Appended)) {
            failures++;
            return failures > MAXIMUM_FAILURES
                    ? end(false)
                    : sendAfter(settings.tail().retryInterval());
        }
        failures = 0;
        part++;
        return part == chunks.size()
                ? end(true)
                : sendAfter(settings.snapshots().chunkInterval());
    }

    private Behavior<Command> sendAfter(Duration pause) {
        timers.startSingleTimer(new Send(), pause);
        return this;
    }

    private Behavior<Command> end(boolean complete) {
        logger.atInfo().log(
                "%s",
                EventLine.of(complete ? "claim-snapshot-written" : "claim-snapshot-given-up")
                        .with("covers", image.nextOffset())
                        .with("claims", image.claims().size())
                        .with("parts", chunks.size()));
        completionListener.accept(complete);
        return Behaviors.stopped();
    }

    /** Messages of the writer. */
    sealed interface Command {}

    /** The chunks are encoded; empty if encoding failed. */
    record Encoded(List<NewRecord> chunks) implements Command {}

    /** Appends the next chunk. */
    record Send() implements Command {}

    /**
     * An append was answered or has timed out.
     *
     * @param attempt number of the append, so that late answers are ignored
     */
    record Answered(int attempt, AppendOutcome outcome) implements Command {}
}
