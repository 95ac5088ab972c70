package org.chivetally.resource;

import java.time.Duration;

/** What this process knows of a write, asked for by its id. */
public sealed interface WriteStatus {
    /** The log's order decided. */
    record Decided(RecordOutcome outcome) implements WriteStatus {}

    /** This process is still at it. */
    record Open() implements WriteStatus {}

    /**
     * It was not in the log up to a version, or so long ago that it is forgotten.
     *
     * @param version up to which the log was read
     * @param age time since the log's end was last read
     */
    record NotSeen(long version, Duration age) implements WriteStatus {}
}
