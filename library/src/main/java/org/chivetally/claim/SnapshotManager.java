package org.chivetally.claim;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.DispatcherSelector;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.chivetally.log.PlatformLog;

/**
 * Loads the newest snapshot on request, and writes a snapshot when one is due, on behalf of the {@link ClaimsActor}.
 */
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

    /** Creates the manager of a process; chunks are encoded and decoded on the blocking dispatcher. */
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

    /** Searches for the newest snapshot; the actor receives {@link ClaimsCommand.SnapshotLoaded}. */
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

    /** Returns whether a search is in progress. */
    boolean isLoading() {
        return loading;
    }

    /** Returns whether the search has timed out. */
    boolean isLoadOverdue(long nanos) {
        return loading && nanos - loadSentNanos > LOAD_TIMEOUT.toNanos();
    }

    /** Ends a search; returns false for the result of an earlier search, which is ignored. */
    boolean endLoading(long number) {
        if (!loading || number != loadNumber) {
            return false;
        }
        cancelLoading();
        return true;
    }

    /** Cancels the search; its result will be ignored. */
    void cancelLoading() {
        loading = false;
    }

    /** Records that a complete snapshot covers the claims stream up to an offset. */
    void recordSnapshot(long offset, long streamMillis) {
        schedule.recordSnapshot(offset, streamMillis);
    }

    /**
     * Reads the end of the snapshot stream if a snapshot is due; the actor receives
     * {@link ClaimsCommand.SnapshotTailRead}.
     */
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

    /**
     * Writes a snapshot unless another process is writing one; the actor receives {@link ClaimsCommand.SnapshotDone}.
     */
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
                complete -> context.getSelf()
                        .tell(new ClaimsCommand.SnapshotDone(image.nextOffset(), image.streamMillis(), complete)));
        context.spawnAnonymous(behavior);
    }

    /** Handles the end of the snapshot writer. */
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
