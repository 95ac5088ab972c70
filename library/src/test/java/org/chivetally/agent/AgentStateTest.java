package org.chivetally.agent;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.chivetally.transport.FrameTransport;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Heartbeat;
import org.chivetally.wire.v1.Hello;
import org.chivetally.wire.v1.Report;
import org.chivetally.wire.v1.Start;
import org.chivetally.wire.v1.TaskStatus;
import org.junit.jupiter.api.Test;

class AgentStateTest {
    private static final PeerId PEER = AgentFixture.PEER;
    private static final PeerId SECOND_PEER = new PeerId(2);
    private static final String DISCARDED = "UNKNOWN " + AgentState.RESULT_DISCARDED;

    private final AgentFixture agent = new AgentFixture();

    @Test
    void runsAsManyTasksAsSlotsAndQueuesTheNextInOrder() {
        agent.requestStarts("a", "b", "c", "d");
        assertThat(agent.runs(), contains("a", "b"));
        agent.succeed("b");
        agent.succeed("a");
        assertThat(agent.runs(), contains("a", "b", "c", "d"));
        assertThat(agent.results(), contains("b DONE \"of b\"", "a DONE \"of a\""));
        assertThat(agent.lastFrame().getRequestId(), is(77L));
    }

    @Test
    void connectionsLimitTheRunnableTasks() {
        assertThat(new MinionCapacity(8, 5, 0, 0, 0).runnableTasks(), is(4));
    }

    @Test
    void resultReportsCountTheLoadAfterTheResult() {
        agent.requestStarts("a", "b", "c");
        agent.succeed("a");
        Report report = agent.lastFrame().getResult().getReport();
        assertThat(List.of(report.getFreeSlots(), report.getRunning(), report.getQueued()), contains(0, 2, 0));
        long sequence = report.getSequence();
        agent.succeed("b");
        report = agent.lastFrame().getResult().getReport();
        assertThat(List.of(report.getFreeSlots(), report.getRunning(), report.getQueued()), contains(1, 1, 0));
        assertThat(sequence, lessThan(report.getSequence()));
    }

    @Test
    void refusesStartsBeyondTheQueueBound() {
        agent.requestStarts("a", "b", "c", "d", "e");
        assertThat(agent.refusals(), contains("e FULL"));
        agent.succeed("a");
        agent.requestStart(agent.start("f", "j", 0).setQueueMillis(0));
        assertThat(agent.refusals(), contains("e FULL", "f FULL"));
    }

    @Test
    void refusesAWaitingTaskAfterItsQueueTime() {
        agent.requestStarts("a", "b");
        agent.requestStart(agent.start("c", "j", 0).setQueueMillis(300));
        agent.advance(Duration.ofMillis(299));
        assertThat(agent.refusals(), empty());
        agent.advance(Duration.ofMillis(1));
        assertThat(agent.refusals(), contains("c EXPIRED"));
        agent.succeed("a");
        assertThat(agent.runs(), contains("a", "b"));
    }

    /**
     * What the caller sees: a task refused as expired never runs late, also when the agent's process was paused. The
     * process stops with a task waiting and resumes minutes later. The minion's answer is the first event, before any
     * tick, and frees a slot; the waiting task's time is looked at once more before it would start.
     */
    @Test
    void refusesTasksThatExpiredWhileTheAgentWasPaused() {
        agent.requestStarts("a", "b", "c");
        agent.advanceWithoutTick(Duration.ofMinutes(3));
        agent.succeed("a");
        assertThat(agent.runs(), contains("a", "b"));
        assertThat(agent.refusals(), contains("c EXPIRED"));
    }

    @Test
    void refusesOtherServicesAndTasksThatNeverFit() {
        agent.requestStart(agent.start("a", "j", 0).setService("other"));
        agent.requestStart(agent.start("b", "j", 0).setProcessorMillis(4_001));
        agent.requestStart(agent.start("c", "j", 0).setMemoryBytes(1_000_001));
        agent.requestStart(agent.start("d", "j", 0).setAccelerators(1));
        assertThat(agent.refusals(), contains("a WRONG_SERVICE", "b TOO_LARGE", "c TOO_LARGE", "d TOO_LARGE"));
    }

    /**
     * What the caller sees: its task starts once, although the start is delivered minutes late. A start is stuck in a
     * silent connection; the coordinator has the task run elsewhere. The connection delivers the start in the end. Its
     * ticket is older than three seconds by the agent's own clock.
     */
    @Test
    void refusesAStartThatWasDelayedForMinutes() {
        Start.Builder delayed = agent.start("a", "j", 0);
        agent.advance(Duration.ofMinutes(4));
        agent.requestStart(delayed);
        assertThat(agent.refusals(), contains("a STALE_TICKET"));
        assertThat(agent.runs(), empty());
    }

    @Test
    void admitsATicketOfExactlyTheLongestAge() {
        Start.Builder inTime = agent.start("a", "j", 0);
        Start.Builder late = agent.start("b", "k", 0);
        agent.advance(Duration.ofMillis(3_000));
        agent.requestStart(inTime);
        agent.advance(Duration.ofMillis(1));
        agent.requestStart(late);
        assertThat(agent.runs(), contains("a"));
        assertThat(agent.refusals(), contains("b STALE_TICKET"));
    }

    @Test
    void refusesTicketsOfTheFutureAndOfOtherIncarnations() {
        agent.requestStart(agent.start("a", "j", 0).setTicket(agent.ticket() + 1));
        agent.requestStart(agent.start("b", "j", 1).setTicket(0));
        AgentState earlier = new AgentState(
                AgentFixture.settings(AgentFixture.LIMITS), Hello.getDefaultInstance(), 0x1234_0000_0000_0000L, 0);
        AgentEffect.SendTo hello = (AgentEffect.SendTo)
                earlier.apply(new AgentEvent.PeerConnected(PEER), 0).getFirst();
        long foreign = hello.frame().getHello().getReport().getTicket();
        agent.requestStart(agent.start("c", "j", 2).setTicket(foreign));
        assertThat(agent.refusals(), contains("a STALE_TICKET", "b STALE_TICKET", "c STALE_TICKET"));
    }

    /**
     * What the caller sees: the job's tasks run once, though its first coordinator wakes from a pause. Another entry
     * takes the job over and inquires with generation 2; what waits here for the first is refused. The paused one
     * resumes and sends starts of generation 1, with fresh tickets: all refused, by the job's floor.
     */
    @Test
    void refusesStartsOfASupersededCoordinator() {
        agent.requestStarts("x", "y");
        agent.requestStart(agent.start("a", "j", 0));
        agent.connectPeer(SECOND_PEER, "entry-2");
        agent.inquire(SECOND_PEER, "j", 2);
        assertThat(agent.refusals(), contains("a OLD_GENERATION"));
        assertThat(agent.lastInquiryAnswer(), empty());
        agent.requestStart(agent.start("b", "j", 1));
        assertThat(agent.refusals(), hasItem("b OLD_GENERATION"));
        agent.requestStart(SECOND_PEER, agent.start("c", "j", 0).setGeneration(2));
        agent.succeed("x");
        assertThat(agent.runs(), contains("x", "y", "c"));
        agent.inquire(PEER, "j", 1);
        assertThat(agent.wasted(), contains(AgentEffect.WasteKind.OLD_INQUIRY));
    }

    /**
     * What the caller sees: one start of its task, although a connection delivered a frame a second late. The
     * coordinator's connection goes silent with a start in it; over a new one it asks about the job. The agent answers
     * "not known", so the coordinator starts the task elsewhere. Then the old frame arrives, with a ticket of under
     * three seconds and the right generation; it was issued before the inquiry, and is refused.
     */
    @Test
    void refusesAStartThatWasSentBeforeAnInquiry() {
        Start.Builder late = agent.start("a", "j", 0);
        Start.Builder unrelated = agent.start("b", "k", 0);
        agent.connectPeer(SECOND_PEER, "entry-1");
        agent.inquire(SECOND_PEER, "j", 1);
        assertThat(agent.lastInquiryAnswer(), empty());
        agent.requestStart(late);
        agent.requestStart(unrelated);
        assertThat(agent.refusals(), contains("a STALE_TICKET"));
        agent.requestStart(SECOND_PEER, agent.start("c", "j", 0));
        assertThat(agent.runs(), contains("b", "c"));
    }

    @Test
    void startsAnAttemptOnceAndAnswersItsRepeats() {
        Start.Builder start = agent.start("a", "j", 0);
        agent.requestStart(start);
        agent.requestStart(start);
        agent.succeed("a");
        agent.advance(Duration.ofMinutes(4));
        agent.requestStart(start);
        assertThat(agent.runs(), contains("a"));
        assertThat(agent.results(), contains("a DONE \"of a\"", "a DONE \"of a\""));
        assertThat(agent.refusals(), empty());
    }

    @Test
    void repeatsTheRefusalOfARefusedAttempt() {
        agent.requestStarts("x", "y");
        Start.Builder start = agent.start("a", "j", 0).setQueueMillis(0);
        agent.requestStart(start);
        agent.succeed("x");
        agent.requestStart(start);
        assertThat(agent.refusals(), contains("a FULL", "a FULL"));
        assertThat(agent.runs(), contains("x", "y"));
    }

    /**
     * What the caller sees: its offer is sent once, although two coordinators ask for it. The second one's attempt has
     * an id of its own, so only the job and the task tell that it is the same work. While the first runs the second is
     * refused; afterwards it gets the kept result of the first.
     */
    @Test
    void startsANonIdempotentTaskOnce() {
        agent.requestStart(agent.start("a", "j", 0));
        agent.requestStart(agent.start("b", "j", 0));
        agent.answer("a", new MinionAnswer.Failure("no such plot"));
        agent.requestStart(agent.start("c", "j", 0));
        assertThat(agent.refusals(), contains("b ALREADY_STARTED"));
        assertThat(agent.results(), contains("a FAILED no such plot", "c FAILED no such plot"));
        assertThat(agent.runs(), contains("a"));
    }

    @Test
    void runsAnIdempotentTaskAgainOnlyAfterAFailure() {
        agent.requestStart(agent.start("a", "j", 0).setIdempotent(true));
        agent.requestStart(agent.start("b", "j", 0).setIdempotent(true));
        agent.answer("a", new MinionAnswer.Lost("connection lost"));
        agent.requestStart(agent.start("c", "j", 0).setIdempotent(true));
        agent.succeed("c");
        agent.requestStart(agent.start("d", "j", 0).setIdempotent(true));
        assertThat(agent.runs(), contains("a", "c"));
        assertThat(agent.refusals(), contains("b ALREADY_STARTED"));
        assertThat(agent.results(), contains("a UNKNOWN connection lost", "c DONE \"of c\"", "d DONE \"of c\""));
    }

    @Test
    void inquiryReturnsTheEarlierAttemptWhenTheLaterNeverRan() {
        agent.requestStart(agent.start("a", "j", 0).setIdempotent(true));
        agent.answer("a", new MinionAnswer.Lost("connection lost"));
        agent.requestStarts("x", "y");
        agent.requestStart(agent.start("b", "j", 0).setIdempotent(true).setQueueMillis(10));
        agent.advance(Duration.ofMillis(10));
        agent.inquire(PEER, "j", 1);
        assertThat(agent.refusals(), contains("b EXPIRED"));
        assertThat(agent.lastInquiryAnswer(), contains("a UNKNOWN connection lost"));
    }

    @Test
    void distinguishesRefusedFromUnknownTasks() {
        agent.requestStart(agent.start("a", "j", 0));
        agent.answer("a", new MinionAnswer.Declined());
        agent.requestStart(agent.start("b", "j", 0));
        agent.answer("b", new MinionAnswer.NotSent("connection refused"));
        agent.requestStart(agent.start("c", "j", 0));
        agent.answer("c", new MinionAnswer.Lost("connection reset"));
        assertThat(agent.refusals(), contains("a FULL", "b MINION_DOWN"));
        assertThat(agent.results(), contains("c UNKNOWN connection reset"));
    }

    @Test
    void reservesASlotAfterADeclinedTaskUntilTheNextReport() {
        agent.requestStarts("a", "b", "c");
        agent.answer("a", new MinionAnswer.Declined());
        assertThat(agent.runs(), contains("a", "b"));
        agent.report(true, false, 1);
        assertThat(agent.runs(), contains("a", "b", "c"));
    }

    /**
     * What the caller sees: a clear "unknown" when its attempt took longer than the lease, not silence. The minion
     * hangs; at the lease's end the agent breaks the request off and reports the attempt as unknown. The minion may
     * still work on it, so its slot is not given to the next task before the minion reports it free.
     */
    @Test
    void endsAnAttemptWhenItsLeaseExpires() {
        agent.requestStarts("a", "b", "c");
        agent.advance(Duration.ofMillis(4_999));
        agent.requestStart(agent.start("d", "j", 0));
        agent.advance(Duration.ofMillis(5_001));
        assertThat(agent.abandoned(), contains("a", "b"));
        assertThat(agent.results(), contains("a UNKNOWN attempt lease over", "b UNKNOWN attempt lease over"));
        assertThat(agent.refusals(), contains("c EXPIRED", "d EXPIRED"));
        agent.requestStarts("e");
        agent.succeed("a");
        assertThat(agent.wasted(), contains(AgentEffect.WasteKind.LATE_ANSWER));
        assertThat(agent.runs(), contains("a", "b"));
        agent.report(true, false, 1);
        assertThat(agent.runs(), contains("a", "b", "e"));
    }

    /**
     * What the caller sees: a task that fails because all slots are taken. The minion still works on an attempt whose
     * lease is over. It counts its runs, then the agent starts another task, and only then the report arrives. Its one
     * run is the abandoned one, not the new one, so no slot may be given away by it.
     */
    @Test
    void aRunStartedAfterTheReportDoesNotHideAnAbandonedOne() {
        agent.requestStart(agent.start("a", "j", 0).setLeaseMillis(1_000));
        agent.advance(Duration.ofMillis(1_000));
        long asked = agent.now();
        agent.advanceWithoutTick(Duration.ofMillis(1));
        agent.requestStarts("b", "c");
        agent.reportRequestedAt(asked, true, false, 1);
        assertThat(agent.runs(), contains("a", "b"));
        agent.report(true, false, 1);
        assertThat(agent.runs(), contains("a", "b", "c"));
    }

    @Test
    void cancelDropsWaitingTasksOfTheSameProcessOnly() {
        agent.connectPeer(SECOND_PEER, "entry-2");
        agent.requestStart(agent.start("a", "j", 0));
        agent.requestStart(agent.start("x", "k", 0));
        agent.requestStart(agent.start("b", "j", 1));
        agent.requestStart(SECOND_PEER, agent.start("c", "j", 2));
        agent.apply(new AgentEvent.CancelRequested(PEER, List.of("j", "unknown")));
        assertThat(agent.refusals(), contains("b CANCELLED"));
        agent.succeed("a");
        assertThat(agent.runs(), contains("a", "x", "c"));
        assertThat(agent.results(), contains("a DONE \"of a\""));
    }

    /**
     * What the caller sees: a planned stop cuts no request. Peers hear of the leave first, then waiting tasks are
     * refused as not run, and new ones too. Running tasks finish. The stop waits a little longer, so that a result lost
     * on the way can be asked for.
     */
    @Test
    void drainsWithoutCuttingARequest() {
        agent.requestStarts("a", "b", "c");
        int before = agent.frames().size();
        agent.apply(new AgentEvent.DrainRequested("replaced"));
        assertThat(agent.frames().get(before).getLeaving().getReason(), is("replaced"));
        agent.requestStarts("d");
        assertThat(agent.refusals(), contains("c DRAINING", "d DRAINING"));
        agent.succeed("a");
        agent.requestStarts("e");
        assertThat(agent.refusals(), hasItem("e DRAINING"));
        agent.advance(Duration.ofSeconds(3));
        agent.succeed("b");
        agent.advance(Duration.ofMillis(1_999));
        assertThat(agent.readyToStop(), is(false));
        agent.inquire(PEER, "job-of-b", 1);
        assertThat(agent.lastInquiryAnswer(), contains("b DONE \"of b\""));
        agent.advance(Duration.ofMillis(1));
        assertThat(agent.readyToStop(), is(true));
    }

    @Test
    void anIdleAgentStopsAtOnce() {
        agent.apply(new AgentEvent.DrainRequested("replaced"));
        assertThat(agent.readyToStop(), is(true));
    }

    @Test
    void refusesStartsWhileTheMinionIsDraining() {
        agent.requestStarts("a", "b", "c");
        agent.report(true, true, 2);
        assertThat(agent.lastFrame().getHeartbeat().getReport().getDraining(), is(true));
        agent.requestStarts("d");
        assertThat(agent.refusals(), contains("c DRAINING", "d DRAINING"));
        agent.report(true, false, 2);
        agent.succeed("a");
        agent.requestStarts("e");
        assertThat(agent.runs(), contains("a", "b", "e"));
    }

    @Test
    void refusesWhileTheMinionIsDown() {
        agent.requestStarts("a", "b", "c");
        agent.answer("a", new MinionAnswer.NotSent("connection refused"));
        agent.apply(new AgentEvent.MinionReported(new MinionState.Unreachable("connection refused"), agent.now()));
        agent.requestStarts("d");
        assertThat(agent.refusals(), contains("a MINION_DOWN", "d MINION_DOWN"));
        assertThat(agent.lastFrame().getRefusal().getReport().getMinionUnhealthy(), is(true));
        agent.report(false, false, 0);
        agent.requestStarts("e");
        agent.report(true, false, 0);
        agent.succeed("b");
        agent.requestStarts("f");
        assertThat(agent.refusals(), contains("a MINION_DOWN", "d MINION_DOWN", "e MINION_DOWN"));
        assertThat(agent.runs(), contains("a", "b", "c", "f"));
    }

    @Test
    void removesResultsAfterTheRetention() {
        agent.requestStarts("a");
        agent.succeed("a");
        agent.advance(Duration.ofMinutes(5).minusMillis(1));
        agent.inquire(PEER, "job-of-a", 1);
        assertThat(agent.lastInquiryAnswer(), contains("a DONE \"of a\""));
        agent.advance(Duration.ofMillis(1));
        agent.inquire(PEER, "job-of-a", 1);
        assertThat(agent.lastInquiryAnswer(), empty());
        assertThat(agent.state().retainedBytes(), is(0L));
    }

    @Test
    void discardsTheOldestResultsForSpaceButKeepsTheirAttempts() {
        AgentFixture small = new AgentFixture(AgentFixture.limits(20));
        Start.Builder start = small.start("a", "job-of-a", 0);
        small.requestStart(start);
        small.succeed("a");
        small.requestStarts("b", "c");
        small.succeed("b");
        small.succeed("c");
        small.requestStart(start);
        small.requestStart(small.start("d", "job-of-a", 0));
        small.inquire(PEER, "job-of-a", 1);
        assertThat(small.runs(), contains("a", "b", "c"));
        assertThat(small.results().subList(3, 5), contains("a " + DISCARDED, "d " + DISCARDED));
        assertThat(small.lastInquiryAnswer(), contains("a " + DISCARDED));
        assertThat(small.state().retainedBytes(), lessThan(21L));
    }

    @Test
    void answersOverANewerConnectionOfTheSameProcess() {
        agent.requestStarts("a");
        agent.connectPeer(SECOND_PEER, "entry-1");
        agent.connectPeer(new PeerId(3), "entry-2");
        agent.apply(new AgentEvent.PeerDisconnected(PEER));
        agent.succeed("a");
        assertThat(agent.results(), contains("a DONE \"of a\""));
        assertThat(agent.lastRecipient(), is(SECOND_PEER));
    }

    @Test
    void anInquiryMovesLaterResultsToItsConnection() {
        agent.requestStarts("a");
        agent.connectPeer(SECOND_PEER, "entry-2");
        agent.inquire(SECOND_PEER, "job-of-a", 2);
        assertThat(agent.lastInquiryAnswer(), contains("a RUNNING "));
        agent.succeed("a");
        assertThat(agent.lastRecipient(), is(SECOND_PEER));
        assertThat(agent.lastFrame().getRequestId(), is(0L));
    }

    @Test
    void retainsAResultThatCannotBeDelivered() {
        agent.requestStarts("a");
        agent.apply(new AgentEvent.PeerDisconnected(PEER));
        agent.succeed("a");
        assertThat(agent.wasted(), contains(AgentEffect.WasteKind.UNDELIVERED));
        agent.connectPeer(SECOND_PEER, "entry-1");
        agent.inquire(SECOND_PEER, "job-of-a", 1);
        assertThat(agent.lastInquiryAnswer(), contains("a DONE \"of a\""));
    }

    /**
     * What the caller sees: a takeover collects every result, however large they are together. One frame can't hold
     * them all; an answer cut short would make the missing tasks look as if they never started. So tasks whose results
     * don't fit are said to run, and each result follows in a frame of its own.
     */
    @Test
    void anInquiryAnswerStaysUnderTheLongestFrame() {
        AgentFixture large = new AgentFixture(AgentFixture.limits(100_000_000));
        String body = "\"" + "x".repeat(1_000_000) + "\"";
        for (int task = 0; task < 10; task++) {
            large.requestStart(large.start("a" + task, "j", task));
            large.answer("a" + task, new MinionAnswer.Success(body));
        }
        int before = large.frames().size();
        large.inquire(PEER, "j", 2);
        List<Frame> sent = large.frames().subList(before, large.frames().size());
        List<TaskStatus> listed = sent.getFirst().getInquiryAnswer().getTasksList().stream()
                .map(task -> task.getStatus())
                .toList();
        assertThat(listed.size(), is(10));
        assertThat(
                listed.subList(0, 3),
                contains(IntStream.range(0, 3)
                        .mapToObj(n -> TaskStatus.TASK_STATUS_DONE)
                        .toArray()));
        assertThat(listed.subList(3, 10).stream().distinct().toList(), contains(TaskStatus.TASK_STATUS_RUNNING));
        assertThat(large.results().subList(10, 17).getFirst(), is("a3 DONE " + body));
        for (Frame frame : sent) {
            assertThat(frame.getSerializedSize(), lessThan(FrameTransport.MAXIMUM_FRAME_BYTES));
        }
    }

    /**
     * What operators see: a backend server that they declare as draining gets nothing new within moments, its running
     * tasks finish, and it gets work again once the declaration is taken back. Each connected entry hears of the
     * version at once; one that did not would push it again.
     */
    @Test
    void refusesStartsWhileTheBackendServerIsDeclaredDraining() {
        agent.requestStarts("a");
        agent.apply(new AgentEvent.Configured(new AgentConfiguration(3, true)));
        Heartbeat told = agent.lastFrame().getHeartbeat();
        assertThat(told.getConfigurationVersion(), is(3L));
        assertThat(told.getReport().getDraining(), is(true));
        agent.requestStarts("b");
        assertThat(agent.refusals(), contains("b DRAINING"));
        agent.succeed("a");
        assertThat(agent.results(), contains("a DONE \"of a\""));
        agent.apply(new AgentEvent.Configured(new AgentConfiguration(2, true)));
        agent.apply(new AgentEvent.Configured(new AgentConfiguration(4, false)));
        agent.requestStarts("c");
        assertThat(agent.runs(), contains("a", "c"));
    }
}
