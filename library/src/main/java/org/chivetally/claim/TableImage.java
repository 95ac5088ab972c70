package org.chivetally.claim;

import java.util.List;
import java.util.Objects;

/**
 * The content of a {@link ClaimTable} at one offset.
 *
 * @param nextOffset offset of the first record that is not included
 * @param streamMillis the stream time at that offset, in milliseconds
 * @param writers the last known state of each writer, sorted by name
 * @param claims the claims in force, oldest first
 */
record TableImage(long nextOffset, long streamMillis, List<Writer> writers, List<CompactClaim> claims) {
    TableImage {
        writers = List.copyOf(writers);
        claims = List.copyOf(claims);
    }

    /**
     * The last known state of one writer.
     *
     * @param name writer name, see {@link RecordId#writerOf}
     * @param sequence sequence number of its last record
     * @param lastMillis stream time when that record was applied, in milliseconds
     * @param lastRenewal offset of its last renewal, {@link ClaimRecord.TakenOver#NO_RENEWAL} if there is none
     */
    record Writer(String name, long sequence, long lastMillis, long lastRenewal) {
        Writer {
            Objects.requireNonNull(name, "name");
        }
    }
}
