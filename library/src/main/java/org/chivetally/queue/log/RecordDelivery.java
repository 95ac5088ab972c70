package org.chivetally.queue.log;

import com.google.common.flogger.FluentLogger;
import java.util.function.Consumer;
import org.chivetally.logging.EventLine;

/**
 * Delivers records to a listener. The listener may fail to process a record of another writer; its exception must not
 * end the reading, as later records would never be delivered.
 */
final class RecordDelivery {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private RecordDelivery() {}

    /** Delivers a record, and logs an exception of the listener. */
    static void deliver(LogStream stream, KeyedRecord record, Consumer<KeyedRecord> listener) {
        try {
            listener.accept(record);
        } catch (RuntimeException e) {
            EventLine.of("record-rejected")
                    .with("stream", stream)
                    .with("key", record.key())
                    .log(LOGGER.atSevere().withCause(e));
        }
    }
}
