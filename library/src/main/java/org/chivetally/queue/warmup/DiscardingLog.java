package org.chivetally.queue.warmup;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.chivetally.queue.log.AppendId;
import org.chivetally.queue.log.AppendOutcome;
import org.chivetally.queue.log.KeyedLog;
import org.chivetally.queue.log.KeyedRecord;
import org.chivetally.queue.log.LogStream;
import org.chivetally.queue.log.NewestOutcome;
import org.chivetally.queue.log.OwnershipGroup;
import org.chivetally.queue.log.ReadOutcome;
import org.chivetally.time.Timers;

/** Log that discards all records and assigns every partition to its only member. */
final class DiscardingLog implements KeyedLog, OwnershipGroup {
    private static final Duration RESPONSE_DELAY = Duration.ofMillis(1);

    private final Timers timers;
    private long endOffset;

    DiscardingLog(Timers timers) {
        this.timers = timers;
    }

    @Override
    public void append(
            LogStream stream, Optional<AppendId> id, List<KeyedRecord> records, Consumer<AppendOutcome> callback) {
        endOffset += records.size();
        AppendOutcome appended = new AppendOutcome.Appended(endOffset);
        timers.after(RESPONSE_DELAY, () -> callback.accept(appended));
    }

    @Override
    public void readNewest(LogStream stream, String afterKey, Consumer<NewestOutcome> callback) {
        timers.after(RESPONSE_DELAY, () -> callback.accept(new NewestOutcome.Page(List.of(), false, 0)));
    }

    @Override
    public void read(LogStream stream, long from, Duration maximumWait, Consumer<ReadOutcome> callback) {
        timers.after(maximumWait.plus(RESPONSE_DELAY), () -> callback.accept(new ReadOutcome.Records(from, List.of())));
    }

    @Override
    public void join(String member, long generation, Duration timeToLive, Consumer<JoinOutcome> callback) {
        timers.after(RESPONSE_DELAY, () -> callback.accept(new JoinOutcome.Joined(1, Set.of(0))));
    }

    @Override
    public void leave(String member, Runnable done) {
        timers.after(RESPONSE_DELAY, done);
    }
}
