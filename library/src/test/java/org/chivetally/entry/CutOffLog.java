package org.chivetally.entry;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.chivetally.log.AppendOutcome;
import org.chivetally.log.NewRecord;
import org.chivetally.log.PlatformLog;
import org.chivetally.log.ReadOutcome;

/** One process's way to a log, of which streams can be cut off; what was under way then gets no answer but that. */
final class CutOffLog implements PlatformLog {
    private final PlatformLog log;
    private volatile Set<String> cut = Set.of();

    CutOffLog(PlatformLog log) {
        this.log = log;
    }

    void cut(String... streams) {
        cut = Set.of(streams);
    }

    @Override
    public CompletionStage<AppendOutcome> append(String stream, List<NewRecord> records) {
        return cut.contains(stream)
                ? CompletableFuture.completedStage(new AppendOutcome.Refused("cut off"))
                : log.append(stream, records);
    }

    @Override
    public CompletionStage<ReadOutcome> read(String stream, long from, int limit, Duration wait) {
        return log.read(stream, from, limit, wait)
                .thenApply(outcome -> cut.contains(stream) ? new ReadOutcome.Unavailable("cut off") : outcome);
    }
}
