package org.chivetally.entry.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Inquiry;
import org.chivetally.wire.v1.InquiryAnswer;
import org.chivetally.wire.v1.Refusal;
import org.chivetally.wire.v1.Result;
import org.chivetally.wire.v1.Start;
import org.chivetally.wire.v1.TaskState;
import org.chivetally.wire.v1.TaskStatus;
import org.junit.jupiter.api.Test;

class PendingAnswersTest {
    private final PendingAnswers pendingAnswers = new PendingAnswers();

    // Without the pending answer, a dead connection would be detected only by an idle heartbeat.
    @Test
    void answersArePendingUntilEachAttemptIsAnswered() {
        start("a");
        start("b");
        pendingAnswers.received(
                "agent",
                Frame.newBuilder()
                        .setResult(Result.newBuilder().setAttemptId("a"))
                        .build());
        assertThat(pendingAnswers.hasPending("agent"), is(true));
        pendingAnswers.received(
                "agent",
                Frame.newBuilder()
                        .setRefusal(Refusal.newBuilder().setAttemptId("b"))
                        .build());
        assertThat(pendingAnswers.hasPending("agent"), is(false));
    }

    // A result may be lost with its connection; the answer to a later inquiry then replaces it.
    @Test
    void anInquiryAnswerCompletesAttemptsThatNoLongerRun() {
        start("a");
        start("b");
        pendingAnswers.sent(
                "agent",
                Frame.newBuilder()
                        .setInquiry(Inquiry.newBuilder().setJobId("j"))
                        .build(),
                0);
        InquiryAnswer.Builder answer = InquiryAnswer.newBuilder()
                .setJobId("j")
                .addTasks(state("a", TaskStatus.TASK_STATUS_DONE))
                .addTasks(state("b", TaskStatus.TASK_STATUS_RUNNING));
        pendingAnswers.received(
                "agent", Frame.newBuilder().setInquiryAnswer(answer).build());
        assertThat(pendingAnswers.hasPending("agent"), is(true));
        pendingAnswers.received(
                "agent",
                Frame.newBuilder()
                        .setResult(Result.newBuilder().setAttemptId("b"))
                        .build());
        assertThat(pendingAnswers.hasPending("agent"), is(false));
    }

    // An agent that never answers would otherwise keep the interval of active connections forever.
    @Test
    void aMissingAnswerExpiresAfterTheLease() {
        start("a");
        pendingAnswers.expire(Duration.ofSeconds(10).toNanos());
        assertThat(pendingAnswers.hasPending("agent"), is(true));
        pendingAnswers.expire(Duration.ofSeconds(11).toNanos());
        assertThat(pendingAnswers.hasPending("agent"), is(false));
    }

    private void start(String attempt) {
        Start.Builder start = Start.newBuilder().setAttemptId(attempt).setLeaseMillis(1_000);
        pendingAnswers.sent("agent", Frame.newBuilder().setStart(start).build(), 0);
    }

    private static TaskState state(String attempt, TaskStatus status) {
        return TaskState.newBuilder().setAttemptId(attempt).setStatus(status).build();
    }
}
