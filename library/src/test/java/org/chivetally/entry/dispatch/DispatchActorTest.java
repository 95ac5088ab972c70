package org.chivetally.entry.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.apache.pekko.actor.testkit.typed.javadsl.BehaviorTestKit;
import org.chivetally.coordination.AgentId;
import org.chivetally.coordination.DispatchEvent;
import org.chivetally.entry.link.Address;
import org.chivetally.entry.link.HeartbeatSettings;
import org.chivetally.entry.link.LinkSet;
import org.chivetally.entry.link.LinkSignal;
import org.chivetally.entry.link.Observers;
import org.chivetally.entry.member.EndedMember;
import org.chivetally.entry.member.Member;
import org.chivetally.entry.member.MemberCapacity;
import org.chivetally.entry.member.MemberList;
import org.chivetally.job.JobId;
import org.chivetally.resource.ConfigurationExchange;
import org.chivetally.transport.FrameConnection;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Hello;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class DispatchActorTest {
    private static final AgentId FIRST = new AgentId("agent-1", "1");
    private static final AgentId SECOND = new AgentId("agent-1", "2");

    private static final long LEASE_END = 1_000;

    private final List<DispatchEvent> events = new ArrayList<>();
    private boolean leaseHeld = true;
    private long now;
    private BehaviorTestKit<DispatchCommand> actor;

    @BeforeEach
    void start() {
        DispatchCore core = (event, now) -> {
            events.add(event);
            return List.of();
        };
        actor = BehaviorTestKit.create(DispatchActor.create(new DispatchActor.Parts(
                "entry-1",
                core,
                this::wiring,
                HeartbeatSettings.standard(),
                () -> leaseHeld,
                (job, outcome) -> {},
                introduced -> {},
                event -> {},
                service -> false,
                ConfigurationExchange.none(),
                ConcurrentHashMap.newKeySet(),
                new Observers(),
                new SimpleMeterRegistry(),
                () -> now)));
        actor.run(new DispatchCommand.LeaseExtended(LEASE_END));
        tick();
        events.clear();
    }

    // An agent ran tasks for an entry that crashed, and this entry is not connected to the agent yet when it takes the
    // job over. The core must include the agent in its inquiries, so it receives an event on the announcement.
    @Test
    void reportsAnnouncedAgentsBeforeTheyAreReached() {
        view(List.of(member("1")), List.of());
        assertThat(events, hasItem(new DispatchEvent.AgentNamed(FIRST, "routing")));
        view(List.of(member("1")), List.of());
        assertThat(
                events.stream()
                        .filter(new DispatchEvent.AgentNamed(FIRST, "routing")::equals)
                        .count(),
                is(1L));
    }

    // An agent was restarted before this entry started, and the state of its first incarnation is lost. The core must
    // receive the end of that incarnation, or it would treat the tasks there as never started.
    @Test
    void reportsAgentsThatEndedBeforeTheyWereReached() {
        view(List.of(member("2")), ended(EndedMember.Reason.SUPERSEDED));
        assertThat(events, hasItem(new DispatchEvent.AgentNamed(FIRST, "routing")));
        assertThat(events, hasItem(new DispatchEvent.AgentGone(FIRST)));
        assertThat(events, hasItem(new DispatchEvent.AgentNamed(SECOND, "routing")));
    }

    // A closed connection is no proof that the agent ended: its tasks may still run. Only a new incarnation is.
    @Test
    void aConnectedAgentIsGoneOnceANewIncarnationReplacesIt() {
        view(List.of(member("1")), List.of());
        connect(1, "1");
        assertThat(events, hasItem(new DispatchEvent.AgentConnected(FIRST, hello("1"))));
        actor.run(new DispatchCommand.Signal(new LinkSignal.Closed(1, "reset")));
        assertThat(events, hasItem(new DispatchEvent.AgentUnreachable(FIRST)));
        assertThat(events, not(hasItem(new DispatchEvent.AgentGone(FIRST))));
        view(List.of(member("2")), ended(EndedMember.Reason.SUPERSEDED));
        assertThat(events, hasItem(new DispatchEvent.AgentGone(FIRST)));
    }

    // An agent announces that it leaves while it still runs tasks. Its connection is kept for their results, and the
    // agent is reported as gone only when the connection closes.
    @Test
    void anAgentThatLeavesIsGoneWhenItsConnectionCloses() {
        view(List.of(member("1")), List.of());
        connect(1, "1");
        view(List.of(), ended(EndedMember.Reason.LEFT));
        assertThat(events, not(hasItem(new DispatchEvent.AgentGone(FIRST))));
        actor.run(new DispatchCommand.Signal(new LinkSignal.Closed(1, "done")));
        assertThat(events, hasItem(new DispatchEvent.AgentGone(FIRST)));
    }

    // The process is suspended past its lease and resumes with frames in its mailbox. The core must receive the loss of
    // the lease before any other event, so that no frame causes a start.
    @Test
    void aLostLeaseIsReportedBeforeAnyOtherEvent() {
        leaseHeld = false;
        actor.run(new DispatchCommand.Event(new DispatchEvent.EntriesChanged(2)));
        assertThat(events, contains(new DispatchEvent.LeaseChanged(false), new DispatchEvent.EntriesChanged(2)));
    }

    // The lease lapsed, another entry took a job over, and the lease was renewed. The claims have read all of that
    // while older messages are still in the mailbox. If the current lease applied to them, the first would start
    // tasks of the lost job. The lease therefore counts as held only from the message that follows the event about
    // the job.
    @Test
    void aRegainedLeaseIsReportedAfterTheJobsTakenOver() {
        DispatchEvent takenOver = new DispatchEvent.JobTakenOver(new JobId("job"));
        now = LEASE_END;
        actor.run(new DispatchCommand.Event(new DispatchEvent.EntriesChanged(2)));
        actor.run(new DispatchCommand.Event(takenOver));
        actor.run(new DispatchCommand.LeaseExtended(2 * LEASE_END));
        assertThat(
                events,
                contains(
                        new DispatchEvent.LeaseChanged(false),
                        new DispatchEvent.EntriesChanged(2),
                        takenOver,
                        new DispatchEvent.LeaseChanged(true)));
    }

    private static List<EndedMember> ended(EndedMember.Reason reason) {
        return List.of(EndedMember.of(member("1"), reason));
    }

    private void view(List<Member> members, List<EndedMember> ended) {
        actor.run(new DispatchCommand.MembersChanged(new MemberList(members, Set.of(), ended)));
        tick();
    }

    private void tick() {
        actor.run(new DispatchCommand.Tick());
    }

    private void connect(long dial, String incarnation) {
        actor.run(new DispatchCommand.Signal(new LinkSignal.Opened(dial, new DiscardingConnection())));
        Frame frame = Frame.newBuilder().setHello(hello(incarnation)).build();
        actor.run(new DispatchCommand.Signal(new LinkSignal.Received(dial, frame)));
    }

    private LinkSet.Wiring wiring(Consumer<LinkSignal> signals) {
        AtomicLong requests = new AtomicLong();
        return new LinkSet.Wiring(
                (host, port, listener) -> {},
                Hello::getDefaultInstance,
                requests::incrementAndGet,
                () -> 0,
                new SplittableRandom(1),
                signals);
    }

    private static Hello hello(String incarnation) {
        return Hello.newBuilder()
                .setProcessId("agent-1")
                .setIncarnation(incarnation)
                .build();
    }

    private static Member member(String incarnation) {
        return new Member(
                "agent-1",
                incarnation,
                Member.AGENT,
                new Address("10.0.0.1", 7000),
                "north",
                "routing",
                "minion-1",
                MemberCapacity.NONE);
    }

    private record DiscardingConnection() implements FrameConnection {
        @Override
        public void send(Frame frame) {}

        @Override
        public void close() {}

        @Override
        public String peer() {
            return "10.0.0.1:7000";
        }
    }
}
