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

class LinkTest {
    private static final long MILLI = 1_000_000;
    private static final long TICK = 20 * MILLI;
    private static final Hello AGENT =
            Hello.newBuilder().setProcessId("agent-1").setIncarnation("1").build();
    private static final Frame RESULT =
            Frame.newBuilder().setResult(Result.newBuilder().setAttemptId("a")).build();

    private final Link link = new Link(
            "agent-1",
            new Address("10.0.0.1", 7000),
            HeartbeatSettings.standard(),
            this::nextDial,
            new SplittableRandom(1),
            0);
    private long dials;
    private long now;

    @Test
    void dialsGreetsAndIsUsableOnceTheFarEndIntroducesItself() {
        assertThat(link.tick(now, false), contains(new LinkEffect.Dial(1)));
        assertThat(link.opened(1, now), contains(new LinkEffect.Greet(1)));
        assertThat(link.received(1, hello(AGENT), now), contains(new LinkEffect.Up(AGENT)));
        assertThat(link.received(1, RESULT, now), contains(new LinkEffect.Deliver(AGENT, RESULT)));
    }

    @Test
    void sendsHeartbeatsOftenWhileAnswersAreAwaitedAndSeldomOtherwise() {
        open();
        long idle = untilNext(LinkEffect.Beat.class, false);
        assertThat(idle, is(HeartbeatSettings.standard().idleInterval().toNanos()));
        link.received(1, RESULT, now);
        long busy = untilNext(LinkEffect.Beat.class, true);
        assertThat(
                busy,
                lessThanOrEqualTo(HeartbeatSettings.standard().busyInterval().toNanos() + TICK));
    }

    @Test
    void keepsToThePaceItIsGivenWhileIdle() {
        open();
        link.pace(60_000 * MILLI);
        assertThat(untilNext(LinkEffect.Beat.class, false), is(60_000 * MILLI));
        long silence = HeartbeatSettings.standard().idleSilentAfter().toNanos()
                - HeartbeatSettings.standard().idleInterval().toNanos();
        assertThat(untilNext(LinkEffect.Down.class, false), is(silence));
    }

    @Test
    void dialsAtOnceWhenTheProcessIsKnownToBeBack() {
        for (int failure = 0; failure < 10; failure++) {
            untilNext(LinkEffect.Dial.class, false);
            link.closed(dials, "refused", now);
        }
        link.hurry(now);
        assertThat(link.tick(now, false), contains(new LinkEffect.Dial(11)));
    }

    @Test
    void answersHeartbeatsOfTheFarEndButNotItsAnswers() {
        open();
        Frame asks = Frame.newBuilder()
                .setRequestId(9)
                .setHeartbeat(Heartbeat.newBuilder())
                .build();
        assertThat(link.received(1, asks, now).getFirst(), is(new LinkEffect.AnswerBeat(1, 9)));
        Frame answers = asks.toBuilder()
                .setHeartbeat(Heartbeat.newBuilder().setAnswer(true))
                .build();
        assertThat(link.received(1, answers, now), contains(new LinkEffect.Deliver(AGENT, answers)));
    }

    // A device between the ends loses track of the connection while tasks run: nothing arrives, and no error comes.
    // After a second the connection is given up for new requests and another one dialled; the old one still brings its
    // late answers for 30 seconds and is closed then.
    @Test
    void aSilentConnectionIsReplacedAndStillBringsLateAnswers() {
        open();
        long silence = untilNext(LinkEffect.Down.class, true);
        assertThat(silence, lessThanOrEqualTo(1_000 * MILLI + TICK));
        assertThat(link.usableDial(), is(-1L));
        link.opened(2, now);
        assertThat(link.received(2, hello(AGENT), now), contains(new LinkEffect.Up(AGENT)));
        assertThat(link.received(1, RESULT, now), contains(new LinkEffect.Deliver(AGENT, RESULT)));
        assertThat(link.usableDial(), is(2L));
        long late = untilNextWhileHeard(LinkEffect.Hangup.class);
        assertThat(late, greaterThanOrEqualTo(30_000 * MILLI - TICK));
        assertThat(link.received(1, RESULT, now), is(empty()));
    }

    // An idle connection was quiet for nearly two seconds, as it may be, when a task is started on it. Its silence
    // counts from the start on, so it is not given up before the agent had a second to answer.
    @Test
    void silenceCountsFromWhenAnAnswerIsFirstAwaited() {
        open();
        advance(1_900 * MILLI, false);
        assertThat(untilNext(LinkEffect.Down.class, true), greaterThanOrEqualTo(1_000 * MILLI));
    }

    // The process is paused for ten seconds while tasks run. On resuming, all connections look silent, but their
    // answers wait unread in the sockets: none is given up for it.
    @Test
    void anOwnPauseIsNotTakenForSilence() {
        open();
        link.tick(now += TICK, true);
        now += 10_000 * MILLI;
        assertThat(link.tick(now, true).stream().anyMatch(LinkEffect.Down.class::isInstance), is(false));
        assertThat(link.usableDial(), is(1L));
    }

    @Test
    void dialsAgainLaterAndLaterAfterFailures() {
        link.tick(now, false);
        List<Long> waits = new ArrayList<>();
        for (int failure = 0; failure < 8; failure++) {
            link.closed(dials, "refused", now);
            waits.add(untilNext(LinkEffect.Dial.class, false));
        }
        assertThat(waits.getFirst(), lessThanOrEqualTo(100 * MILLI + TICK));
        assertThat(waits.getLast(), greaterThanOrEqualTo(2_500 * MILLI));
        assertThat(waits.getLast(), lessThanOrEqualTo(5_000 * MILLI + TICK));
    }

    @Test
    void givesUpADialThatNeverOpensAndTakesNoLateConnection() {
        link.tick(now, false);
        untilNext(LinkEffect.Hangup.class, false);
        assertThat(link.opened(1, now), contains(new LinkEffect.Hangup(1)));
    }

    @Test
    void hangsUpOnAStranger() {
        link.tick(now, false);
        link.opened(1, now);
        Hello stranger = Hello.newBuilder().setProcessId("agent-2").build();
        assertThat(
                link.received(1, hello(stranger), now),
                contains(new LinkEffect.Hangup(1), new LinkEffect.Stranger(stranger)));
        assertThat(link.tick(now, false), is(empty()));
    }

    @Test
    void isDownOnceWhenTheUsableConnectionCloses() {
        open();
        assertThat(link.closed(1, "reset", now).getFirst(), instanceOf(LinkEffect.Down.class));
        assertThat(link.closed(1, "reset", now), is(empty()));
    }

    private void open() {
        link.tick(now, false);
        link.opened(1, now);
        link.received(1, hello(AGENT), now);
    }

    private void advance(long nanos, boolean awaiting) {
        for (long end = now + nanos; now < end; ) {
            link.tick(now += TICK, awaiting);
        }
    }

    private long untilNext(Class<? extends LinkEffect> type, boolean awaiting) {
        long start = now;
        while (link.tick(now += TICK, awaiting).stream().noneMatch(type::isInstance)) {
            assertThat("too late", now - start, lessThanOrEqualTo(60_000 * MILLI));
        }
        return now - start;
    }

    private long untilNextWhileHeard(Class<? extends LinkEffect> type) {
        long start = now;
        while (link.tick(now += TICK, true).stream().noneMatch(type::isInstance)) {
            link.received(2, RESULT, now);
            assertThat("too late", now - start, lessThanOrEqualTo(60_000 * MILLI));
        }
        return now - start;
    }

    private long nextDial() {
        return ++dials;
    }

    private static Frame hello(Hello hello) {
        return Frame.newBuilder().setHello(hello).build();
    }
}
