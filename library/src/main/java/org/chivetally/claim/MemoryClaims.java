package org.chivetally.claim;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongConsumer;
import org.chivetally.job.JobId;
import org.chivetally.time.NanoClock;

/**
 * Claims in the memory of one process. Attaching and key reuse follow the same rules as in the log, but claims are not
 * visible to other processes.
 *
 * <p>Used in tests, and for services that accept claims in memory while the log is unavailable. Thread-safe.
 */
public final class MemoryClaims implements Claims {
    private static final long UNBOUNDED_LEASE_NANOS = Long.MAX_VALUE / 2;

    private final Coordinator self;
    private final long windowNanos;
    private final NanoClock clock;
    private final Map<SubmissionKey, StoredClaim> byKey = new LinkedHashMap<>();
    private final Map<JobId, SubmissionKey> keysByJob = new HashMap<>();
    private boolean departed;

    /**
     * Creates an empty set of claims.
     *
     * @param self the coordinator of all claims
     * @param window how long a key stays claimed, by the monotonic clock
     */
    public MemoryClaims(Coordinator self, Duration window, NanoClock clock) {
        this.self = Objects.requireNonNull(self, "self");
        this.windowNanos = window.toNanos();
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    @Override
    public CompletionStage<ClaimDecision> claim(SubmissionKey key, String bodyDigest, JobId job) {
        return CompletableFuture.completedFuture(decide(key, bodyDigest, job));
    }

    @Override
    public synchronized CompletionStage<ClaimDecision> takeOver(Claim current) {
        StoredClaim stored = inForce(current.key());
        if (stored == null || !stored.claim().equals(current)) {
            ClaimDecision decision = stored == null
                    ? new ClaimDecision.LogUnavailable("the claim is no longer in force")
                    : new ClaimDecision.Attached(stored.claim());
            return CompletableFuture.completedFuture(decision);
        }
        Claim successor =
                new Claim(current.key(), current.bodyDigest(), current.job(), self, current.generation() + 1, false);
        byKey.put(current.key(), new StoredClaim(successor, stored.endNanos()));
        return CompletableFuture.completedFuture(new ClaimDecision.Won(successor));
    }

    @Override
    public synchronized CompletionStage<Optional<Claim>> find(JobId job) {
        return CompletableFuture.completedFuture(lookUp(job));
    }

    @Override
    public synchronized CompletionStage<Optional<Claim>> find(SubmissionKey key) {
        return CompletableFuture.completedFuture(lookUp(key));
    }

    @Override
    public synchronized void markFinished(Claim claim) {
        StoredClaim stored = inForce(claim.key());
        if (stored == null || !stored.claim().job().equals(claim.job())) {
            return;
        }
        Claim current = stored.claim();
        Claim marked = new Claim(
                current.key(), current.bodyDigest(), current.job(), current.coordinator(), current.generation(), true);
        byKey.put(claim.key(), new StoredClaim(marked, stored.endNanos()));
    }

    @Override
    public synchronized void release(Claim claim) {
        remove(claim.job());
    }

    @Override
    public synchronized boolean holdsLease() {
        return !departed;
    }

    @Override
    public void onLeaseExtended(LongConsumer listener) {
        listener.accept(clock.nanos() + UNBOUNDED_LEASE_NANOS);
    }

    @Override
    public boolean hasLapsed(Coordinator coordinator) {
        return coordinator.equals(Coordinator.NONE);
    }

    @Override
    public boolean caughtUp() {
        return true;
    }

    @Override
    public OptionalLong readToEndAt() {
        return OptionalLong.of(clock.nanos());
    }

    @Override
    public synchronized CompletionStage<Void> depart() {
        departed = true;
        return CompletableFuture.completedFuture(null);
    }

    /** Decides a claim. */
    synchronized ClaimDecision decide(SubmissionKey key, String bodyDigest, JobId job) {
        if (departed) {
            return new ClaimDecision.LogUnavailable("this process departs");
        }
        removeEnded();
        StoredClaim stored = inForce(key);
        if (stored == null) {
            Claim claim = new Claim(key, bodyDigest, job, self, Claim.FIRST_GENERATION, false);
            byKey.put(key, new StoredClaim(claim, clock.nanos() + windowNanos));
            keysByJob.put(job, key);
            return new ClaimDecision.Won(claim);
        }
        return stored.claim().bodyDigest().equals(bodyDigest)
                ? new ClaimDecision.Attached(stored.claim())
                : new ClaimDecision.KeyReused(stored.claim());
    }

    /** Returns the claim in force for a key. */
    synchronized Optional<Claim> lookUp(SubmissionKey key) {
        return Optional.ofNullable(inForce(key)).map(StoredClaim::claim);
    }

    /** Returns the claim in force for a job. */
    synchronized Optional<Claim> lookUp(JobId job) {
        return Optional.ofNullable(keysByJob.get(job)).flatMap(this::lookUp);
    }

    /** Removes a job's claim, because it was released or is now recorded in the log. */
    synchronized void remove(JobId job) {
        SubmissionKey key = keysByJob.remove(job);
        if (key != null) {
            byKey.remove(key);
        }
    }

    private StoredClaim inForce(SubmissionKey key) {
        StoredClaim stored = byKey.get(key);
        return stored != null && stored.endNanos() - clock.nanos() > 0 ? stored : null;
    }

    private void removeEnded() {
        Iterator<StoredClaim> oldest = byKey.values().iterator();
        while (oldest.hasNext()) {
            StoredClaim stored = oldest.next();
            if (stored.endNanos() - clock.nanos() > 0) {
                return;
            }
            oldest.remove();
            keysByJob.remove(stored.claim().job());
        }
    }

    /**
     * A claim and the end of its window.
     *
     * @param endNanos monotonic clock reading at which the window ends, in nanoseconds
     */
    private record StoredClaim(Claim claim, long endNanos) {}
}
