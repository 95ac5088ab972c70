package org.chivetally.entry.submission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.chivetally.job.JobId;
import org.chivetally.job.JobOutcome;
import org.junit.jupiter.api.Test;

class AttachedCallersTest {
    private static final JobOutcome ANSWER = new JobOutcome.Complete(List.of("1"));

    private final AttachedCallers callers = new AttachedCallers();
    private final CompletableFuture<JobOutcome> job = new CompletableFuture<>();

    // A caller comes back with little of its time left, while the job has the longer deadline of a first submission. It
    // would be held beyond its own deadline and left without a clear failure; one with more time gets the answer.
    @Test
    void eachCallerHearsAtItsOwnDeadline() {
        CompletableFuture<JobOutcome> hurried = callers.outcome(job, 10);
        CompletableFuture<JobOutcome> patient = callers.outcome(job, 20);
        callers.expire(9);
        assertThat(hurried.isDone(), is(false));
        callers.expire(10);
        assertThat(hurried.join(), is(Failures.stillRunning()));
        job.complete(ANSWER);
        callers.expire(20);
        assertThat(patient.join(), is(ANSWER));
    }

    // The same while the log has not decided about the claim, and once it has.
    @Test
    void callersOfAJobThatIsNotClaimedYetHearToo() {
        CompletableFuture<SubmissionReply> hurried = new CompletableFuture<>();
        CompletableFuture<SubmissionReply> patient = new CompletableFuture<>();
        CompletableFuture<SubmissionReply> first = callers.reply(hurried, 10);
        CompletableFuture<SubmissionReply> second = callers.reply(patient, 20);
        callers.expire(10);
        assertThat(hurried.join(), is(new SubmissionReply.Refused(Failures.stillRunning())));
        first.complete(new SubmissionReply.Accepted(new JobId("j"), job));
        second.complete(new SubmissionReply.Accepted(new JobId("j"), job));
        callers.expire(20);
        SubmissionReply.Accepted accepted = (SubmissionReply.Accepted) patient.join();
        assertThat(accepted.outcome().toCompletableFuture().join(), is(Failures.stillRunning()));
    }
}
