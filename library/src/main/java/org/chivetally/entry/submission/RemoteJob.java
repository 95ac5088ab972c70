package org.chivetally.entry.submission;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.chivetally.claim.Claim;
import org.chivetally.job.JobId;
import org.chivetally.job.JobOutcome;

/** A job that another entry coordinates and whose outcome is awaited here. Owned by one actor. */
final class RemoteJob {
    private final List<Waiter> waiters = new ArrayList<>();
    private Claim claim;
    private Submission submission;
    private boolean takingOver;
    private long notBefore;

    RemoteJob(Claim claim, long now) {
        this.claim = claim;
        this.notBefore = now;
    }

    JobId job() {
        return claim.job();
    }

    Claim claim() {
        return claim;
    }

    /** Returns the content, with which the job could be taken over; empty when nobody submitted it here. */
    Optional<Submission> submission() {
        return Optional.ofNullable(submission);
    }

    void offer(Submission content) {
        submission = content;
    }

    /** Adds a caller that waits until the given time at most. */
    CompletableFuture<JobOutcome> await(long until) {
        Waiter waiter = new Waiter(until, new CompletableFuture<>());
        waiters.add(waiter);
        return waiter.outcome();
    }

    /** Notes the claim in force; true when another process coordinates the job now. */
    boolean changed(Claim inForce) {
        boolean moved = !inForce.coordinator().equals(claim.coordinator());
        claim = inForce;
        return moved;
    }

    /** Tells whether a takeover may be tried at this time, and notes that it is. */
    boolean beginTakeover(long now) {
        if (takingOver || submission == null || now - notBefore < 0) {
            return false;
        }
        takingOver = true;
        return true;
    }

    /** The takeover led to nothing; another one may follow from the given time on. */
    void endTakeover(long next) {
        takingOver = false;
        notBefore = next;
    }

    boolean takingOver() {
        return takingOver;
    }

    /** Tells all that wait. */
    void complete(JobOutcome outcome) {
        List<Waiter> all = List.copyOf(waiters);
        waiters.clear();
        all.forEach(waiter -> waiter.outcome().complete(outcome));
    }

    /** Tells those whose time is over that the coordinator did not answer. */
    void expire(long now) {
        Iterator<Waiter> all = waiters.iterator();
        List<Waiter> late = new ArrayList<>();
        while (all.hasNext()) {
            Waiter waiter = all.next();
            if (now - waiter.until() >= 0) {
                late.add(waiter);
                all.remove();
            }
        }
        JobOutcome silent = Failures.coordinatorSilent(claim.coordinator().processId());
        late.forEach(waiter -> waiter.outcome().complete(silent));
    }

    boolean awaited() {
        return !waiters.isEmpty();
    }

    private record Waiter(long until, CompletableFuture<JobOutcome> outcome) {}
}
