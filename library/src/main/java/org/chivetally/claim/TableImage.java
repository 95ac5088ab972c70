package org.chivetally.claim;

import java.util.List;
import java.util.Objects;

/**
 * The content of a {@link ClaimTable} at one offset.
 *
 * @param nextOffset offset of the first record that is not in it
 * @param streamMillis the stream's time at that offset
 * @param writers how far each writer has got, by name
 * @param claims the claims in force, oldest first
 */
record TableImage(long nextOffset, long streamMillis, List<Writer> writers, List<CompactClaim> claims) {
    TableImage {
        writers = List.copyOf(writers);
        claims = List.copyOf(claims);
    }

    /**
     * How far one writer has got.
     *
     * @param sequence count of its newest record
     * @param lastMillis the stream's time when that record was folded
     * @param lastRenewal offset of its newest renewal, {@link ClaimRecord.TakenOver#NO_RENEWAL} when there is none
     */
    record Writer(String name, long sequence, long lastMillis, long lastRenewal) {
        Writer {
            Objects.requireNonNull(name, "name");
        }
    }
}
