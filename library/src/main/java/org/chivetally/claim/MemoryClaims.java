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
 * Claims in the memory of one process: the same rules of repeats and reuse, but no other process knows of them.
 *
 * <p>For tests, and for services that go on in memory while the log is down. Safe from any thread.
 */
public final class MemoryClaims implements Claims {
    private static final long UNBOUNDED_LEASE_NANOS = Long.MAX_VALUE / 2;

    private final Coordinator self;
    private final long windowNanos;
    private final NanoClock clock;
    private final Map<SubmissionKey, StoredClaim> byKey = new LinkedHashMap<>();
    private final Map<JobId, SubmissionKey> keysByJob = new HashMap<>();
    private boolean departed;

    /** Creates an empty set of claims of one process; a key stays taken for the window. */
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
        StoredClaim held = inForce(current.key());
        if (held == null || !held.claim().equals(current)) {
            ClaimDecision decision = held == null
                    ? new ClaimDecision.LogUnavailable("the claim is no longer in force")
                    : new ClaimDecision.Attached(held.claim());
            return CompletableFuture.completedFuture(decision);
        }
        Claim successor =
                new Claim(current.key(), current.bodyDigest(), current.job(), self, current.generation() + 1, false);
        byKey.put(current.key(), new StoredClaim(successor, held.endNanos()));
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
        StoredClaim held = inForce(claim.key());
        if (held == null || !held.claim().job().equals(claim.job())) {
            return;
        }
        Claim known = held.claim();
        Claim marked =
                new Claim(known.key(), known.bodyDigest(), known.job(), known.coordinator(), known.generation(), true);
        byKey.put(claim.key(), new StoredClaim(marked, held.endNanos()));
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

    /** Decides a claim at once. */
    synchronized ClaimDecision decide(SubmissionKey key, String bodyDigest, JobId job) {
        if (departed) {
            return new ClaimDecision.LogUnavailable("this process departs");
        }
        removeEnded();
        StoredClaim held = inForce(key);
        if (held == null) {
            Claim claim = new Claim(key, bodyDigest, job, self, Claim.FIRST_GENERATION, false);
            byKey.put(key, new StoredClaim(claim, clock.nanos() + windowNanos));
            keysByJob.put(job, key);
            return new ClaimDecision.Won(claim);
        }
        return held.claim().bodyDigest().equals(bodyDigest)
                ? new ClaimDecision.Attached(held.claim())
                : new ClaimDecision.KeyReused(held.claim());
    }

    /** Returns the claim in force for a key. */
    synchronized Optional<Claim> lookUp(SubmissionKey key) {
        return Optional.ofNullable(inForce(key)).map(StoredClaim::claim);
    }

    /** Returns the claim in force for a job. */
    synchronized Optional<Claim> lookUp(JobId job) {
        return Optional.ofNullable(keysByJob.get(job)).flatMap(this::lookUp);
    }

    /** Drops a job's claim, as another place holds it now. */
    synchronized void remove(JobId job) {
        SubmissionKey key = keysByJob.remove(job);
        if (key != null) {
            byKey.remove(key);
        }
    }

    private StoredClaim inForce(SubmissionKey key) {
        StoredClaim held = byKey.get(key);
        return held != null && held.endNanos() - clock.nanos() > 0 ? held : null;
    }

    private void removeEnded() {
        Iterator<StoredClaim> oldest = byKey.values().iterator();
        while (oldest.hasNext()) {
            StoredClaim held = oldest.next();
            if (held.endNanos() - clock.nanos() > 0) {
                return;
            }
            oldest.remove();
            keysByJob.remove(held.claim().job());
        }
    }

    /** A claim and the reading of the clock at which its window ends. */
    private record StoredClaim(Claim claim, long endNanos) {}
}
