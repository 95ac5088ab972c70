package org.chivetally.entry.submission;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.chivetally.job.JobOutcome;

/**
 * Callers that wait here for a job which an earlier submission of their key began.
 *
 * <p>The job has the deadline of that submission. A later caller with less time would wait beyond its own, without an
 * answer or a failure; each therefore hears at its own deadline at the latest. Owned by one actor.
 */
final class AttachedCallers {
    private final List<Caller> callers = new ArrayList<>();

    /** Returns the outcome, or the failure of a caller whose time ends at a reading of the clock. */
    CompletableFuture<JobOutcome> outcome(CompletableFuture<JobOutcome> outcome, long until) {
        if (outcome.isDone()) {
            return outcome;
        }
        CompletableFuture<JobOutcome> limited = outcome.copy();
        callers.add(new Caller(until, limited, () -> limited.complete(Failures.stillRunning())));
        return limited;
    }

    /** The same for a job that is not claimed yet. */
    CompletableFuture<SubmissionReply> reply(CompletableFuture<SubmissionReply> caller, long until) {
        CompletableFuture<SubmissionReply> claimed = new CompletableFuture<>();
        claimed.thenAccept(reply -> caller.complete(limit(reply, until)));
        callers.add(
                new Caller(until, caller, () -> caller.complete(new SubmissionReply.Refused(Failures.stillRunning()))));
        return claimed;
    }

    /** Tells those whose time is over. */
    void expire(long now) {
        callers.removeIf(caller -> caller.told().isDone());
        List<Caller> late =
                callers.stream().filter(caller -> now - caller.until() >= 0).toList();
        callers.removeAll(late);
        late.forEach(caller -> caller.late().run());
    }

    private SubmissionReply limit(SubmissionReply reply, long until) {
        return reply instanceof SubmissionReply.Accepted accepted
                ? new SubmissionReply.Accepted(
                        accepted.job(), outcome(accepted.outcome().toCompletableFuture(), until))
                : reply;
    }

    private record Caller(long until, CompletableFuture<?> told, Runnable late) {}
}
