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

/** Tests the decisions of an agent with two slots and a queue of two tasks, on a manual clock. */
class AgentStateTest {
    private static final PeerId PEER = AgentFixture.PEER;
    private static final PeerId SECOND_PEER = new PeerId(2);
    private static final String DISCARDED = "UNKNOWN " + AgentState.RESULT_DISCARDED;

    private final AgentFixture agent = new AgentFixture();

    /** Guards against more runs than slots, and against waiting tasks that overtake each other. */
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

    /** Guards against tasks that use the connection reserved for reading the minion's state. */
    @Test
    void connectionsLimitTheRunnableTasks() {
        assertThat(new MinionCapacity(8, 5, 0, 0, 0).runnableTasks(), is(4));
    }

    /** Guards against a report that counts the slot as free although the next waiting task already uses it. */
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

    /** Guards against an unbounded queue, and against queueing a start that must not wait. */
    @Test
    void refusesStartsBeyondTheQueueBound() {
        agent.requestStarts("a", "b", "c", "d", "e");
        assertThat(agent.refusals(), contains("e FULL"));
        agent.succeed("a");
        agent.requestStart(agent.start("f", "j", 0).setQueueMillis(0));
        assertThat(agent.refusals(), contains("e FULL", "f FULL"));
    }

    /** Guards against a run that starts after the coordinator's queue time, and against an early refusal. */
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
     * Guards against starting an expired task after the agent's process was paused. The process is paused while a task
     * waits. After it resumes, the minion's answer frees a slot before any tick, so the queue time must also be checked
     * before the start.
     */
    @Test
    void refusesTasksThatExpiredWhileTheAgentWasPaused() {
        agent.requestStarts("a", "b", "c");
        agent.advanceWithoutTick(Duration.ofMinutes(3));
        agent.succeed("a");
        assertThat(agent.runs(), contains("a", "b"));
        assertThat(agent.refusals(), contains("c EXPIRED"));
    }

    /** Guards against tasks that the minion can't run: those of another service or with too large requirements. */
    @Test
    void refusesOtherServicesAndTasksThatCannotFit() {
        agent.requestStart(agent.start("a", "j", 0).setService("other"));
        agent.requestStart(agent.start("b", "j", 0).setProcessorMillis(4_001));
        agent.requestStart(agent.start("c", "j", 0).setMemoryBytes(1_000_001));
        agent.requestStart(agent.start("d", "j", 0).setAccelerators(1));
        assertThat(agent.refusals(), contains("a WRONG_SERVICE", "b TOO_LARGE", "c TOO_LARGE", "d TOO_LARGE"));
    }

    /**
     * Guards against a second run by a start that is delivered minutes late. The start is delayed in a stalled
     * connection while the coordinator has the task run elsewhere. Its ticket is then older than three seconds by the
     * agent's clock.
     */
    @Test
    void refusesAStartThatWasDelayedForMinutes() {
        Start.Builder delayed = agent.start("a", "j", 0);
        agent.advance(Duration.ofMinutes(4));
        agent.requestStart(delayed);
        assertThat(agent.refusals(), contains("a STALE_TICKET"));
        assertThat(agent.runs(), empty());
    }

    /** Guards against an off-by-one error at the maximum ticket age of three seconds. */
    @Test
    void admitsATicketOfExactlyTheMaximumAge() {
        Start.Builder inTime = agent.start("a", "j", 0);
        Start.Builder late = agent.start("b", "k", 0);
        agent.advance(Duration.ofMillis(3_000));
        agent.requestStart(inTime);
        agent.advance(Duration.ofMillis(1));
        agent.requestStart(late);
        assertThat(agent.runs(), contains("a"));
        assertThat(agent.refusals(), contains("b STALE_TICKET"));
    }

    /** Guards against starts with tickets that this incarnation never issued, such as those from before a restart. */
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
     * Guards against tasks that run twice because a paused coordinator resumes. Meanwhile another entry takes the job
     * over and inquires with generation 2, which refuses the waiting tasks of the first. The first then sends starts of
     * generation 1 with fresh tickets; all are refused, as the lowest admitted generation is 2.
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
     * Guards against a second run by a start that is overtaken by an inquiry. The coordinator's connection stalls with
     * a start in it, and the coordinator inquires about the job over a new one. The answer doesn't list the task, so
     * the coordinator starts it elsewhere. The delayed start then arrives with the current generation and a ticket
     * younger than three seconds; it is refused because the ticket was issued before the inquiry.
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

    /**
     * Guards against a second run by a duplicate start; it gets the retained result, even after its ticket is stale.
     */
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

    /** Guards against running an attempt after its refusal, when a duplicate of its start finds a free slot. */
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
     * Guards against running a task twice that isn't idempotent, when two coordinators start it. Their attempts have
     * different ids, so the task is recognized by job and index. While the first attempt runs the second is refused;
     * afterwards it gets the retained result of the first.
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

    /** Guards against a needless second run while an attempt runs or after it has succeeded. */
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

    /** Guards against losing the outcome of an attempt when a later one of its task expires in the queue. */
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

    /** Guards against reporting a task as not run although the request may have reached the minion. */
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

    /** Guards against sending each waiting task to a full minion only to have it declined. */
    @Test
    void reservesASlotAfterADeclinedTaskUntilTheNextReport() {
        agent.requestStarts("a", "b", "c");
        agent.answer("a", new MinionAnswer.Declined());
        assertThat(agent.runs(), contains("a", "b"));
        agent.report(true, false, 1);
        assertThat(agent.runs(), contains("a", "b", "c"));
    }

    /**
     * Guards against an attempt without an outcome while the minion is unresponsive. When the lease expires the agent
     * cancels the request and reports the attempt as unknown. The minion may still run it, so the slot stays reserved
     * until the minion reports it as free.
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
     * Guards against sending more tasks than the minion has slots. The minion still runs an attempt whose lease has
     * expired. It counts its runs, the agent starts another task, and only then the report arrives. The one run that it
     * counts is the abandoned one, not the new one, so the report must not release the reserved slot.
     */
    @Test
    void aRunStartedAfterTheReportDoesNotHideAnAbandonedOne() {
        agent.requestStart(agent.start("a", "j", 0).setLeaseMillis(1_000));
        agent.advance(Duration.ofMillis(1_000));
        long requestedNanos = agent.now();
        agent.advanceWithoutTick(Duration.ofMillis(1));
        agent.requestStarts("b", "c");
        agent.reportRequestedAt(requestedNanos, true, false, 1);
        assertThat(agent.runs(), contains("a", "b"));
        agent.report(true, false, 1);
        assertThat(agent.runs(), contains("a", "b", "c"));
    }

    /** Guards against a superseded coordinator that cancels its successor's tasks, and against cancelled runs. */
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
     * Guards against a planned stop that interrupts running tasks. Peers receive a Leaving message first, then waiting
     * and new tasks are refused. Running tasks complete, and the agent stops two seconds after the last result, so that
     * coordinators can still inquire about lost results.
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

    /** Guards against a needless delay of the stop when no results can be lost. */
    @Test
    void anIdleAgentStopsAtOnce() {
        agent.apply(new AgentEvent.DrainRequested("replaced"));
        assertThat(agent.readyToStop(), is(true));
    }

    /** Guards against new tasks on a draining minion, and against a drain that never ends. */
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

    /**
     * Guards against tasks for a minion that is unreachable or unhealthy, and against staying down after it recovers.
     */
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

    /** Guards against a memory leak, and against removing a result too early. */
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

    /** Guards against a second run of a task whose result was discarded for space. */
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

    /** Guards against a lost result when its coordinator has reconnected, and against sending it to another process. */
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

    /** Guards against results sent to the superseded coordinator after a takeover. */
    @Test
    void anInquiryRedirectsLaterResultsToItsConnection() {
        agent.requestStarts("a");
        agent.connectPeer(SECOND_PEER, "entry-2");
        agent.inquire(SECOND_PEER, "job-of-a", 2);
        assertThat(agent.lastInquiryAnswer(), contains("a RUNNING "));
        agent.succeed("a");
        assertThat(agent.lastRecipient(), is(SECOND_PEER));
        assertThat(agent.lastFrame().getRequestId(), is(0L));
    }

    /** Guards against losing a result that ends while its coordinator is disconnected. */
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
     * Guards against an inquiry answer that exceeds the maximum frame size after a takeover. A truncated answer would
     * make the missing tasks look as if they had never started. So tasks whose results don't fit are listed as running,
     * and each result follows in a frame of its own.
     */
    @Test
    void anInquiryAnswerStaysUnderTheMaximumFrameSize() {
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
     * Guards against new tasks on a backend server that operators declared as draining, and against a drain that
     * outlasts the declaration. Running tasks complete. Each connected entry must receive the new version immediately,
     * as it would otherwise push it again.
     */
    @Test
    void refusesStartsWhileTheBackendServerIsDeclaredDraining() {
        agent.requestStarts("a");
        agent.apply(new AgentEvent.Configured(new AgentConfiguration(3, true)));
        Heartbeat heartbeat = agent.lastFrame().getHeartbeat();
        assertThat(heartbeat.getConfigurationVersion(), is(3L));
        assertThat(heartbeat.getReport().getDraining(), is(true));
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
