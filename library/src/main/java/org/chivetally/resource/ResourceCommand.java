package org.chivetally.resource;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.chivetally.log.AppendOutcome;
import org.chivetally.log.ReadOutcome;

/** Messages of {@link ResourceActor}. */
sealed interface ResourceCommand {
    /** Begin or go on reading writes. */
    record ReadWrites() implements ResourceCommand {}

    /** Begin or go on reading snapshots. */
    record ReadSnapshots() implements ResourceCommand {}

    record WritesRead(ReadOutcome outcome) implements ResourceCommand {}

    record SnapshotsRead(ReadOutcome outcome) implements ResourceCommand {}

    record Submit(WriteRecord record, CompletableFuture<WriteOutcome> answer) implements ResourceCommand {}

    record AppendAnswered(String id, AppendOutcome outcome) implements ResourceCommand {}

    record StatusOf(String id, CompletableFuture<WriteStatus> answer) implements ResourceCommand {}

    record SnapshotAppended(AppendOutcome outcome) implements ResourceCommand {}

    record Begin(WatchHub.Watch watch) implements ResourceCommand {}

    record Offer(long version, byte[] snapshot, CompletableFuture<Boolean> answer) implements ResourceCommand {}

    record Listen(Consumer<ResourceTable> listener) implements ResourceCommand {}

    record WriteTick() implements ResourceCommand {}

    record BookmarkTick() implements ResourceCommand {}

    record SnapshotTick() implements ResourceCommand {}

    record Stop() implements ResourceCommand {}
}
