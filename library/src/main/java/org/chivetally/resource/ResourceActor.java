package org.chivetally.resource;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.PostStop;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;
import org.chivetally.errors.ErrorCode;
import org.chivetally.log.AppendOutcome;
import org.chivetally.log.LogRecord;
import org.chivetally.log.NewRecord;
import org.chivetally.log.PlatformLog;
import org.chivetally.log.ReadOutcome;
import org.chivetally.logging.EventLine;
import org.chivetally.time.NanoClock;

/**
 * Tails the log's two streams into a table, and carries out writes, watches and snapshots.
 *
 * <p>On start, and whenever its next record has expired, it reads the snapshots first and then the writes after the
 * newest one. The table only ever goes forward: a snapshot counts only when its version is greater.
 */
final class ResourceActor extends AbstractBehavior<ResourceCommand> {
    /** Stream of the log that holds snapshots. */
    static final String SNAPSHOTS = "configuration-snapshots";

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int READ_LIMIT = 200;
    private static final int SNAPSHOT_READ_LIMIT = 4;
    private static final Duration PAUSE_AT_END = Duration.ofMillis(5);
    private static final Duration WRITE_TICK = Duration.ofMillis(50);
    private static final int SNAPSHOT_TICKS = 4;

    private final TimerScheduler<ResourceCommand> timers;
    private final PlatformLog log;
    private final ResourceSettings settings;
    private final NanoClock clock;
    private final Consumer<ResourceView> publish;
    private final List<Consumer<ResourceTable>> listeners = new ArrayList<>();
    private final WatchHub watches;
    private final WriteTracker writes;
    private final SnapshotSchedule schedule;
    private final Map<String, List<CompletableFuture<WriteOutcome>>> callers = new HashMap<>();
    private ResourceView view;
    private long snapshotOffset;
    private boolean readingSnapshots;
    private boolean loading = true;
    private boolean endReached;
    private long earliestWrite;
    private long gapSince;
    private boolean inGap;

    private ResourceActor(
            ActorContext<ResourceCommand> context,
            TimerScheduler<ResourceCommand> timers,
            PlatformLog log,
            ResourceSettings settings,
            NanoClock clock,
            Consumer<ResourceView> publish) {
        super(context);
        this.timers = timers;
        this.log = log;
        this.settings = settings;
        this.clock = clock;
        this.publish = publish;
        this.watches = new WatchHub(settings.maximumWatches());
        this.writes = new WriteTracker(settings.writeTimeout(), settings.sendAgainAfter());
        this.schedule = new SnapshotSchedule(settings.snapshotEvery(), settings.snapshotRecords());
        this.view = new ResourceView(ResourceTable.empty(), DeclaredPolicies.none(), clock.nanos(), false);
    }

    static Behavior<ResourceCommand> create(
            PlatformLog log, ResourceSettings settings, NanoClock clock, Consumer<ResourceView> publish) {
        return Behaviors.setup(context -> Behaviors.withTimers(timers -> {
            ResourceActor actor = new ResourceActor(context, timers, log, settings, clock, publish);
            actor.start();
            return actor;
        }));
    }

    private void start() {
        publish.accept(view);
        timers.startTimerWithFixedDelay(new ResourceCommand.BookmarkTick(), settings.bookmarkEvery());
        Duration snapshotTick = settings.snapshotEvery().dividedBy(SNAPSHOT_TICKS);
        timers.startTimerWithFixedDelay(new ResourceCommand.SnapshotTick(), spread(snapshotTick), snapshotTick);
        readSnapshots();
    }

    // Processes that start together would otherwise all look for an old snapshot at the same moment and all replace it.
    private Duration spread(Duration whole) {
        int part = Math.floorMod(settings.processId().hashCode(), 100);
        return whole.dividedBy(2).plus(whole.multipliedBy(part).dividedBy(200));
    }

    @Override
    public Receive<ResourceCommand> createReceive() {
        return newReceiveBuilder()
                .onMessage(ResourceCommand.Stop.class, ignored -> Behaviors.stopped())
                .onMessage(ResourceCommand.class, this::onCommand)
                .onSignal(PostStop.class, ignored -> onStop())
                .build();
    }

    private Behavior<ResourceCommand> onCommand(ResourceCommand command) {
        switch (command) {
            case ResourceCommand.ReadWrites ignored -> readWrites();
            case ResourceCommand.ReadSnapshots ignored -> readSnapshots();
            case ResourceCommand.WritesRead read -> onWritesRead(read.outcome());
            case ResourceCommand.SnapshotsRead read -> onSnapshotsRead(read.outcome());
            case ResourceCommand.Submit submit -> onSubmit(submit);
            case ResourceCommand.AppendAnswered answered -> onAppendAnswered(answered);
            case ResourceCommand.StatusOf question -> onStatusOf(question);
            case ResourceCommand.SnapshotAppended appended -> logSnapshot(appended.outcome());
            case ResourceCommand.Begin begin -> watches.add(begin.watch(), view.table());
            case ResourceCommand.Offer offer -> onOffer(offer);
            case ResourceCommand.Listen listen -> onListen(listen.listener());
            case ResourceCommand.WriteTick ignored -> advanceWrites();
            case ResourceCommand.BookmarkTick ignored -> watches.bookmark(view.table());
            case ResourceCommand.SnapshotTick ignored -> onSnapshotTick();
            case ResourceCommand.Stop ignored -> {}
        }
        return this;
    }

    private Behavior<ResourceCommand> onStop() {
        watches.endAll(ErrorCode.NOT_READY, "the process is stopping; watch again at another one");
        callers.forEach((id, waiting) -> answerAll(waiting, new WriteOutcome.InDoubt(id, "the process is stopping")));
        callers.clear();
        return this;
    }

    private void readWrites() {
        CompletionStage<ReadOutcome> read =
                log.read(WriteRecord.STREAM, view.table().version(), READ_LIMIT, settings.readWait());
        getContext()
                .pipeToSelf(read, (outcome, failure) -> new ResourceCommand.WritesRead(orFailure(outcome, failure)));
    }

    private void readSnapshots() {
        readingSnapshots = true;
        CompletionStage<ReadOutcome> read = log.read(SNAPSHOTS, snapshotOffset, SNAPSHOT_READ_LIMIT, Duration.ZERO);
        getContext()
                .pipeToSelf(read, (outcome, failure) -> new ResourceCommand.SnapshotsRead(orFailure(outcome, failure)));
    }

    private static ReadOutcome orFailure(ReadOutcome outcome, Throwable failure) {
        return failure == null ? outcome : new ReadOutcome.Unavailable(failure.toString());
    }

    private void onWritesRead(ReadOutcome outcome) {
        switch (outcome) {
            case ReadOutcome.Records records -> onWrites(records);
            case ReadOutcome.Expired expired -> onWritesExpired(expired.earliestOffset());
            case ReadOutcome.Unavailable unavailable -> {
                logUnavailable(WriteRecord.STREAM, unavailable.reason());
                later(settings.retryDelay(), new ResourceCommand.ReadWrites());
            }
        }
    }

    private void onWrites(ReadOutcome.Records records) {
        ResourceTable before = view.table();
        if (isOutOfPlace(records, before)) {
            logOutOfPlace(records.endOffset());
            later(settings.retryDelay(), new ResourceCommand.ReadWrites());
            return;
        }
        ResourceTable after = before.fold(records.records());
        inGap = false;
        if (after.version() >= records.endOffset()) {
            endReached = true;
            replace(after, clock.nanos(), true);
        } else {
            replace(after, view.endReadNanos(), view.usable());
        }
        if (after.unreadableFormat().isPresent()) {
            logUnreadable(after);
            later(settings.retryDelay(), new ResourceCommand.ReadWrites());
        } else if (after.version() > before.version()) {
            readWrites();
        } else {
            later(PAUSE_AT_END, new ResourceCommand.ReadWrites());
        }
    }

    // A log that ends before what was read, or answers with other records than asked for, has lost or mixed up its
    // stream.
    // Folding them would give a state that no other process has, so the state at hand is served until the log is right.
    private static boolean isOutOfPlace(ReadOutcome.Records records, ResourceTable table) {
        if (records.endOffset() < table.version()) {
            return true;
        }
        return !records.records().isEmpty() && records.records().getFirst().offset() > table.version();
    }

    private void onWritesExpired(long earliest) {
        if (earliest <= view.table().version()) {
            later(settings.retryDelay(), new ResourceCommand.ReadWrites());
            return;
        }
        earliestWrite = earliest;
        if (!inGap) {
            inGap = true;
            gapSince = clock.nanos();
        }
        loading = true;
        if (!readingSnapshots) {
            readSnapshots();
        }
    }

    private void onSnapshotsRead(ReadOutcome outcome) {
        switch (outcome) {
            case ReadOutcome.Records records -> onSnapshots(records);
            case ReadOutcome.Expired expired -> {
                snapshotOffset = Math.max(snapshotOffset, expired.earliestOffset());
                later(PAUSE_AT_END, new ResourceCommand.ReadSnapshots());
            }
            case ReadOutcome.Unavailable unavailable -> {
                logUnavailable(SNAPSHOTS, unavailable.reason());
                later(settings.retryDelay(), new ResourceCommand.ReadSnapshots());
            }
        }
    }

    private void onSnapshots(ReadOutcome.Records records) {
        for (LogRecord record : records.records()) {
            takeSnapshot(record);
            snapshotOffset = record.offset() + 1;
        }
        if (!records.records().isEmpty() && snapshotOffset < records.endOffset()) {
            readSnapshots();
            return;
        }
        readingSnapshots = false;
        if (loading) {
            onLoaded();
        } else {
            writeSnapshotIfDue();
        }
    }

    private void takeSnapshot(LogRecord record) {
        switch (SnapshotCodec.decode(record.payload())) {
            case SnapshotCodec.Decoded.Refused refused ->
                LOGGER.atWarning().log(
                        "%s",
                        EventLine.of("snapshot-refused")
                                .with("offset", record.offset())
                                .with("reason", refused.reason()));
            case SnapshotCodec.Decoded.Whole whole -> {
                if (whole.excerpt()) {
                    return;
                }
                Duration age = Duration.ofMillis(System.currentTimeMillis() - whole.writtenAtMillis());
                schedule.seen(whole.table().version(), age, clock.nanos());
                adopt(whole.table(), "log");
            }
        }
    }

    private boolean adopt(ResourceTable table, String source) {
        ResourceTable newer = view.table().newerOf(table);
        if (newer == view.table()) {
            return false;
        }
        LOGGER.atInfo().log(
                "%s",
                EventLine.of("snapshot-adopted")
                        .with("version", table.version())
                        .with("source", source));
        replace(newer, view.endReadNanos(), true);
        return true;
    }

    private void onLoaded() {
        if (!inGap || view.table().version() >= earliestWrite) {
            loading = false;
            readWrites();
            return;
        }
        Duration grace = view.table().version() == 0 ? settings.gapGrace().multipliedBy(2) : settings.gapGrace();
        if (clock.nanos() - gapSince < grace.toNanos()) {
            later(settings.retryDelay(), new ResourceCommand.ReadSnapshots());
            return;
        }
        bridgeGap();
    }

    // All records between this table and the log's earliest have expired and no snapshot covers them, so nobody can
    // know
    // them any more. Folding on regardless would give each process another state, according to where it stood. The
    // first
    // one to give up looking therefore writes its state as a snapshot at the earliest record, and all, itself included,
    // take the first such snapshot that the log has.
    private void bridgeGap() {
        LOGGER.atSevere().log(
                "%s",
                EventLine.of("configuration-records-lost")
                        .with("from", view.table().version())
                        .with("to", earliestWrite));
        gapSince = clock.nanos();
        ResourceTable bridged = ResourceTable.of(view.table().state().at(earliestWrite));
        appendSnapshot(bridged);
        later(settings.retryDelay(), new ResourceCommand.ReadSnapshots());
    }

    private void onSnapshotTick() {
        if (!readingSnapshots && !loading && endReached) {
            readSnapshots();
        }
    }

    private void writeSnapshotIfDue() {
        boolean fresh = clock.nanos() - view.endReadNanos()
                <= settings.readWait().multipliedBy(2).toNanos();
        if (fresh && schedule.isDue(view.table().version(), clock.nanos())) {
            appendSnapshot(view.table());
        }
    }

    private void appendSnapshot(ResourceTable table) {
        byte[] snapshot = SnapshotCodec.encode(table, System.currentTimeMillis());
        NewRecord record = new NewRecord(UUID.randomUUID().toString(), snapshot);
        getContext()
                .pipeToSelf(
                        log.append(SNAPSHOTS, List.of(record)),
                        (outcome, failure) -> new ResourceCommand.SnapshotAppended(orUnknown(outcome, failure)));
    }

    private static AppendOutcome orUnknown(AppendOutcome outcome, Throwable failure) {
        return failure == null ? outcome : new AppendOutcome.Unknown(failure.toString());
    }

    private void onSubmit(ResourceCommand.Submit submit) {
        String id = submit.record().id();
        boolean isNew = !writes.isOpen(id) && view.table().outcome(id).isEmpty();
        if (isNew && writes.count() >= settings.maximumWrites()) {
            submit.answer()
                    .complete(new WriteOutcome.NotWritten(id, ErrorCode.OVERLOADED, "too many writes are open here"));
            return;
        }
        callers.computeIfAbsent(id, ignored -> new ArrayList<>()).add(submit.answer());
        if (isNew) {
            carryOut(writes.submit(submit.record(), clock.nanos()));
            startWriteTicks();
        } else {
            view.table().outcome(id).ifPresent(outcome -> answer(outcome.outcomeOf(id)));
        }
    }

    // Starting a timer that runs would set it back, and with many writes in a row no tick would ever come.
    private void startWriteTicks() {
        if (!timers.isTimerActive(new ResourceCommand.WriteTick())) {
            timers.startTimerWithFixedDelay(new ResourceCommand.WriteTick(), WRITE_TICK);
        }
    }

    private void onAppendAnswered(ResourceCommand.AppendAnswered answered) {
        writes.appendAnswered(answered.id(), answered.outcome(), clock.nanos());
        advanceWrites();
    }

    private void advanceWrites() {
        carryOut(writes.advance(view.table(), view.endReadNanos(), clock.nanos()));
        if (writes.count() == 0) {
            timers.cancel(new ResourceCommand.WriteTick());
        }
    }

    private void carryOut(List<WriteTracker.Effect> effects) {
        for (WriteTracker.Effect effect : effects) {
            switch (effect) {
                case WriteTracker.Effect.Send send -> append(send.record());
                case WriteTracker.Effect.Answer answer -> answer(answer.outcome());
            }
        }
    }

    private void append(WriteRecord record) {
        getContext()
                .pipeToSelf(
                        log.append(WriteRecord.STREAM, List.of(WriteRecordCodec.encode(record))),
                        (outcome, failure) ->
                                new ResourceCommand.AppendAnswered(record.id(), orUnknown(outcome, failure)));
    }

    private void answer(WriteOutcome outcome) {
        List<CompletableFuture<WriteOutcome>> waiting = callers.remove(outcome.id());
        if (waiting != null) {
            answerAll(waiting, outcome);
        }
    }

    private static void answerAll(List<CompletableFuture<WriteOutcome>> waiting, WriteOutcome outcome) {
        waiting.forEach(caller -> caller.complete(outcome));
    }

    private void onStatusOf(ResourceCommand.StatusOf question) {
        Duration age = Duration.ofNanos(clock.nanos() - view.endReadNanos());
        WriteStatus unseen = writes.isOpen(question.id())
                ? new WriteStatus.Open()
                : new WriteStatus.NotSeen(view.table().version(), age);
        question.answer()
                .complete(view.table()
                        .outcome(question.id())
                        .<WriteStatus>map(WriteStatus.Decided::new)
                        .orElse(unseen));
    }

    private void onOffer(ResourceCommand.Offer offer) {
        boolean taken = SnapshotCodec.decode(offer.snapshot()) instanceof SnapshotCodec.Decoded.Whole whole
                && !whole.excerpt()
                && whole.table().version() == offer.version()
                && adopt(whole.table(), "peer");
        offer.answer().complete(taken);
    }

    private void onListen(Consumer<ResourceTable> listener) {
        listeners.add(listener);
        tell(listener, view.table());
    }

    private void replace(ResourceTable table, long endReadNanos, boolean usable) {
        ResourceTable before = view.table();
        boolean changed = table != before;
        DeclaredPolicies policies = changed ? view.policies().next(table.all()) : view.policies();
        view = new ResourceView(table, policies, endReadNanos, usable);
        publish.accept(view);
        if (changed) {
            LOGGER.atInfo().log(
                    "%s",
                    EventLine.of("configuration-in-force")
                            .with("version", table.version())
                            .with("before", before.version()));
            watches.changed(table);
            listeners.forEach(listener -> tell(listener, table));
        }
        if (writes.count() > 0) {
            advanceWrites();
        }
    }

    // A listener that fails must not stop the tail, or this process would keep an old configuration for good.
    private static void tell(Consumer<ResourceTable> listener, ResourceTable table) {
        try {
            listener.accept(table);
        } catch (RuntimeException failure) {
            LOGGER.atSevere().withCause(failure).log("%s", EventLine.of("configuration-listener-failed"));
        }
    }

    private void later(Duration delay, ResourceCommand command) {
        timers.startSingleTimer(command, delay);
    }

    private void logUnavailable(String stream, String reason) {
        LOGGER.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
                "%s",
                EventLine.of("log-unavailable")
                        .with("stream", stream)
                        .with("reason", reason)
                        .with("servingVersion", view.table().version()));
    }

    private void logOutOfPlace(long endOffset) {
        LOGGER.atSevere().atMostEvery(10, TimeUnit.SECONDS).log(
                "%s",
                EventLine.of("log-out-of-place")
                        .with("end", endOffset)
                        .with("servingVersion", view.table().version()));
    }

    private static void logUnreadable(ResourceTable table) {
        LOGGER.atSevere().atMostEvery(10, TimeUnit.SECONDS).log(
                "%s",
                EventLine.of("configuration-format-not-understood")
                        .with("format", table.unreadableFormat().getAsInt())
                        .with("servingVersion", table.version()));
    }

    private static void logSnapshot(AppendOutcome outcome) {
        switch (outcome) {
            case AppendOutcome.Appended appended ->
                LOGGER.atInfo().log("%s", EventLine.of("snapshot-written").with("offset", appended.firstOffset()));
            case AppendOutcome.Refused refused ->
                LOGGER.atWarning().log(
                        "%s", EventLine.of("snapshot-not-written").with("reason", refused.reason()));
            case AppendOutcome.Unknown unknown ->
                LOGGER.atWarning().log("%s", EventLine.of("snapshot-in-doubt").with("reason", unknown.reason()));
        }
    }
}
