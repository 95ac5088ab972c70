/**
 * Which submission of a key counts, and which process coordinates its job, as the platform's log decides it.
 *
 * <p>{@link org.chivetally.claim.LogClaims} is the way in. Behind it an actor hands what happens to a
 * {@link org.chivetally.claim.Claimant}, which decides without threads, timers or the log: it folds the stream into a
 * {@link org.chivetally.claim.ClaimTable}, counts leases in a {@link org.chivetally.claim.LeaseTable} and an
 * {@link org.chivetally.claim.OwnLease}, and gathers records in a {@link org.chivetally.claim.GroupCommit}.
 *
 * <p>Three rules make the fold the same for all readers. A record id is its writer and the writer's count; a record
 * whose count is not higher than the writer's last one is dropped, so that late repeats never count and what was given
 * up is void once anything newer of its writer stands ({@link org.chivetally.claim.RecordId}). Windows end by the
 * stream's own time, which records carry ({@link org.chivetally.claim.StreamTime}). A claim that its process gave up is
 * released ({@link org.chivetally.claim.ClaimRecord.Released}).
 */
package org.chivetally.claim;
