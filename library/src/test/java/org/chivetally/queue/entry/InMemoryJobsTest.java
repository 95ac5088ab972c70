package org.chivetally.queue.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.chivetally.queue.JobAnswer;
import org.chivetally.queue.JobPhase;
import org.chivetally.queue.Jobs;
import org.chivetally.queue.Room;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.log.ScriptedKeyedLog;
import org.junit.jupiter.api.Test;

/**
 * Jobs that are held in memory: callers get a true answer in time and no task runs twice when the log, processes or
 * links fail.
 */
class InMemoryJobsTest {
    private static final String ID = "00000000000000b1";
    private static final String OTHER = "00000000000000b2";

    private final Cluster cluster = new Cluster();
    private final EntryNode entry = cluster.entry("entry-1");

    private void agents(int count) {
        for (int number = 1; number <= count; number++) {
            cluster.agent("agent-" + number);
        }
        cluster.awaitLinks();
    }

    /** The caller gets the final phase, and the log is not used. */
    @Test
    void answersTheCallerWithTheOutcomeAndStoresNothing() {
        agents(1);
        List<JobAnswer> answers = cluster.submitInMemory(entry, Jobs.of(ID, 2), 2_000);
        cluster.advance(50);
        assertThat(answers, is(empty()));
        cluster.finish(ID, RunOutcome.DONE);
        assertThat(answers, contains(new JobAnswer.State(JobPhase.COMPLETED)));
        for (int partition = 0; partition < Cluster.PARTITIONS; partition++) {
            assertThat(cluster.stored(partition).keySet(), is(empty()));
        }
    }

    /** The log is down. In-memory jobs don't need it, so their callers are served as usual. */
    @Test
    void servesWhileTheLogIsDown() {
        agents(1);
        cluster.log.appendBehavior = ScriptedKeyedLog.AppendBehavior.SILENT;
        cluster.advance(5_000);
        List<JobAnswer> answers = cluster.submitInMemory(entry, Jobs.of(ID, 1), 2_000);
        cluster.advance(50);
        cluster.finish(ID, RunOutcome.DONE);
        assertThat(answers, contains(new JobAnswer.State(JobPhase.COMPLETED)));
    }

    /** A caller submits a job that is already running. The tasks run once, and both callers get the outcome. */
    @Test
    void runsTheSameIdOnceWhileItIsInProgress() {
        agents(1);
        List<JobAnswer> first = cluster.submitInMemory(entry, Jobs.of(ID, 1), 2_000);
        List<JobAnswer> again = cluster.submitInMemory(entry, Jobs.of(ID, 1), 2_000);
        cluster.advance(50);
        assertThat(cluster.running(ID), hasSize(1));
        cluster.finish(ID, RunOutcome.DONE);
        assertThat(first, contains(new JobAnswer.State(JobPhase.COMPLETED)));
        assertThat(again, contains(new JobAnswer.State(JobPhase.COMPLETED)));
    }

    /** The caller disconnects. Its runs would take room from others for no purpose, and are stopped at once. */
    @Test
    void stopsTheRunsOfADisconnectedCaller() {
        agents(1);
        List<JobAnswer> answers = new ArrayList<>();
        Consumer<JobAnswer> caller = answers::add;
        entry.inMemoryJobs().submit(Jobs.of(ID, 1), cluster.timers.nanos() + 2_000_000_000L, caller);
        cluster.advance(50);
        entry.inMemoryJobs().callerDisconnected(ID, caller);
        cluster.advance(50);
        assertThat(cluster.running(ID), is(empty()));
        assertThat(entry.inMemoryJobs().size(), is(0));
    }

    /**
     * The worker has no room until after the caller's deadline. The job is refused as not run as soon as it can no
     * longer meet the deadline, so that its caller doesn't wait longer in vain.
     */
    @Test
    void refusesAWaitingJobOnceItCannotMeetItsDeadline() {
        agents(1);
        cluster.submitInMemory(entry, Jobs.of(OTHER, 2, 0, 5_000), 9_000);
        cluster.advance(50);
        List<JobAnswer> answers = cluster.submitInMemory(entry, Jobs.of(ID, 1, 0, 400), 1_000);
        cluster.advance(550);
        assertThat(answers, is(empty()));
        cluster.advance(400);
        assertThat(answers, contains(instanceOf(JobAnswer.Refused.class)));
        assertThat(cluster.running(ID), is(empty()));
    }

    /**
     * A caller submits a job while the entry is suspended for three seconds, times out and submits it to another entry,
     * which runs it. The entry resumes and reads the first request, which looks new. Its tasks must not start.
     */
    @Test
    void startsNothingReadJustAfterASuspension() {
        agents(1);
        cluster.advance(2_000);
        cluster.timers.stall(Duration.ofSeconds(3));
        List<JobAnswer> answers = cluster.submitInMemory(entry, Jobs.of(ID, 1), 2_000);
        assertThat(answers, contains(instanceOf(JobAnswer.Refused.class)));
        cluster.advance(200);
        assertThat(cluster.running(ID), is(empty()));
        cluster.advance(800);
        cluster.submitInMemory(entry, Jobs.of(OTHER, 1), 2_000);
        cluster.advance(50);
        assertThat(cluster.running(OTHER), hasSize(1));
    }

    /**
     * After a suspension the entry needs 0.5 s to read the queued requests, and its timers fire late. A request read at
     * the end of this time is as stale as the first one. The entry serves again once its timers are punctual.
     */
    @Test
    void startsNothingWhileReadingQueuedRequests() {
        agents(1);
        cluster.advance(2_000);
        cluster.timers.stall(Duration.ofSeconds(3));
        cluster.advance(1);
        for (int step = 0; step < 6; step++) {
            cluster.timers.stall(Duration.ofMillis(90));
            cluster.advance(1);
        }
        List<JobAnswer> answers = cluster.submitInMemory(entry, Jobs.of(ID, 1), 2_000);
        assertThat(answers, contains(instanceOf(JobAnswer.Refused.class)));
        cluster.advance(400);
        cluster.submitInMemory(entry, Jobs.of(OTHER, 1), 2_000);
        cluster.advance(50);
        assertThat(cluster.running(OTHER), hasSize(1));
    }

    /**
     * A machine stays slow after a suspension, and no timer is punctual. The entry must serve again nevertheless, after
     * the time in which it has read all queued requests.
     */
    @Test
    void servesAgainOnAMachineThatStaysSlow() {
        agents(1);
        cluster.advance(2_000);
        cluster.timers.stall(Duration.ofSeconds(3));
        cluster.advance(1);
        for (int step = 0; step < 24; step++) {
            cluster.timers.stall(Duration.ofMillis(90));
            cluster.advance(1);
        }
        List<JobAnswer> answers = cluster.submitInMemory(entry, Jobs.of(ID, 1), 2_000);
        assertThat(answers, is(empty()));
    }

    /**
     * A job waits for room when its entry is suspended. Meanwhile the caller's connection breaks, and the job is
     * submitted elsewhere. The entry detects this only when it has read its sockets, and must not start the job before.
     */
    @Test
    void startsNoWaitingJobBeforeItsSocketsAreRead() {
        agents(1);
        cluster.submitInMemory(entry, Jobs.of(OTHER, 2, 0, 5_000), 9_000);
        cluster.advance(50);
        List<JobAnswer> answers = new ArrayList<>();
        Consumer<JobAnswer> caller = answers::add;
        entry.inMemoryJobs().submit(Jobs.of(ID, 1, 0, 1_000), cluster.timers.nanos() + 9_000_000_000L, caller);
        cluster.advance(50);
        cluster.finish(OTHER, RunOutcome.DONE);
        cluster.timers.stall(Duration.ofSeconds(1));
        cluster.advance(100);
        assertThat(cluster.running(ID), is(empty()));
        entry.inMemoryJobs().callerDisconnected(ID, caller);
        cluster.advance(1_000);
        assertThat(cluster.running(ID), is(empty()));
    }

    /**
     * After a power loss callers are back at once, but only one of many agents is connected. With this agent alone the
     * backlog would take seconds. No job may be refused for it, as the other agents connect a moment later.
     */
    @Test
    void refusesNothingWhileAgentsAreConnecting() {
        cluster.agent("agent-1");
        cluster.advance(700);
        List<JobAnswer> answers = new ArrayList<>();
        for (int number = 0; number < 40; number++) {
            answers.addAll(cluster.submitInMemory(entry, Jobs.of("00000000000001" + (10 + number), 4), 2_000));
        }
        assertThat(answers, is(empty()));
    }

    /**
     * The caller's deadline passes while its job runs. The answer must not be that the job has not run, and the runs
     * are stopped.
     */
    @Test
    void reportsAStartedJobAsUndecidedAtItsDeadline() {
        agents(1);
        List<JobAnswer> answers = cluster.submitInMemory(entry, Jobs.of(ID, 1), 1_000);
        cluster.advance(1_100);
        assertThat(answers, contains(instanceOf(JobAnswer.Undecided.class)));
        assertThat(cluster.running(ID), is(empty()));
    }

    /**
     * An agent with a run in progress is cut off. The run is started elsewhere, but not while the first one may be
     * running.
     */
    @Test
    void movesTheRunsOfALostAgentWithoutRunningThemTwice() {
        agents(2);
        List<JobAnswer> answers = cluster.submitInMemory(entry, Jobs.of(ID, 1), 9_000);
        cluster.advance(50);
        String agent = cluster.minions.entrySet().stream()
                .filter(known -> !known.getValue().running.isEmpty())
                .findFirst()
                .orElseThrow()
                .getKey();
        cluster.network.setCut("entry-1", agent, true);
        for (int step = 0; step < 350; step++) {
            cluster.advance(10);
            assertThat(cluster.running(ID).size() <= 1, is(true));
        }
        assertThat(cluster.running(ID), hasSize(1));
        cluster.finish(ID, RunOutcome.DONE);
        assertThat(answers, contains(new JobAnswer.State(JobPhase.COMPLETED)));
    }

    /** A task fails. It is tried once more on another worker, and its second failure fails the job. */
    @Test
    void retriesAFailedTaskOnAnotherWorker() {
        agents(2);
        List<JobAnswer> answers = cluster.submitInMemory(entry, Jobs.of(ID, 1), 9_000);
        cluster.advance(50);
        var first = cluster.minionRunning(ID).orElseThrow();
        cluster.finish(ID, RunOutcome.FAILED);
        assertThat(cluster.minionRunning(ID).orElseThrow() != first, is(true));
        cluster.finish(ID, RunOutcome.FAILED);
        assertThat(answers, contains(new JobAnswer.State(JobPhase.FAILED)));
    }

    /**
     * The entry has received SIGTERM, and a caller submits jobs on an open connection. A job that would be cut off by
     * the shutdown is refused as not run; a short one is served.
     */
    @Test
    void acceptsOnlyJobsThatEndBeforeShutdown() {
        agents(1);
        entry.inMemoryJobs().stopAt(cluster.timers.nanos() + 1_000_000_000L);
        List<JobAnswer> longer = cluster.submitInMemory(entry, Jobs.of(ID, 1, 0, 700), 5_000);
        List<JobAnswer> shorter = cluster.submitInMemory(entry, Jobs.of(OTHER, 1, 0, 100), 5_000);
        assertThat(longer, contains(instanceOf(JobAnswer.Refused.class)));
        cluster.advance(50);
        cluster.finish(OTHER, RunOutcome.DONE);
        assertThat(shorter, contains(new JobAnswer.State(JobPhase.COMPLETED)));
    }

    /** The entry stops while a job runs. Its caller gets an answer instead of a broken connection. */
    @Test
    void answersWaitingCallersAtShutdown() {
        agents(1);
        List<JobAnswer> answers = cluster.submitInMemory(entry, Jobs.of(ID, 1), 5_000);
        cluster.advance(50);
        entry.inMemoryJobs().expireAll();
        assertThat(answers, contains(instanceOf(JobAnswer.Undecided.class)));
    }

    /**
     * The tasks on one worker stall. Their runs are stopped when they exceed their estimates by far, and are started
     * again on another worker, so that their callers get an answer.
     */
    @Test
    void movesRunsFromAStalledWorker() {
        cluster.capacity = new Room(36_000, 10_000, 0);
        agents(3);
        List<String> ids = new ArrayList<>();
        List<List<JobAnswer>> answers = new ArrayList<>();
        for (int job = 0; job < 12; job++) {
            ids.add("00000000000000%02x".formatted(job));
            answers.add(cluster.submitInMemory(entry, Jobs.of(ids.getLast(), 1, 0, 100), 9_000));
        }
        cluster.advance(50);
        var stalled = cluster.minions.get("agent-1");
        assertThat(stalled.running.keySet(), hasSize(4));
        for (var minion : cluster.minions.values()) {
            if (minion != stalled) {
                List.copyOf(minion.running.keySet()).forEach(run -> minion.end(run, RunOutcome.DONE));
            }
        }
        cluster.advance(900);
        assertThat(stalled.running.keySet(), is(empty()));
        ids.forEach(id -> cluster.finish(id, RunOutcome.DONE));
        for (List<JobAnswer> answer : answers) {
            assertThat(answer, contains(new JobAnswer.State(JobPhase.COMPLETED)));
        }
    }

    /**
     * One of two minions is down. Jobs must run on the other one at once. The worker of the failed minion looks empty,
     * so that starts could be sent to its agent again and again.
     */
    @Test
    void runsJobsElsewhereWhileAMinionIsDown() {
        agents(2);
        cluster.minions.get("agent-1").down = true;
        List<JobAnswer> first = cluster.submitInMemory(entry, Jobs.of(ID, 1), 2_000);
        List<JobAnswer> second = cluster.submitInMemory(entry, Jobs.of(OTHER, 1), 2_000);
        cluster.advance(30);
        assertThat(cluster.minions.get("agent-1").starts.size() <= 2, is(true));
        cluster.finish(ID, RunOutcome.DONE);
        cluster.finish(OTHER, RunOutcome.DONE);
        assertThat(first, contains(new JobAnswer.State(JobPhase.COMPLETED)));
        assertThat(second, contains(new JobAnswer.State(JobPhase.COMPLETED)));
    }
}
