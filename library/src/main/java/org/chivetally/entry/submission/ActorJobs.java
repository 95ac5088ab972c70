package org.chivetally.entry.submission;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.typed.ActorRef;
import org.chivetally.entry.submission.SubmissionCommand.Awaited;
import org.chivetally.job.JobId;
import org.chivetally.job.JobOutcome;
import org.chivetally.time.NanoClock;

/** {@link Jobs} over a {@link SubmissionActor}; waits end by the actor system's scheduler. */
public final class ActorJobs implements Jobs {
    private static final Duration STATUS_WAIT = Duration.ofMillis(300);
    private static final Duration MARGIN = Duration.ofSeconds(1);

    private final Waits waits;
    private final ActorRef<SubmissionCommand> actor;
    private final NanoClock clock;

    /** Creates the facade of an actor. */
    public ActorJobs(Waits waits, ActorRef<SubmissionCommand> actor, NanoClock clock) {
        this.waits = waits;
        this.actor = actor;
        this.clock = clock;
    }

    @Override
    public CompletionStage<SubmissionReply> submit(Submission submission) {
        CompletableFuture<SubmissionReply> reply = new CompletableFuture<>();
        actor.tell(new SubmissionCommand.Submit(submission, reply));
        return reply;
    }

    @Override
    public CompletionStage<Optional<JobStatus>> status(JobId job) {
        return find(job, STATUS_WAIT, false).thenCompose(found -> {
            boolean here = found.isEmpty() || found.get().local();
            return here
                    ? CompletableFuture.completedStage(found.map(Awaited::status))
                    : withOutcome(found, STATUS_WAIT);
        });
    }

    @Override
    public CompletionStage<Optional<JobStatus>> outcome(JobId job, Duration wait) {
        return find(job, wait, false).thenCompose(found -> withOutcome(found, wait));
    }

    @Override
    public CompletionStage<Optional<JobStatus>> cancel(JobId job, Duration wait) {
        return find(job, wait, true).thenCompose(found -> withOutcome(found, wait));
    }

    @Override
    public CompletionStage<List<JobStatus>> list(Optional<String> team, int limit) {
        CompletableFuture<List<JobStatus>> reply = new CompletableFuture<>();
        actor.tell(new SubmissionCommand.ListJobs(team, limit, reply));
        return reply;
    }

    private CompletionStage<Optional<Awaited>> find(JobId job, Duration wait, boolean cancel) {
        CompletableFuture<Optional<Awaited>> reply = new CompletableFuture<>();
        actor.tell(new SubmissionCommand.Await(
                job, clock.nanos() + wait.plus(MARGIN).toNanos(), cancel, reply));
        return reply;
    }

    private CompletionStage<Optional<JobStatus>> withOutcome(Optional<Awaited> found, Duration wait) {
        if (found.isEmpty()) {
            return CompletableFuture.completedStage(Optional.empty());
        }
        JobStatus status = found.get().status();
        CompletionStage<JobOutcome> outcome = found.get().outcome();
        return waits.within(wait, outcome)
                .thenApply(arrived -> Optional.of(arrived.map(status::ended).orElse(status)));
    }
}
