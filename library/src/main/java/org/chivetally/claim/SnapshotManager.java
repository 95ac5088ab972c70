package org.chivetally.claim;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.DispatcherSelector;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.chivetally.log.PlatformLog;

/** What an actor of claims does about snapshots: reads the newest one when it has to, and writes one when it is due. */
final class SnapshotManager {
    private static final Duration LOAD_TIMEOUT = Duration.ofSeconds(60);
    private static final int CHECKS_PER_INTERVAL = 8;

    private final ActorContext<ClaimsCommand> context;
    private final PlatformLog log;
    private final ClaimSettings settings;
    private final String writer;
    private final Executor executor;
    private final SnapshotReader reader;
    private final SnapshotSchedule schedule;
    private boolean loading;
    private long loadNumber;
    private long loadSentNanos;
    private boolean inProgress;
    private long nextCheckNanos;

    /** Creates the duty of a process; chunks are made and read on the blocking dispatcher. */
    SnapshotManager(
            ActorContext<ClaimsCommand> context,
            PlatformLog log,
            ClaimSettings settings,
            Coordinator self,
            long nanos) {
        this.context = context;
        this.log = log;
        this.settings = settings;
        this.writer = RecordId.writerOf(self);
        this.executor = context.getSystem().dispatchers().lookup(DispatcherSelector.blocking());
        this.reader = new SnapshotReader(log, executor);
        this.schedule = new SnapshotSchedule(settings.snapshots(), self.processId());
        this.nextCheckNanos = nanos;
    }

    /** Looks for the newest snapshot; the actor gets {@link ClaimsCommand.SnapshotLoaded}. */
    void load(long nanos) {
        loading = true;
        loadNumber++;
        loadSentNanos = nanos;
        long number = loadNumber;
        CompletionStage<SnapshotLoadResult> load = reader.load();
        context.pipeToSelf(
                load,
                (found, failure) -> new ClaimsCommand.SnapshotLoaded(
                        number, failure == null ? found : new SnapshotLoadResult.Unavailable(failure.toString())));
    }

    /** Tells whether a snapshot is looked for. */
    boolean isLoading() {
        return loading;
    }

    /** Tells whether the search takes longer than it may. */
    boolean isLoadOverdue(long nanos) {
        return loading && nanos - loadSentNanos > LOAD_TIMEOUT.toNanos();
    }

    /** Ends a search; the answer to an earlier one is passed over. */
    boolean endLoading(long number) {
        if (!loading || number != loadNumber) {
            return false;
        }
        cancelLoading();
        return true;
    }

    /** Stops waiting for a search. */
    void cancelLoading() {
        loading = false;
    }

    /** Learns of a whole snapshot. */
    void recordSnapshot(long offset, long streamMillis) {
        schedule.recordSnapshot(offset, streamMillis);
    }

    /** Looks at the snapshot stream when one is due; the actor gets {@link ClaimsCommand.SnapshotTailRead}. */
    void tick(ClaimStateMachine stateMachine, long nanos) {
        if (inProgress || loading || !stateMachine.caughtUp() || nanos - nextCheckNanos < 0) {
            return;
        }
        if (!schedule.isDue(stateMachine.nextOffset(), stateMachine.streamMillis())) {
            return;
        }
        inProgress = true;
        context.pipeToSelf(
                reader.tail(),
                (tail, failure) -> new ClaimsCommand.SnapshotTailRead(failure == null ? tail : Optional.empty()));
    }

    /** Writes a snapshot unless another process does; the actor gets {@link ClaimsCommand.SnapshotDone}. */
    void write(Optional<SnapshotTail> tail, ClaimStateMachine stateMachine, long nanos) {
        boolean write = tail.isPresent()
                && schedule.shouldWrite(tail.get(), stateMachine.nextOffset(), stateMachine.streamMillis());
        if (!write) {
            pause(nanos);
            return;
        }
        TableImage image = stateMachine.image();
        Behavior<SnapshotWriter.Command> behavior = SnapshotWriter.create(
                log,
                settings,
                image,
                writer,
                executor,
                whole -> context.getSelf()
                        .tell(new ClaimsCommand.SnapshotDone(image.nextOffset(), image.streamMillis(), whole)));
        context.spawnAnonymous(behavior);
    }

    /** Learns that the writer ended. */
    void snapshotDone(ClaimsCommand.SnapshotDone done, long nanos) {
        if (done.complete()) {
            schedule.recordSnapshot(done.covers(), done.streamMillis());
        }
        pause(nanos);
    }

    private void pause(long nanos) {
        inProgress = false;
        Duration pause = settings.snapshots().interval().dividedBy(CHECKS_PER_INTERVAL);
        nextCheckNanos = nanos + pause.toNanos();
    }
}
