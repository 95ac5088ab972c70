package org.chivetally.coordination;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import org.chivetally.errors.ErrorCode;
import org.chivetally.job.JobId;
import org.chivetally.job.JobOutcome;
import org.chivetally.job.ServicePolicy;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Leaving;
import org.chivetally.wire.v1.TaskStatus;
import org.junit.jupiter.api.Test;

/** Jobs that another coordinator began and left. */
class DispatcherTakeoverTest {
    private static final Duration HOURS = Duration.ofHours(10);

    private static final Duration REMEMBERED =
            DispatchSettings.defaults("north").fencing().agentRetention();

    private final DispatcherDriver driver = new DispatcherDriver();
    private final AgentId first = driver.connect("a", 8);
    private final AgentId second = driver.connect("b", 8);

    private JobId submitOld(int tasks, ServicePolicy policy) {
        driver.advance(REMEMBERED);
        driver.heartbeat(first, 8);
        driver.heartbeat(second, 8);
        return driver.submit("job", DispatcherDriver.tasks(tasks, Duration.ofMinutes(1)), policy);
    }

    private JobOutcome.Certainty certaintyOfUnlisted(long ageNanos, Duration untilLastAnswer) {
        driver.receive(first, Frame.newBuilder().setLeaving(Leaving.getDefaultInstance()));
        driver.receive(second, Frame.newBuilder().setLeaving(Leaving.getDefaultInstance()));
        driver.inquiries.clear();
        JobId job = driver.submit(
                "job of " + driver.now,
                DispatcherDriver.tasks(1, Duration.ofMinutes(1)),
                DispatcherDriver.repeatable(Duration.ofMinutes(1)));
        driver.claim(job, 2, OptionalLong.of(driver.now - ageNanos));
        driver.answer(driver.inquiries.get(0));
        driver.advance(untilLastAnswer);
        driver.answer(driver.lastInquiry());
        driver.handle(new DispatchEvent.JobCancelled(job));
        driver.advance(Duration.ofSeconds(1));
        return driver.failure(job).certainty();
    }

    private JobId takeOver(int tasks, ServicePolicy policy) {
        JobId job = driver.submit("job", DispatcherDriver.tasks(tasks, Duration.ofMinutes(1)), policy);
        driver.claim(job, 2);
        return job;
    }

    @Test
    void usesWhatIsDoneAwaitsWhatRunsAndStartsTheRest() {
        JobId job = takeOver(3, DispatcherDriver.once());
        assertThat(driver.inquiries, hasSize(2));
        driver.answer(
                driver.inquiries.get(0),
                DispatcherDriver.state("job/0/1/1", 0, TaskStatus.TASK_STATUS_DONE, "zero"),
                DispatcherDriver.state("job/1/1/1", 1, TaskStatus.TASK_STATUS_RUNNING, ""));
        assertThat("the other agent may run it", driver.starts, empty());
        driver.answer(driver.inquiries.get(1));
        assertThat(driver.starts, hasSize(1));
        assertThat(driver.start(0).getAttemptId(), equalTo("job/2/2/1"));
        assertThat(driver.start(0).getGeneration(), equalTo(2));

        driver.done(driver.start(0));
        driver.startedAt.put("job/1/1/1", driver.inquiries.get(0).agent());
        driver.done(driver.start(0).toBuilder()
                .setAttemptId("job/1/1/1")
                .setTaskIndex(1)
                .build());
        assertThat(driver.outcomes.get(job), equalTo(new JobOutcome.Complete(List.of("zero", "answer 1", "answer 2"))));
    }

    @Test
    void unansweredAgentMakesWorkThatRunsOnceUnknown() {
        // One agent does not answer. A task nobody else knows may run there, or may have; starting it could run it
        // twice. After some patience the caller hears which tasks these are.
        driver.unreachable(second);
        JobId job = takeOver(2, DispatcherDriver.once());
        driver.answer(
                driver.lastInquiry(), DispatcherDriver.state("job/0/1/1", 0, TaskStatus.TASK_STATUS_DONE, "zero"));
        driver.advance(Duration.ofSeconds(3));
        assertThat(driver.failure(job).code(), equalTo(ErrorCode.OUTCOME_UNKNOWN));
        assertThat(driver.failure(job).unknownTasks(), contains(1));
        assertThat(driver.starts, empty());
    }

    @Test
    void agentThatReconnectsIsAskedThen() {
        driver.unreachable(second);
        takeOver(1, DispatcherDriver.once());
        driver.answer(driver.lastInquiry());
        driver.connect(second, 8, capacity -> capacity);
        assertThat(driver.inquiries, hasSize(2));
        driver.answer(driver.lastInquiry());
        assertThat(driver.starts, hasSize(1));
    }

    @Test
    void idempotentTaskStartsOnceNoEarlierAttemptCanRun() {
        driver.unreachable(second);
        takeOver(1, DispatcherDriver.repeatable());
        driver.answer(driver.lastInquiry());
        driver.advance(Duration.ofMillis(8_000));
        driver.heartbeat(first, 8);
        assertThat(driver.starts, empty());
        driver.advance(Duration.ofMillis(200));
        driver.heartbeat(first, 8);
        assertThat(driver.starts, hasSize(1));
    }

    @Test
    void agentLatelyGoneCountsAsOneThatMayHaveRunIt() {
        driver.handle(new DispatchEvent.AgentGone(second));
        JobId job = takeOver(1, DispatcherDriver.once());
        driver.answer(driver.lastInquiry());
        assertThat(driver.failure(job).code(), equalTo(ErrorCode.OUTCOME_UNKNOWN));
    }

    @Test
    void agentNeverConnectedCountsAsOneThatMayHaveRunIt() {
        driver.unreachable(new AgentId("c", "1"));
        JobId job = takeOver(1, DispatcherDriver.once());
        driver.inquiries.forEach(inquiry -> driver.answer(inquiry));
        assertThat(driver.starts, empty());
        driver.advance(Duration.ofSeconds(3));
        assertThat(driver.failure(job).code(), equalTo(ErrorCode.OUTCOME_UNKNOWN));
    }

    @Test
    void unlistedTaskOfAJobOlderThanTheAgentsMemoryMayHaveRun() {
        // A job's coordinator died, and the caller submits it again when the agents have forgotten what they ran. They
        // answer that they know nothing, which is taken for "never started" of a young job only; here the task would
        // start twice. What they still know is used as ever.
        JobId job = submitOld(2, DispatcherDriver.once());
        driver.claim(job, 2, OptionalLong.of(driver.now - REMEMBERED.toNanos()));
        driver.answer(
                driver.inquiries.get(0), DispatcherDriver.state("job/0/1/1", 0, TaskStatus.TASK_STATUS_DONE, "zero"));
        driver.answer(driver.inquiries.get(1));
        assertThat(driver.starts, empty());
        assertThat(driver.failure(job).code(), equalTo(ErrorCode.OUTCOME_UNKNOWN));
        assertThat(driver.failure(job).unknownTasks(), contains(1));
    }

    @Test
    void unlistedTaskOfAJobOfUnknownAgeMayHaveRun() {
        JobId job = submitOld(1, DispatcherDriver.once());
        driver.claim(job, 2, OptionalLong.empty());
        List.copyOf(driver.inquiries).forEach(inquiry -> driver.answer(inquiry));
        assertThat(driver.failure(job).certainty(), equalTo(JobOutcome.Certainty.UNKNOWN));
    }

    @Test
    void forgottenTaskIsNeverSaidNotToHaveRun() {
        // A task that may run again is queued though it may have run before; its job is cancelled while it waits. "Not
        // run" is true only if the agents would still know of an earlier run, all of them when they answered.
        long justRemembered = REMEMBERED.toNanos() - Duration.ofSeconds(20).toNanos();
        assertThat(certaintyOfUnlisted(0, Duration.ZERO), equalTo(JobOutcome.Certainty.NOT_RUN));
        assertThat(certaintyOfUnlisted(justRemembered, Duration.ZERO), equalTo(JobOutcome.Certainty.NOT_RUN));
        assertThat(certaintyOfUnlisted(justRemembered, Duration.ofSeconds(20)), equalTo(JobOutcome.Certainty.UNKNOWN));
        assertThat(certaintyOfUnlisted(REMEMBERED.toNanos(), Duration.ZERO), equalTo(JobOutcome.Certainty.UNKNOWN));
    }

    @Test
    void agentGoneBeforeTheJobWasClaimedHeldNothingOfIt() {
        // An agent was replaced before the job was claimed. Counted as one that may have run its tasks, each
        // replacement would make all takeovers of the next minutes fail.
        driver.handle(new DispatchEvent.AgentGone(second));
        driver.advance(Duration.ofSeconds(1));
        takeOver(1, DispatcherDriver.once());
        driver.answer(driver.lastInquiry());
        assertThat(driver.starts, hasSize(1));
    }

    @Test
    void taskThatFailedEarlierFailsTheJobIfItRunsOnce() {
        JobId job = takeOver(1, DispatcherDriver.once());
        driver.answer(
                driver.inquiries.get(0), DispatcherDriver.state("job/0/1/1", 0, TaskStatus.TASK_STATUS_FAILED, ""));
        assertThat(driver.failure(job).code(), equalTo(ErrorCode.TASK_FAILED));
        assertThat(driver.failure(job).certainty(), equalTo(JobOutcome.Certainty.FAILED));
    }

    @Test
    void newIncarnationSaysNothingAboutWhatItsPredecessorRan() {
        // An agent ran the task and was replaced before this coordinator ever connected to it; only the members'
        // records name the dead incarnation. The new one answers that it knows no task, which is true of itself alone.
        // Taken for "never started", the task would start a second time.
        AgentId dead = new AgentId("c", "1");
        driver.handle(new DispatchEvent.AgentNamed(dead, DispatcherDriver.SERVICE));
        driver.handle(new DispatchEvent.AgentGone(dead));
        driver.connect(new AgentId("c", "2"), 8, capacity -> capacity);
        JobId job = takeOver(1, DispatcherDriver.once());
        List.copyOf(driver.inquiries).forEach(inquiry -> driver.answer(inquiry));
        assertThat(driver.starts, empty());
        assertThat(driver.failure(job).code(), equalTo(ErrorCode.OUTCOME_UNKNOWN));
    }

    @Test
    void agentOfAnotherServiceHeldNothingOfTheJob() {
        AgentId other = new AgentId("c", "1");
        driver.handle(new DispatchEvent.AgentNamed(other, "another service"));
        driver.handle(new DispatchEvent.AgentNamed(new AgentId("d", "1"), "another service"));
        driver.handle(new DispatchEvent.AgentGone(other));
        takeOver(1, DispatcherDriver.once());
        List.copyOf(driver.inquiries).forEach(inquiry -> driver.answer(inquiry));
        assertThat(driver.starts, hasSize(1));
    }

    @Test
    void takenOverJobIsNotRefusedForFullQueues() {
        // A job that another coordinator began is taken over by an entry whose queue is full. Refused like a new one,
        // its caller would hear "not run" although its tasks may have run, and would send the same offer again.
        for (int filler = 0; filler < 200; filler++) {
            driver.submit("filler" + filler, DispatcherDriver.tasks(250, HOURS), DispatcherDriver.once());
        }
        JobId job = new JobId("job");
        driver.handle(new DispatchEvent.JobSubmitted(
                job, DispatcherDriver.tasks(1, Duration.ofMinutes(1)), DispatcherDriver.once(), 2));
        assertThat(driver.outcomes.keySet(), empty());
        driver.claim(job, 2);
        driver.answer(
                driver.lastInquiry(), DispatcherDriver.state("job/0/1/1", 0, TaskStatus.TASK_STATUS_DONE, "zero"));
        assertThat(driver.outcomes.get(job), equalTo(new JobOutcome.Complete(List.of("zero"))));
    }
}
