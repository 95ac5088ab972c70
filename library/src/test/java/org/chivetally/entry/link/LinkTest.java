package org.chivetally.entry.link;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Heartbeat;
import org.chivetally.wire.v1.Hello;
import org.chivetally.wire.v1.Result;
import org.junit.jupiter.api.Test;

/** Tests dialling, heartbeats, silence detection and reconnection of one link against a simulated clock. */
class LinkTest {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long TICK_NANOS = 20 * NANOS_PER_MILLI;
    private static final Hello AGENT =
            Hello.newBuilder().setProcessId("agent-1").setIncarnation("1").build();
    private static final Frame RESULT =
            Frame.newBuilder().setResult(Result.newBuilder().setAttemptId("a")).build();

    private final Link link = new Link(
            "agent-1",
            new Address("10.0.0.1", 7000),
            HeartbeatSettings.standard(),
            this::nextConnectionId,
            new SplittableRandom(1),
            0);
    private long lastConnectionId;
    private long nowNanos;

    // If the handshake did not complete, the process would stay unreachable although its connection is open.
    @Test
    void becomesUsableOncePeerSendsHello() {
        assertThat(link.tick(nowNanos, false), contains(new LinkEffect.Dial(1)));
        assertThat(link.opened(1, nowNanos), contains(new LinkEffect.SendHello(1)));
        assertThat(link.received(1, hello(AGENT), nowNanos), contains(new LinkEffect.Up(AGENT)));
        assertThat(link.received(1, RESULT, nowNanos), contains(new LinkEffect.Deliver(AGENT, RESULT)));
    }

    // A dead connection must be detected quickly while answers are awaited; idle connections send few heartbeats.
    @Test
    void sendsHeartbeatsMoreOftenWhileAnswersAreAwaited() {
        makeUsable();
        long idle = untilNext(LinkEffect.SendHeartbeat.class, false);
        assertThat(idle, is(HeartbeatSettings.standard().idleInterval().toNanos()));
        link.received(1, RESULT, nowNanos);
        long busy = untilNext(LinkEffect.SendHeartbeat.class, true);
        assertThat(
                busy,
                lessThanOrEqualTo(HeartbeatSettings.standard().busyInterval().toNanos() + TICK_NANOS));
    }

    // A longer heartbeat interval extends the time until an idle connection counts as silent; otherwise a healthy
    // connection would be replaced before its heartbeat is due.
    @Test
    void usesConfiguredIdleInterval() {
        makeUsable();
        link.setIdleInterval(60_000 * NANOS_PER_MILLI);
        assertThat(untilNext(LinkEffect.SendHeartbeat.class, false), is(60_000 * NANOS_PER_MILLI));
        long silence = HeartbeatSettings.standard().idleSilentAfter().toNanos()
                - HeartbeatSettings.standard().idleInterval().toNanos();
        assertThat(untilNext(LinkEffect.Down.class, false), is(silence));
    }

    // After many failures the link waits up to five seconds, although the process is known to run again.
    @Test
    void dialsImmediatelyAfterBackoffReset() {
        for (int failure = 0; failure < 10; failure++) {
            untilNext(LinkEffect.Dial.class, false);
            link.closed(lastConnectionId, "refused", nowNanos);
        }
        link.resetBackoff(nowNanos);
        assertThat(link.tick(nowNanos, false), contains(new LinkEffect.Dial(11)));
    }

    // If answers were answered, two processes would exchange heartbeats endlessly.
    @Test
    void answersHeartbeatsButNotHeartbeatAnswers() {
        makeUsable();
        Frame heartbeat = Frame.newBuilder()
                .setRequestId(9)
                .setHeartbeat(Heartbeat.newBuilder())
                .build();
        assertThat(link.received(1, heartbeat, nowNanos).getFirst(), is(new LinkEffect.AnswerHeartbeat(1, 9)));
        Frame heartbeatAnswer = heartbeat.toBuilder()
                .setHeartbeat(Heartbeat.newBuilder().setAnswer(true))
                .build();
        assertThat(
                link.received(1, heartbeatAnswer, nowNanos), contains(new LinkEffect.Deliver(AGENT, heartbeatAnswer)));
    }

    // A network device drops the state of the connection while tasks run: no frame arrives and no error is reported.
    // After one second the link dials a new connection and sends requests only on that one. The old connection stays
    // open for another 30 seconds to receive late answers.
    @Test
    void replacesSilentConnectionAndDeliversItsLateAnswers() {
        makeUsable();
        long silence = untilNext(LinkEffect.Down.class, true);
        assertThat(silence, lessThanOrEqualTo(1_000 * NANOS_PER_MILLI + TICK_NANOS));
        assertThat(link.usableConnectionId(), is(-1L));
        link.opened(2, nowNanos);
        assertThat(link.received(2, hello(AGENT), nowNanos), contains(new LinkEffect.Up(AGENT)));
        assertThat(link.received(1, RESULT, nowNanos), contains(new LinkEffect.Deliver(AGENT, RESULT)));
        assertThat(link.usableConnectionId(), is(2L));
        long late = untilNextWhileNewConnectionReceives(LinkEffect.Close.class);
        assertThat(late, greaterThanOrEqualTo(30_000 * NANOS_PER_MILLI - TICK_NANOS));
        assertThat(link.received(1, RESULT, nowNanos), is(empty()));
    }

    // An idle connection has received nothing for nearly two seconds, which is normal, when a task is started on it.
    // Silence is measured from the start of the task; otherwise the connection would be replaced before the agent had
    // one second to answer.
    @Test
    void measuresSilenceFromWhenAnAnswerIsFirstAwaited() {
        makeUsable();
        advance(1_900 * NANOS_PER_MILLI, false);
        assertThat(untilNext(LinkEffect.Down.class, true), greaterThanOrEqualTo(1_000 * NANOS_PER_MILLI));
    }

    // This process is paused for ten seconds while tasks run. When it resumes, all connections look silent although
    // answers are waiting unread in the sockets: none of them may be replaced.
    @Test
    void ignoresSilenceDuringPauseOfThisProcess() {
        makeUsable();
        link.tick(nowNanos += TICK_NANOS, true);
        nowNanos += 10_000 * NANOS_PER_MILLI;
        assertThat(link.tick(nowNanos, true).stream().anyMatch(LinkEffect.Down.class::isInstance), is(false));
        assertThat(link.usableConnectionId(), is(1L));
    }

    // Without a growing wait, an unreachable process would be dialled continuously.
    @Test
    void backsOffExponentiallyAfterFailures() {
        link.tick(nowNanos, false);
        List<Long> waitsNanos = new ArrayList<>();
        for (int failure = 0; failure < 8; failure++) {
            link.closed(lastConnectionId, "refused", nowNanos);
            waitsNanos.add(untilNext(LinkEffect.Dial.class, false));
        }
        assertThat(waitsNanos.getFirst(), lessThanOrEqualTo(100 * NANOS_PER_MILLI + TICK_NANOS));
        assertThat(waitsNanos.getLast(), greaterThanOrEqualTo(2_500 * NANOS_PER_MILLI));
        assertThat(waitsNanos.getLast(), lessThanOrEqualTo(5_000 * NANOS_PER_MILLI + TICK_NANOS));
    }

    // A connection that opens after its dial was aborted must be closed, or it would stay open unused.
    @Test
    void abortsDialAfterTimeoutAndClosesLateConnection() {
        link.tick(nowNanos, false);
        untilNext(LinkEffect.Close.class, false);
        assertThat(link.opened(1, nowNanos), contains(new LinkEffect.Close(1)));
    }

    // Another process may now listen at the address. It must not receive frames, and the next dial waits for the
    // backoff.
    @Test
    void closesConnectionToUnexpectedProcess() {
        link.tick(nowNanos, false);
        link.opened(1, nowNanos);
        Hello unexpected = Hello.newBuilder().setProcessId("agent-2").build();
        assertThat(
                link.received(1, hello(unexpected), nowNanos),
                contains(new LinkEffect.Close(1), new LinkEffect.UnexpectedProcess(unexpected)));
        assertThat(link.tick(nowNanos, false), is(empty()));
    }

    // The transport may report the same closing twice; the observer must receive one event.
    @Test
    void reportsDownOnceWhenUsableConnectionCloses() {
        makeUsable();
        assertThat(link.closed(1, "reset", nowNanos).getFirst(), instanceOf(LinkEffect.Down.class));
        assertThat(link.closed(1, "reset", nowNanos), is(empty()));
    }

    private void makeUsable() {
        link.tick(nowNanos, false);
        link.opened(1, nowNanos);
        link.received(1, hello(AGENT), nowNanos);
    }

    private void advance(long nanos, boolean awaiting) {
        for (long end = nowNanos + nanos; nowNanos < end; ) {
            link.tick(nowNanos += TICK_NANOS, awaiting);
        }
    }

    private long untilNext(Class<? extends LinkEffect> type, boolean awaiting) {
        long start = nowNanos;
        while (link.tick(nowNanos += TICK_NANOS, awaiting).stream().noneMatch(type::isInstance)) {
            assertThat("too late", nowNanos - start, lessThanOrEqualTo(60_000 * NANOS_PER_MILLI));
        }
        return nowNanos - start;
    }

    private long untilNextWhileNewConnectionReceives(Class<? extends LinkEffect> type) {
        long start = nowNanos;
        while (link.tick(nowNanos += TICK_NANOS, true).stream().noneMatch(type::isInstance)) {
            link.received(2, RESULT, nowNanos);
            assertThat("too late", nowNanos - start, lessThanOrEqualTo(60_000 * NANOS_PER_MILLI));
        }
        return nowNanos - start;
    }

    private long nextConnectionId() {
        return ++lastConnectionId;
    }

    private static Frame hello(Hello hello) {
        return Frame.newBuilder().setHello(hello).build();
    }
}
