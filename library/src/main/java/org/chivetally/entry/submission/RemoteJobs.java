package org.chivetally.entry.submission;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.chivetally.claim.Claim;
import org.chivetally.claim.ClaimDecision;
import org.chivetally.claim.Coordinator;
import org.chivetally.job.JobId;
import org.chivetally.job.JobOutcome;
import org.chivetally.logging.EventLine;

/**
 * The awaited jobs that other entries coordinate: their coordinators are asked, and lapsed ones are taken over from.
 *
 * <p>Owned by the actor; what is decided elsewhere comes back to it as messages.
 */
final class RemoteJobs {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final long TAKEOVER_RETRY_NANOS = Duration.ofMillis(500).toNanos();
    private static final int TICKS_PER_REFRESH = 10;

    private final SubmissionActor.Parts parts;
    private final Consumer<SubmissionCommand> owner;
    private final Runner run;
    private final Map<JobId, RemoteJob> jobs = new HashMap<>();
    private long ticks;

    /**
     * Creates an empty set.
     *
     * @param owner takes messages to the owning actor from any thread
     * @param run takes jobs that were taken over, to be run here under the claim
     */
    RemoteJobs(SubmissionActor.Parts parts, Consumer<SubmissionCommand> owner, Runner run) {
        this.parts = parts;
        this.owner = owner;
        this.run = run;
    }

    static boolean isSame(Coordinator one, Coordinator other) {
        return one.processId().equals(other.processId()) && one.incarnation().equals(other.incarnation());
    }

    boolean isEmpty() {
        return jobs.isEmpty();
    }

    /** Waits for a job until the given reading of the clock at most. */
    CompletableFuture<JobOutcome> await(Claim claim, long until) {
        return jobs.computeIfAbsent(claim.job(), job -> ask(claim)).await(until);
    }

    /** The same for a job that was submitted here too, so that it can be taken over. */
    CompletableFuture<JobOutcome> attach(Claim claim, Submission submission, long until) {
        CompletableFuture<JobOutcome> outcome = await(claim, until);
        jobs.get(claim.job()).offer(submission);
        return outcome;
    }

    /** The coordinator answered. */
    void answered(SubmissionCommand.PeerAnswered answered) {
        RemoteJob job = jobs.get(answered.job());
        if (job != null && !job.takingOver()) {
            end(job, answered.outcome());
        }
    }

    /** The claim in force was looked up; another entry may coordinate the job now. */
    void refreshed(Claim claim) {
        RemoteJob job = jobs.get(claim.job());
        if (job != null && job.changed(claim)) {
            parts.peers().forget(claim.job());
            askCoordinator(claim);
        }
    }

    /** The log decided about a takeover. */
    void takeoverDecided(SubmissionCommand.TakeoverDecided decided) {
        RemoteJob job = jobs.get(decided.job());
        if (job == null) {
            return;
        }
        job.endTakeover(parts.clock().nanos() + TAKEOVER_RETRY_NANOS);
        switch (decided.decision()) {
            case ClaimDecision.Won won -> {
                forget(job);
                run.run(job, won.claim(), decided.claimedAfterNanos());
            }
            case ClaimDecision.Attached attached -> {
                job.changed(attached.claim());
                askCoordinator(attached.claim());
            }
            case ClaimDecision.KeyReused reused -> end(job, Failures.keyReused());
            case ClaimDecision.LogUnavailable unavailable ->
                LOGGER.atWarning().log(
                        "%s",
                        EventLine.of("takeover-failed")
                                .with("job", decided.job())
                                .with("reason", unavailable.reason()));
        }
    }

    /** Time passed. */
    void tick(long now) {
        ticks++;
        for (RemoteJob job : List.copyOf(jobs.values())) {
            tend(job, now);
        }
    }

    private void tend(RemoteJob job, long now) {
        job.expire(now);
        if (!job.awaited() && !job.takingOver()) {
            forget(job);
            return;
        }
        Coordinator coordinator = job.claim().coordinator();
        if (parts.claims().hasLapsed(coordinator)) {
            succeed(job, coordinator, now);
            return;
        }
        if (ticks % TICKS_PER_REFRESH == 0) {
            parts.claims()
                    .find(job.job())
                    .thenAccept(claim ->
                            claim.map(SubmissionCommand.ClaimRefreshed::new).ifPresent(owner));
        }
    }

    private void succeed(RemoteJob job, Coordinator lapsed, long now) {
        if (job.submission().isEmpty()) {
            end(job, Failures.coordinatorGone(lapsed.processId()));
            return;
        }
        if (job.beginTakeover(now)) {
            takeOver(job);
        }
    }

    // Agents that ran tasks for the lapsed coordinator were announced before it lapsed. Whoever goes on must know all
    // of them, or would start again what one of them has run, so the members are read to their end first.
    private void takeOver(RemoteJob job) {
        Claim claim = job.claim();
        parts.membersCaughtUp()
                .get()
                .thenCompose(caughtUp -> caughtUp ? parts.claims().takeOver(claim) : membersUnknown())
                .thenCompose(decision -> withAge(claim.job(), decision))
                .thenAccept(owner);
    }

    // How old the job is decides whether agents would still know its tasks.
    private CompletionStage<SubmissionCommand> withAge(JobId job, ClaimDecision decision) {
        return parts.claims()
                .claimedAfter(job)
                .thenApply(after -> new SubmissionCommand.TakeoverDecided(job, decision, after));
    }

    private static CompletionStage<ClaimDecision> membersUnknown() {
        return CompletableFuture.completedStage(new ClaimDecision.LogUnavailable("the members can't be read"));
    }

    private RemoteJob ask(Claim claim) {
        askCoordinator(claim);
        return new RemoteJob(claim, parts.clock().nanos());
    }

    private void askCoordinator(Claim claim) {
        boolean reachable =
                !isSame(claim.coordinator(), parts.self()) && !isSame(claim.coordinator(), Coordinator.NONE);
        if (reachable) {
            parts.peers().ask(claim.coordinator(), claim.job(), claim.key().key());
        }
    }

    private void end(RemoteJob job, JobOutcome outcome) {
        forget(job);
        job.complete(outcome);
    }

    private void forget(RemoteJob job) {
        jobs.remove(job.job());
        parts.peers().forget(job.job());
    }

    /** Takes jobs that were taken over. */
    @FunctionalInterface
    interface Runner {
        /**
         * Runs a job under its claim.
         *
         * @param claimedAfterNanos reading of the clock after which it was first claimed, if one is known
         */
        void run(RemoteJob job, Claim claim, OptionalLong claimedAfterNanos);
    }
}
