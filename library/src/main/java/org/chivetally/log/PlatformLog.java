package org.chivetally.log;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;

/**
 * Append-only streams of records with offsets.
 *
 * <p>Stages never complete exceptionally: every outcome is a value. There is no compare-and-set; an append whose answer
 * was lost may have taken effect, and a retried one may take effect twice. Readers therefore drop a second record with
 * the same id.
 */
public interface PlatformLog {
    /** Appends records in order, all or none, after whatever the stream holds. */
    CompletionStage<AppendOutcome> append(String stream, List<NewRecord> records);

    /**
     * Reads records from an offset on, oldest first.
     *
     * @param from first offset wanted
     * @param limit most records returned
     * @param wait longest time to wait for a record when there is none yet; zero answers at once
     */
    CompletionStage<ReadOutcome> read(String stream, long from, int limit, Duration wait);
}
