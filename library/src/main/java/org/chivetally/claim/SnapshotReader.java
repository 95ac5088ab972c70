package org.chivetally.claim;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import org.chivetally.log.PlatformLog;
import org.chivetally.log.ReadOutcome;
import org.chivetally.logging.EventLine;

/** Reads the snapshot stream backwards from its end until it finds a complete snapshot. */
final class SnapshotReader {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int RECORDS_PER_READ = 16;
    private static final long INITIAL_RECORD_COUNT = 32;
    private static final int GROWTH_FACTOR = 4;

    private final PlatformLog log;
    private final Executor executor;

    /** Creates a reader; chunks are assembled on the executor. */
    SnapshotReader(PlatformLog log, Executor executor) {
        this.log = log;
        this.executor = executor;
    }

    /** Returns the newest complete, valid snapshot. */
    CompletionStage<SnapshotLoadResult> load() {
        return bounds().thenCompose(bounds -> switch (bounds) {
            case Bounds.Known known -> load(known, INITIAL_RECORD_COUNT);
            case Bounds.Unknown unknown -> completed(new SnapshotLoadResult.Unavailable(unknown.reason()));
        });
    }

    /** Returns the end of the stream; empty if the log is unavailable. */
    CompletionStage<Optional<SnapshotTail>> tail() {
        return bounds().thenCompose(bounds -> switch (bounds) {
            case Bounds.Known known -> tail(known);
            case Bounds.Unknown ignored -> completed(Optional.empty());
        });
    }

    private CompletionStage<Optional<SnapshotTail>> tail(Bounds.Known bounds) {
        if (bounds.end() == bounds.earliest()) {
            return completed(Optional.of(new SnapshotTail(bounds.end(), Optional.empty())));
        }
        return log.read(LogClaims.SNAPSHOT_STREAM, bounds.end() - 1, 1, Duration.ZERO)
                .thenApply(outcome -> switch (outcome) {
                    case ReadOutcome.Records found -> Optional.of(new SnapshotTail(bounds.end(), lastHeader(found)));
                    case ReadOutcome.Expired ignored -> Optional.of(new SnapshotTail(bounds.end(), Optional.empty()));
                    case ReadOutcome.Unavailable ignored -> Optional.empty();
                });
    }

    private static Optional<SnapshotHeader> lastHeader(ReadOutcome.Records found) {
        if (found.records().isEmpty()) {
            return Optional.empty();
        }
        return SnapshotChunk.decode(found.records().getLast().payload()) instanceof DecodedChunk.Valid valid
                ? Optional.of(valid.chunk().header())
                : Optional.empty();
    }

    private CompletionStage<SnapshotLoadResult> load(Bounds.Known bounds, long recordCount) {
        long from = Math.max(bounds.earliest(), bounds.end() - recordCount);
        return collect(from, bounds.end(), new SnapshotAssembler()).thenCompose(load -> {
            boolean readFurther = load instanceof SnapshotLoadResult.None && from > bounds.earliest();
            return readFurther ? load(bounds, recordCount * GROWTH_FACTOR) : completed(load);
        });
    }

    private CompletionStage<SnapshotLoadResult> collect(long from, long end, SnapshotAssembler assembler) {
        if (from >= end) {
            logRefused(assembler);
            return completed(assembler
                    .newest()
                    .<SnapshotLoadResult>map(SnapshotLoadResult.Found::new)
                    .orElseGet(SnapshotLoadResult.None::new));
        }
        return log.read(LogClaims.SNAPSHOT_STREAM, from, RECORDS_PER_READ, Duration.ZERO)
                .thenComposeAsync(
                        outcome -> switch (outcome) {
                            case ReadOutcome.Records found -> {
                                found.records().forEach(assembler::add);
                                long next = found.records().isEmpty()
                                        ? end
                                        : from + found.records().size();
                                yield collect(next, end, assembler);
                            }
                            case ReadOutcome.Expired expired -> collect(expired.earliestOffset(), end, assembler);
                            case ReadOutcome.Unavailable unavailable ->
                                completed(new SnapshotLoadResult.Unavailable(unavailable.reason()));
                        },
                        executor);
    }

    private static void logRefused(SnapshotAssembler assembler) {
        if (!assembler.unsupportedFormats().isEmpty()) {
            logger.atWarning().log(
                    "%s",
                    EventLine.of("claim-snapshot-refused")
                            .with("formats", assembler.unsupportedFormats())
                            .with("readable", SnapshotChunk.FORMAT));
        }
    }

    private CompletionStage<Bounds> bounds() {
        return bounds(0);
    }

    private CompletionStage<Bounds> bounds(long from) {
        return log.read(LogClaims.SNAPSHOT_STREAM, from, 1, Duration.ZERO).thenCompose(outcome -> switch (outcome) {
            case ReadOutcome.Records found -> completed(new Bounds.Known(from, found.endOffset()));
            case ReadOutcome.Expired expired -> bounds(expired.earliestOffset());
            case ReadOutcome.Unavailable unavailable -> completed(new Bounds.Unknown(unavailable.reason()));
        });
    }

    private static <T> CompletionStage<T> completed(T value) {
        return CompletableFuture.completedFuture(value);
    }

    /** The retained range of the stream. */
    private sealed interface Bounds {
        /** The earliest retained offset, and the offset of the next record that will be written. */
        record Known(long earliest, long end) implements Bounds {}

        /** The log is unavailable. */
        record Unknown(String reason) implements Bounds {}
    }
}
