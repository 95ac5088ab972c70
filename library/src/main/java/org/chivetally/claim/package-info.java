/**
 * Claims of idempotency keys: which submission of a key is accepted, and which process coordinates its job, as decided
 * by the order of records in the platform log.
 *
 * <p>{@link org.chivetally.claim.LogClaims} is the entry point. Its actor passes events to a
 * {@link org.chivetally.claim.ClaimStateMachine}, which uses no threads, no timers and no log of its own: it folds the
 * stream into a {@link org.chivetally.claim.ClaimTable}, tracks leases in a {@link org.chivetally.claim.LeaseTable} and
 * an {@link org.chivetally.claim.OwnLease}, and batches records in a {@link org.chivetally.claim.GroupCommit}.
 *
 * <p>Three rules make the fold return the same result for all readers. A record id consists of its writer and the
 * writer's sequence number; a record whose sequence number is not higher than the writer's last one is dropped, so that
 * late duplicates have no effect, and neither has an abandoned record once a newer one of its writer has been read
 * ({@link org.chivetally.claim.RecordId}). Deduplication windows end by the stream time that records carry
 * ({@link org.chivetally.claim.StreamTime}). A claim that its process abandoned is released
 * ({@link org.chivetally.claim.ClaimRecord.Released}).
 */
package org.chivetally.claim;
