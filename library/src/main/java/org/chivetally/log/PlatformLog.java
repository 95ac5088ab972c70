package org.chivetally.log;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;

/**
 * Append-only streams of records with offsets.
 *
 * <p>Stages never complete exceptionally; every outcome is a value. There is no compare-and-set: an append whose
 * response was lost may have taken effect, and a retried append may take effect twice. Readers therefore discard
 * further records with the same id.
 */
public interface PlatformLog {
    /** Appends records atomically and in order at the end of a stream. */
    CompletionStage<AppendOutcome> append(String stream, List<NewRecord> records);

    /**
     * Reads records in the order of their offsets.
     *
     * @param from first offset to read
     * @param limit maximum number of records to return
     * @param wait maximum time to wait if there is no record at the offset yet; zero returns immediately
     */
    CompletionStage<ReadOutcome> read(String stream, long from, int limit, Duration wait);
}
