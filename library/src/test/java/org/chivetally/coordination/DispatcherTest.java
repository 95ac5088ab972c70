package org.chivetally.coordination;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.chivetally.coordination.DispatchEffect.WasteKind;
import org.chivetally.errors.ErrorCode;
import org.chivetally.job.JobId;
import org.chivetally.job.JobOutcome;
import org.chivetally.job.JobOutcome.Certainty;
import org.chivetally.job.JobSpecification;
import org.chivetally.job.Resources;
import org.chivetally.job.ServicePolicy;
import org.chivetally.job.TaskSpecification;
import org.chivetally.job.TeamPolicy;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Heartbeat;
import org.chivetally.wire.v1.Leaving;
import org.chivetally.wire.v1.RefusalReason;
import org.chivetally.wire.v1.Start;
import org.chivetally.wire.v1.TaskStatus;
import org.junit.jupiter.api.Test;

class DispatcherTest {
    private static final Duration MINUTE = Duration.ofMinutes(1);

    private final DispatcherDriver driver = new DispatcherDriver();

    private void assertFailure(JobId job, ErrorCode code, Certainty certainty) {
        assertThat(driver.failure(job).code(), equalTo(code));
        assertThat(driver.failure(job).certainty(), equalTo(certainty));
    }

    @Test
    void completesWithAnswersInOrder() {
        driver.connect("a", 8);
        JobId job = driver.submit("job", DispatcherDriver.tasks(2, MINUTE), DispatcherDriver.once());
        assertThat("nothing starts before the claim", driver.starts, empty());

        driver.claim(job, 1);
        assertThat(driver.starts, hasSize(2));
        assertThat(driver.start(0).getAttemptId(), equalTo("job/0/1/1"));

        driver.done(driver.start(1));
        driver.done(driver.start(0));
        JobOutcome.Complete complete = (JobOutcome.Complete) driver.outcomes.get(job);
        assertThat(complete.answers(), contains("answer 0", "answer 1"));
        assertThat(driver.dispatcher.snapshot().jobs(), equalTo(0));
    }

    @Test
    void withdrawnJobHasNoOutcome() {
        driver.connect("a", 8);
        JobId job = driver.submit("job", DispatcherDriver.tasks(2, MINUTE), DispatcherDriver.once());
        driver.handle(new DispatchEvent.JobWithdrawn(job));
        driver.claim(job, 1);
        driver.advance(MINUTE);
        assertThat(driver.outcomes.keySet(), empty());
        assertThat(driver.starts, empty());
    }

    @Test
    void holdsTasksBackUntilASlotIsFree() {
        driver.connect("a", 2);
        driver.run("job", 5, DispatcherDriver.once());
        assertThat(driver.starts, hasSize(2));
        driver.result(driver.start(0), TaskStatus.TASK_STATUS_DONE, "x");
        assertThat(driver.starts, hasSize(3));
    }

    @Test
    void refusesAtOnceWhatCanNeverFit() {
        driver.connect(new AgentId("a", "1"), 8, capacity -> capacity.setMemoryBytes(1_000));
        TaskSpecification large = new TaskSpecification("{}", new Resources(0, 2_000, 0));
        JobId job = driver.submit(
                "job",
                new JobSpecification(DispatcherDriver.SERVICE, "rangers", MINUTE, List.of(large)),
                DispatcherDriver.once());
        assertFailure(job, ErrorCode.NEVER_FITS, Certainty.NOT_RUN);
        assertThat(driver.failure(job).detail(), containsString("task 0"));
    }

    @Test
    void declaredMemoryLimitsWhatRunsBesideEachOther() {
        driver.connect(new AgentId("a", "1"), 8, capacity -> capacity.setMemoryBytes(5_000));
        TaskSpecification task = new TaskSpecification("{}", new Resources(0, 2_000, 0));
        JobId job = driver.submit(
                "job",
                new JobSpecification(DispatcherDriver.SERVICE, "rangers", MINUTE, List.of(task, task, task)),
                DispatcherDriver.once());
        driver.claim(job, 1);
        assertThat(driver.starts, hasSize(2));
        driver.done(driver.start(0));
        assertThat(driver.starts, hasSize(3));
    }

    @Test
    void fullQueueRefusesInTheSameCall() {
        driver.handle(new DispatchEvent.TeamChanged(new TeamPolicy("rangers", 100, 40, 1)));
        driver.handle(new DispatchEvent.EntriesChanged(4));
        JobId first = driver.submit("first", DispatcherDriver.tasks(10, MINUTE), DispatcherDriver.once());
        JobId second = driver.submit("second", DispatcherDriver.tasks(1, MINUTE), DispatcherDriver.once());
        assertThat(driver.outcomes.get(first), equalTo(null));
        assertFailure(second, ErrorCode.OVERLOADED, Certainty.NOT_RUN);
        assertThat(driver.failure(second).retryAfterMillis(), greaterThan(0L));
    }

    @Test
    void teamRunsNoMoreThanItsPartOfTheQuota() {
        driver.connect("a", 8);
        driver.handle(new DispatchEvent.TeamChanged(new TeamPolicy("rangers", 6, 1_000, 1)));
        driver.handle(new DispatchEvent.EntriesChanged(3));
        driver.run("job", 5, DispatcherDriver.once());
        assertThat(driver.starts, hasSize(2));
        driver.done(driver.start(0));
        assertThat(driver.starts, hasSize(3));
        driver.handle(new DispatchEvent.EntriesChanged(1));
        assertThat(driver.starts, hasSize(5));
    }

    @Test
    void teamsShareByWeight() {
        driver.connect("a", 1);
        driver.handle(new DispatchEvent.TeamChanged(new TeamPolicy("light", 1_000, 1_000, 1)));
        driver.handle(new DispatchEvent.TeamChanged(new TeamPolicy("heavy", 1_000, 1_000, 3)));
        for (String team : List.of("light", "heavy")) {
            TaskSpecification task = new TaskSpecification("{}", Resources.NONE);
            List<TaskSpecification> tasks = Collections.nCopies(200, task);
            JobId job = driver.submit(
                    team, new JobSpecification(DispatcherDriver.SERVICE, team, MINUTE, tasks), DispatcherDriver.once());
            driver.claim(job, 1);
        }
        for (int number = 0; number < 160; number++) {
            driver.done(driver.start(number));
        }
        long heavy = driver.starts.stream()
                .limit(160)
                .filter(start -> start.getTeam().equals("heavy"))
                .count();
        assertThat((double) heavy, closeTo(120, 24));
    }

    @Test
    void smallJobsGoBeforeLargeOnesOfTheirTeam() {
        driver.connect("a", 1);
        driver.run("large", 100, DispatcherDriver.once());
        JobId small = driver.run("small", 1, DispatcherDriver.once());
        driver.done(driver.start(0));
        driver.done(driver.start(1));
        assertThat(driver.outcomes.keySet(), contains(small));
    }

    @Test
    void startsOnlyWithAFreshTicket() {
        AgentId agent = driver.connect("a", 8);
        driver.advance(Duration.ofMillis(2_500));
        driver.run("job", 1, DispatcherDriver.once());
        assertThat(driver.starts, empty());
        assertThat(driver.heartbeats, contains(agent));

        driver.heartbeat(agent, 8);
        assertThat(driver.starts, hasSize(1));
        assertThat("newest ticket", driver.start(0).getTicket(), equalTo(2L));
    }

    @Test
    void asksFullAgentsForNewsWhileTasksWait() {
        AgentId agent = driver.connect("a", 2);
        driver.heartbeat(agent, 0);
        driver.run("job", 1, DispatcherDriver.once());
        driver.advance(Duration.ofMillis(100));
        assertThat("news is still young", driver.heartbeats, empty());
        driver.advance(Duration.ofMillis(100));
        assertThat(driver.heartbeats, contains(agent));
        driver.heartbeat(agent, 1);
        assertThat(driver.starts, hasSize(1));
    }

    @Test
    void failedTaskIsTriedAgainElsewhereIfIdempotent() {
        driver.connect("a", 8);
        driver.connect("b", 8);
        JobId job = driver.run("job", 1, DispatcherDriver.repeatable());
        driver.result(driver.start(0), TaskStatus.TASK_STATUS_FAILED, "");
        driver.advance(Duration.ofMillis(20));
        assertThat(driver.starts, hasSize(2));
        assertThat(driver.start(1).getAttemptId(), equalTo("job/0/1/2"));
        assertThat(driver.agentOf(driver.start(1)), not(driver.agentOf(driver.start(0))));
        driver.result(driver.start(1), TaskStatus.TASK_STATUS_FAILED, "");
        driver.advance(Duration.ofMillis(20));
        driver.result(driver.start(2), TaskStatus.TASK_STATUS_FAILED, "");
        assertFailure(job, ErrorCode.TASK_FAILED, Certainty.FAILED);
    }

    @Test
    void failedTaskFailsItsJobIfNotIdempotent() {
        driver.connect("a", 8);
        JobId job = driver.run("job", 2, DispatcherDriver.once());
        driver.result(driver.start(0), TaskStatus.TASK_STATUS_FAILED, "");
        assertFailure(job, ErrorCode.TASK_FAILED, Certainty.UNKNOWN);
        assertThat("the other one runs", driver.failure(job).unknownTasks(), contains(1));
    }

    @Test
    void unknownResultOfWorkThatRunsOnceFailsTheJob() {
        driver.connect("a", 8);
        JobId job = driver.run("job", 2, DispatcherDriver.once());
        driver.done(driver.start(0));
        driver.result(driver.start(1), TaskStatus.TASK_STATUS_UNKNOWN, "");
        assertFailure(job, ErrorCode.OUTCOME_UNKNOWN, Certainty.UNKNOWN);
        assertThat(driver.failure(job).unknownTasks(), contains(1));
    }

    @Test
    void retriesEndWithTheBudget() {
        // Callers see failures while every task of the service fails. Each failure asks for another attempt; without a
        // budget, attempts would triple the load of a service in trouble. 10 a second and a tenth of first ones are
        // allowed, so of 100 jobs failing at once about 20 tasks are tried again.
        driver.connect("a", 100);
        driver.connect("b", 100);
        for (int number = 0; number < 100; number++) {
            driver.run("job" + number, 1, DispatcherDriver.repeatable());
        }
        for (Start start : new ArrayList<>(driver.starts)) {
            driver.result(start, TaskStatus.TASK_STATUS_FAILED, "");
        }
        driver.advance(Duration.ofMillis(100));
        assertThat(driver.outcomes.keySet(), hasSize(80));
        assertThat(driver.starts, hasSize(120));
    }

    @Test
    void refusedTaskGoesElsewhereAtOnce() {
        driver.connect("a", 1);
        driver.connect("b", 1);
        driver.run("job", 1, DispatcherDriver.once());
        driver.refuse(driver.start(0), RefusalReason.REFUSAL_REASON_FULL, 0);
        assertThat(driver.starts, hasSize(2));
        assertThat(driver.agentOf(driver.start(1)), not(driver.agentOf(driver.start(0))));
        assertThat(driver.wastes, contains(WasteKind.REFUSED));
    }

    @Test
    void refusedTaskWaitsWhenNothingElseIsFree() {
        AgentId agent = driver.connect("a", 1);
        driver.run("job", 1, DispatcherDriver.once());
        driver.refuse(driver.start(0), RefusalReason.REFUSAL_REASON_FULL, 0);
        driver.advance(Duration.ofMillis(20));
        assertThat(driver.starts, hasSize(1));
        driver.heartbeat(agent, 1);
        assertThat(driver.starts, hasSize(2));
    }

    @Test
    void refusedTaskIsTheFirstOfItsTeamAgain() {
        AgentId agent = driver.connect("a", 1);
        driver.run("first", 1, DispatcherDriver.once());
        driver.run("second", 1, DispatcherDriver.once());
        driver.refuse(driver.start(0), RefusalReason.REFUSAL_REASON_STALE_TICKET, 1);
        driver.advance(Duration.ofMillis(20));
        driver.heartbeat(agent, 1);
        assertThat(driver.start(1).getJobId(), equalTo("first"));
    }

    @Test
    void drainingAgentGetsNothingNew() {
        AgentId agent = driver.connect("a", 8);
        driver.receive(agent, Frame.newBuilder().setLeaving(Leaving.getDefaultInstance()));
        driver.run("job", 1, DispatcherDriver.once());
        assertThat(driver.starts, empty());
    }

    @Test
    void agentWhoseDrainIsTakenBackGetsWorkAgain() {
        AgentId agent = driver.connect("a", 8);
        driver.receive(
                agent,
                Frame.newBuilder()
                        .setHeartbeat(Heartbeat.newBuilder()
                                .setReport(driver.report(agent, 0).toBuilder().setDraining(true))));
        driver.run("job", 1, DispatcherDriver.once());
        assertThat(driver.starts, empty());
        driver.heartbeat(agent, 8);
        assertThat(driver.starts, hasSize(1));
    }

    @Test
    void withoutTheLeaseNothingStarts() {
        // A coordinator paused past its lease goes on when it is resumed. Another may have taken its jobs over by then.
        // The caller hears "unknown" at the deadline, since "not run" could be false without a start from here.
        driver.connect("a", 8);
        driver.handle(new DispatchEvent.LeaseChanged(false));
        JobId job = driver.run("job", 2, DispatcherDriver.once(), Duration.ofSeconds(1));
        assertThat(driver.starts, empty());
        driver.advance(Duration.ofSeconds(1));
        assertFailure(job, ErrorCode.DEADLINE_EXCEEDED, Certainty.UNKNOWN);
        assertThat(driver.failure(job).unknownTasks(), contains(0, 1));
    }

    @Test
    void startsGoOnWithTheLease() {
        driver.connect("a", 8);
        driver.handle(new DispatchEvent.LeaseChanged(false));
        driver.run("job", 1, DispatcherDriver.once());
        driver.handle(new DispatchEvent.LeaseChanged(true));
        assertThat(driver.starts, hasSize(1));
    }

    @Test
    void jobTakenOverDuringALapseDoesNotGoOn() {
        driver.connect("a", 8);
        JobId job = driver.submit("job", DispatcherDriver.tasks(1, MINUTE), DispatcherDriver.once());
        driver.handle(new DispatchEvent.LeaseChanged(false));
        driver.handle(new DispatchEvent.JobTakenOver(job));
        driver.handle(new DispatchEvent.LeaseChanged(true));
        assertFailure(job, ErrorCode.OUTCOME_UNKNOWN, Certainty.UNKNOWN);
    }

    @Test
    void deadlineTellsWhatIsCertain() {
        Duration second = Duration.ofSeconds(1);
        JobId waiting = driver.run("waiting", 1, DispatcherDriver.once(), second);
        driver.advance(second);
        assertFailure(waiting, ErrorCode.DEADLINE_EXCEEDED, Certainty.NOT_RUN);

        driver.connect("a", 2);
        JobId running = driver.run("running", 3, DispatcherDriver.once(), second);
        driver.done(driver.start(0));
        driver.advance(second);
        assertFailure(running, ErrorCode.DEADLINE_EXCEEDED, Certainty.UNKNOWN);
        assertThat(driver.failure(running).unknownTasks(), contains(1, 2));
    }

    @Test
    void deadlineAfterEveryStartedTaskEndedIsFailed() {
        AgentId agent = driver.connect("a", 1);
        JobId job = driver.run("job", 2, DispatcherDriver.once(), Duration.ofSeconds(1));
        driver.handle(new DispatchEvent.TeamChanged(new TeamPolicy("rangers", 0, 10, 1)));
        driver.done(driver.start(0));
        driver.advance(Duration.ofSeconds(1));
        assertFailure(job, ErrorCode.DEADLINE_EXCEEDED, Certainty.FAILED);
        assertThat(agent.processId(), equalTo("a"));
    }

    @Test
    void waveOfCancellationsTakesOneFrameAnAgent() {
        driver.connect("a", 500);
        driver.connect("b", 500);
        List<JobId> jobs = new ArrayList<>();
        for (int number = 0; number < 200; number++) {
            jobs.add(driver.run("job" + number, 5, DispatcherDriver.once()));
        }
        for (JobId job : jobs) {
            driver.handle(new DispatchEvent.JobCancelled(job));
        }
        assertThat(driver.outcomes.keySet(), hasSize(200));
        assertFailure(jobs.getFirst(), ErrorCode.CANCELLED, Certainty.UNKNOWN);
        driver.advance(Duration.ofMillis(20));
        assertThat(driver.cancels, hasSize(2));
        driver.done(driver.start(0));
        assertThat(driver.wastes, contains(WasteKind.LATE));
    }

    @Test
    void answersBelongToTheirAttemptAlone() {
        // A result that arrives twice, or over another agent's connection, must not end a task: the caller would get an
        // answer to another request.
        driver.connect("a", 1);
        driver.connect("b", 1);
        JobId job = driver.run("job", 2, DispatcherDriver.once());
        Start first = driver.start(0);
        AgentId other = driver.agentOf(driver.start(1));
        AgentId own = driver.startedAt.put(first.getAttemptId(), other);
        driver.done(first);
        driver.startedAt.put(first.getAttemptId(), own);
        driver.done(first);
        driver.done(first);
        assertThat(driver.wastes, contains(WasteKind.STRAY, WasteKind.DUPLICATE));
        assertThat(driver.outcomes.get(job), equalTo(null));
    }

    @Test
    void refusesEarlyWhatCanNotBeDoneInTime() {
        driver.connect("a", 1);
        driver.learnRunTimes(60);
        for (int number = 0; number < 100; number++) {
            driver.run("backlog" + number, 1, DispatcherDriver.once());
        }
        JobId job = driver.submit("late", DispatcherDriver.tasks(1, Duration.ofSeconds(2)), DispatcherDriver.once());
        assertFailure(job, ErrorCode.OVERLOADED, Certainty.NOT_RUN);
        assertThat(driver.failure(job).retryAfterMillis(), greaterThan(5_000L));
    }

    @Test
    void smallJobIsNotRefusedForALargeBacklogItGoesBefore() {
        driver.connect("a", 1);
        driver.learnRunTimes(60);
        driver.run("backlog", 100, DispatcherDriver.once());
        JobId job = driver.run("small", 1, DispatcherDriver.once(), Duration.ofSeconds(2));
        driver.done(driver.start(0));
        driver.done(driver.start(1));
        assertThat(driver.outcomes.get(job), instanceOf(JobOutcome.Complete.class));
    }

    @Test
    void startsNothingOfAJobWithoutTimeForOneTask() {
        driver.connect("a", 1);
        driver.learnRunTimes(60);
        driver.run("first", 1, DispatcherDriver.once());
        JobId job = driver.run("second", 1, DispatcherDriver.once(), Duration.ofMillis(250));
        driver.advance(Duration.ofMillis(200));
        driver.done(driver.start(0));
        assertFailure(job, ErrorCode.OVERLOADED, Certainty.NOT_RUN);
        assertThat(driver.starts, hasSize(1));
    }

    @Test
    void stragglerGetsASecondCopyAndTheFirstAnswerWins() {
        ServicePolicy speculative = new ServicePolicy(
                DispatcherDriver.SERVICE,
                true,
                ServicePolicy.ClaimMode.LOG,
                3,
                Duration.ofSeconds(5),
                MINUTE,
                true,
                Resources.NONE);
        driver.connect("a", 100);
        driver.connect("b", 100);
        driver.learnRunTimes(250);
        for (int number = 0; number < 60; number++) {
            driver.run("job" + number, 1, speculative);
        }
        for (Start start : driver.starts.subList(1, 60)) {
            driver.done(start);
        }
        driver.advance(Duration.ofMillis(250));
        assertThat(driver.starts, hasSize(61));
        Start copy = driver.start(60);
        assertThat(copy.getAttemptId(), equalTo("job0/0/1/2"));
        assertThat(driver.agentOf(copy), not(driver.agentOf(driver.start(0))));
        driver.done(copy);
        driver.done(driver.start(0));
        assertThat(driver.outcomes.keySet(), hasItem(new JobId("job0")));
        assertThat(driver.wastes, contains(WasteKind.LATE));
    }

    @Test
    void minionThatFailsEverythingAtOnceCostsFewRetries() {
        // One of 11 minions fails each task at once, so it always has free slots and draws ever more tasks. Callers see
        // no failed job: tasks are tried again elsewhere, and after two seconds hardly any go there at all.
        List<AgentId> agents = new ArrayList<>();
        for (int number = 0; number < 11; number++) {
            agents.add(driver.connect("agent" + number, 8));
        }
        int handled = 0;
        int failuresAfterTwoSeconds = 0;
        for (int step = 0; step < 2_000; step++) {
            driver.run("job" + step, 1, DispatcherDriver.repeatable());
            while (handled < driver.starts.size() - 20) {
                Start start = driver.start(handled++);
                boolean bad = driver.agentOf(start).equals(agents.getFirst());
                failuresAfterTwoSeconds += bad && step > 400 ? 1 : 0;
                driver.result(start, bad ? TaskStatus.TASK_STATUS_FAILED : TaskStatus.TASK_STATUS_DONE, "x");
            }
            driver.advance(Duration.ofMillis(5));
        }
        assertThat(failuresAfterTwoSeconds, lessThan(1_600 / 100));
        assertThat(driver.outcomes.values(), everyItem(instanceOf(JobOutcome.Complete.class)));
        assertThat(driver.lines, hasItem(containsString("event=quarantine service=routing agent=agent0@1")));
    }

    @Test
    void writesEachPlacementWithItsInputs() {
        driver.connect("a", 8);
        driver.run("job", 1, DispatcherDriver.once());
        assertThat(
                driver.lines.getFirst(),
                allOf(
                        containsString("event=placement job=job task=0"),
                        containsString("agent=a@1"),
                        containsString("policy=least-loaded-credits candidates=1"),
                        containsString("queue=0")));
    }

    @Test
    void snapshotCountsServicesTeamsAndAgents() {
        driver.connect("a", 2);
        driver.run("job", 5, DispatcherDriver.once());
        DispatchSnapshot snapshot = driver.dispatcher.snapshot();
        DispatchSnapshot.Counts counts = new DispatchSnapshot.Counts(3, 2);
        assertThat(snapshot.services().get(DispatcherDriver.SERVICE), equalTo(counts));
        assertThat(snapshot.teams().get("rangers"), equalTo(counts));
        assertThat(snapshot.agents().getFirst().own(), equalTo(2));
    }
}
