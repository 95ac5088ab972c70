package org.chivetally.coordination;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;

import java.time.Duration;
import java.util.List;
import org.chivetally.coordination.DispatchEffect.WasteKind;
import org.chivetally.errors.ErrorCode;
import org.chivetally.job.JobId;
import org.chivetally.job.JobOutcome;
import org.chivetally.job.JobOutcome.Certainty;
import org.chivetally.job.ServicePolicy;
import org.chivetally.wire.v1.RefusalReason;
import org.chivetally.wire.v1.Start;
import org.chivetally.wire.v1.TaskStatus;
import org.junit.jupiter.api.Test;

/** Attempts whose connection was lost. */
class DispatcherDoubtsTest {
    private final DispatcherDriver driver = new DispatcherDriver();
    private AgentId agent;

    private Start startThenLoseConnection(ServicePolicy policy) {
        agent = driver.connect("a", 1);
        driver.run("job", 1, policy);
        driver.unreachable(agent);
        return driver.start(0);
    }

    private JobOutcome outcome() {
        return driver.outcomes.get(new JobId("job"));
    }

    private JobOutcome.Failure failure() {
        return driver.failure(new JobId("job"));
    }

    @Test
    void answerLostWithItsConnectionIsAskedFor() {
        // The connection goes silent after the task ran; its answer is lost. Over a new connection the agent tells the
        // kept result, and the caller gets the whole answer without a second start.
        Start start = startThenLoseConnection(DispatcherDriver.once());
        driver.connect(agent, 1, capacity -> capacity);
        assertThat(driver.inquiries, hasSize(1));
        assertThat(driver.lastInquiry().frame().getInquiry().getGeneration(), equalTo(1));

        driver.answer(
                driver.lastInquiry(),
                DispatcherDriver.state(start.getAttemptId(), 0, TaskStatus.TASK_STATUS_DONE, "kept"));
        assertThat(outcome(), equalTo(new JobOutcome.Complete(List.of("kept"))));
        assertThat(driver.starts, hasSize(1));
    }

    @Test
    void runningAttemptIsAskedForAgain() {
        Start start = startThenLoseConnection(DispatcherDriver.once());
        driver.connect(agent, 1, capacity -> capacity);
        driver.answer(
                driver.lastInquiry(),
                DispatcherDriver.state(start.getAttemptId(), 0, TaskStatus.TASK_STATUS_RUNNING, ""));
        driver.advance(Duration.ofSeconds(1));
        assertThat(driver.inquiries, hasSize(2));
        driver.answer(
                driver.lastInquiry(),
                DispatcherDriver.state(start.getAttemptId(), 0, TaskStatus.TASK_STATUS_FAILED, ""));
        assertThat(failure().certainty(), equalTo(Certainty.FAILED));
    }

    @Test
    void attemptOnceSeenAndThenForgottenIsUnknown() {
        Start start = startThenLoseConnection(DispatcherDriver.once());
        driver.connect(agent, 1, capacity -> capacity);
        driver.answer(
                driver.lastInquiry(),
                DispatcherDriver.state(start.getAttemptId(), 0, TaskStatus.TASK_STATUS_RUNNING, ""));
        driver.advance(Duration.ofSeconds(4));
        driver.answer(driver.lastInquiry());
        assertThat(failure().code(), equalTo(ErrorCode.OUTCOME_UNKNOWN));
        assertThat(failure().unknownTasks(), contains(0));
    }

    @Test
    void startHeldUpInAnOldConnectionIsWaitedFor() {
        // The connection goes silent with the start still in it. The agent, asked over a new one, does not know the
        // task. Were it placed elsewhere now, the old connection could come back and the task would start twice. Once
        // the start's ticket is too old for the agent to take, and it still knows nothing, the task is placed again.
        startThenLoseConnection(DispatcherDriver.once());
        AgentId other = driver.connect("b", 1);
        driver.connect(agent, 1, capacity -> capacity);
        driver.answer(driver.lastInquiry());
        driver.advance(Duration.ofMillis(2_900));
        driver.answer(driver.lastInquiry());
        driver.heartbeat(other, 1);
        assertThat("ticket may still be good", driver.starts, hasSize(1));

        driver.advance(Duration.ofMillis(300));
        driver.answer(driver.lastInquiry());
        driver.heartbeat(other, 1);
        assertThat(driver.starts, hasSize(2));
        assertThat(driver.start(1).getAttemptId(), equalTo("job/0/1/2"));
    }

    @Test
    void answerToAnEarlierQuestionSettlesNothing() {
        // The first question's answer is held up; it says what the agent knew before the start reached it. It arrives
        // after a second question was sent. Taken for the answer to that, it would place a task that runs.
        startThenLoseConnection(DispatcherDriver.once());
        driver.connect(agent, 1, capacity -> capacity);
        DispatchEffect.SendFrame earlier = driver.lastInquiry();
        driver.advance(Duration.ofSeconds(4));
        assertThat(driver.inquiries, hasSize(2));
        driver.answer(earlier);
        assertThat(driver.wastes, contains(WasteKind.STRAY));
        driver.answer(
                driver.lastInquiry(), DispatcherDriver.state("job/0/1/1", 0, TaskStatus.TASK_STATUS_DONE, "done"));
        assertThat(outcome(), instanceOf(JobOutcome.Complete.class));
        assertThat(driver.starts, hasSize(1));
    }

    @Test
    void answerAfterTheRetentionProvesNothing() {
        // The agent comes back after so long that it has forgotten what it ran. "Not known" then does not mean that
        // nothing ran, and the caller hears "unknown".
        agent = driver.connect("a", 1);
        driver.run("job", 1, DispatcherDriver.once(), Duration.ofHours(1));
        driver.unreachable(agent);
        driver.advance(Duration.ofMinutes(11));
        driver.connect(agent, 1, capacity -> capacity);
        driver.answer(driver.lastInquiry());
        assertThat(failure().code(), equalTo(ErrorCode.OUTCOME_UNKNOWN));
    }

    @Test
    void idempotentTaskIsTriedAgainOnceItsLeaseIsOverWhateverTheAgentDoes() {
        // The agent stays unreachable. Its attempt may begin as late as its ticket allows and run for its whole lease;
        // only after both have passed is no attempt left that a second one would run beside.
        startThenLoseConnection(DispatcherDriver.repeatable());
        AgentId other = driver.connect("b", 1);
        driver.advance(Duration.ofMillis(7_900));
        driver.advance(Duration.ofMillis(100));
        driver.heartbeat(other, 1);
        assertThat(driver.starts, hasSize(1));
        driver.advance(Duration.ofMillis(200));
        driver.advance(Duration.ofMillis(20));
        driver.heartbeat(other, 1);
        assertThat(driver.starts, hasSize(2));
    }

    @Test
    void workThatRunsOnceIsNotTriedAgainWhenItsLeaseIsOver() {
        agent = driver.connect("a", 1);
        driver.run("job", 1, DispatcherDriver.once());
        driver.advance(Duration.ofSeconds(34));
        assertThat(driver.inquiries, hasSize(1));
        driver.answer(driver.lastInquiry(), DispatcherDriver.state("job/0/1/1", 0, TaskStatus.TASK_STATUS_UNKNOWN, ""));
        assertThat(failure().code(), equalTo(ErrorCode.OUTCOME_UNKNOWN));
        assertThat(driver.starts, hasSize(1));
    }

    @Test
    void crashMakesWorkThatRunsOnceUnknown() {
        startThenLoseConnection(DispatcherDriver.once());
        driver.handle(new DispatchEvent.AgentGone(agent));
        assertThat(failure().code(), equalTo(ErrorCode.OUTCOME_UNKNOWN));
        assertThat(failure().unknownTasks(), contains(0));
    }

    @Test
    void crashLetsAnIdempotentTaskGoElsewhereAtOnce() {
        startThenLoseConnection(DispatcherDriver.repeatable());
        driver.connect("b", 1);
        driver.handle(new DispatchEvent.AgentGone(agent));
        driver.advance(Duration.ofMillis(20));
        assertThat(driver.starts, hasSize(2));
    }

    @Test
    void newerCoordinatorEndsTheJobHere() {
        // A coordinator that was paused sends a start after another took its job over. The agent refuses it; tasks may
        // run for the other one, so nothing may be said not to have run, and nothing more is sent.
        agent = driver.connect("a", 1);
        driver.run("job", 2, DispatcherDriver.once());
        driver.refuse(driver.start(0), RefusalReason.REFUSAL_REASON_OLD_GENERATION, 1);
        assertThat(failure().certainty(), equalTo(Certainty.UNKNOWN));
        assertThat(failure().unknownTasks(), contains(0, 1));
        assertThat(driver.starts, hasSize(1));
    }

    @Test
    void taskThatStartedEarlierUnderAnotherAttemptIsAskedFor() {
        agent = driver.connect("a", 1);
        driver.run("job", 1, DispatcherDriver.once());
        driver.refuse(driver.start(0), RefusalReason.REFUSAL_REASON_ALREADY_STARTED, 0);
        assertThat(driver.inquiries, hasSize(1));
        driver.answer(driver.lastInquiry(), DispatcherDriver.state("earlier", 0, TaskStatus.TASK_STATUS_DONE, "first"));
        assertThat(outcome(), equalTo(new JobOutcome.Complete(List.of("first"))));
        assertThat(driver.starts, hasSize(1));
    }

    @Test
    void idempotentTaskOfAnAgentPresumedGoneIsTriedElsewhereAtOnce() {
        // An agent's machine dies under a task. Entries of two failure domains hear nothing of it. Without the
        // presumption the caller would wait for the attempt's whole lease before the task is tried elsewhere.
        AgentId other = driver.connect("b", 0);
        startThenLoseConnection(DispatcherDriver.repeatable());
        driver.handle(new DispatchEvent.AgentPresumedGone(agent));
        driver.advance(Duration.ofMillis(20));
        driver.heartbeat(other, 1);
        assertThat(driver.starts, hasSize(1));
        driver.connect(other, 1, capacity -> capacity);
        assertThat(driver.starts, hasSize(2));
    }

    @Test
    void taskThatRunsOnceIsKeptInDoubtAtAnAgentPresumedGone() {
        // The agent was only cut off, and returns with the result. Had the presumption counted as proof, the caller
        // would have been told "unknown" of work that was done.
        Start start = startThenLoseConnection(DispatcherDriver.once());
        driver.handle(new DispatchEvent.AgentPresumedGone(agent));
        assertThat(outcome(), equalTo(null));
        driver.connect(agent, 1, capacity -> capacity);
        driver.answer(
                driver.lastInquiry(),
                DispatcherDriver.state(start.getAttemptId(), 0, TaskStatus.TASK_STATUS_DONE, "kept"));
        assertThat(outcome(), equalTo(new JobOutcome.Complete(List.of("kept"))));
    }

    @Test
    void agentHeldDownGetsOneTaskAtATime() {
        agent = driver.connect("a", 8);
        driver.handle(new DispatchEvent.AgentHeldDown(agent, true));
        driver.run("job", 3, DispatcherDriver.once());
        assertThat(driver.starts, hasSize(1));
        driver.handle(new DispatchEvent.AgentHeldDown(agent, false));
        assertThat(driver.starts, hasSize(3));
    }
}
