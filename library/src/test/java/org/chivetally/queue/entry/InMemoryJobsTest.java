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

    /** The log is down: unkept jobs don't need it, so their callers notice nothing. */
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

    /** The caller hangs up. Its work would go on for nobody, and keep others from the room; it is stopped at once. */
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
     * The worker is full until after the caller's time. The job is refused as not run as soon as it can't make it any
     * more, which is true, and the caller doesn't wait for the rest of its time in vain.
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
     * A caller sends a job while the entry stands still for three seconds, gives up and sends it to another entry,
     * which runs it. The entry wakes up and reads the first request, which looks new. Its tasks must not start beside
     * those.
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
     * An entry goes on after it stood still, and reads what has waited for half a second: its timers fire late. A
     * request that it reads at the end of that is as old as the first one, and its caller has sent it elsewhere. Once
     * the entry keeps up, it serves again.
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
     * A machine stays slow after its process stood still, and no timer fires in time. It serves again all the same when
     * what waited must have been read.
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
     * A job waits for room when its entry stands still. Its caller's connection breaks meanwhile and the job comes
     * again elsewhere; the entry hears of that only once it has read its sockets, and starts nothing before.
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
     * All power was lost and callers are back at once. One agent of many is linked so far, so what waits would take it
     * seconds; refused for that, callers would be turned away though the other agents come a moment later.
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

    /** The caller's time ends while its job runs: that it has not run can't be said, and its runs are stopped. */
    @Test
    void reportsAStartedJobAsUndecidedAtItsDeadline() {
        agents(1);
        List<JobAnswer> answers = cluster.submitInMemory(entry, Jobs.of(ID, 1), 1_000);
        cluster.advance(1_100);
        assertThat(answers, contains(instanceOf(JobAnswer.Undecided.class)));
        assertThat(cluster.running(ID), is(empty()));
    }

    /**
     * An agent is cut off with a run in progress. The run is started elsewhere, but never while the first one can still
     * be at work.
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
     * The entry gets SIGTERM, and a caller still sends it a job on an open connection. A job that would be cut off at
     * the end is refused at once as not run; a short one is served.
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

    /** The entry's time is over while a job runs: its caller is told so, instead of a connection that breaks. */
    @Test
    void answersWaitingCallersAtShutdown() {
        agents(1);
        List<JobAnswer> answers = cluster.submitInMemory(entry, Jobs.of(ID, 1), 5_000);
        cluster.advance(50);
        entry.inMemoryJobs().expireAll();
        assertThat(answers, contains(instanceOf(JobAnswer.Undecided.class)));
    }

    /**
     * Tasks on one worker stand still. Their runs are stopped once they are far over their estimates, and started again
     * on another worker, so that their callers still get an answer.
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
     * One of two minions is down while jobs come. They run on the other one at once, instead of going back and forth
     * between this entry and the agent whose worker looks empty.
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
