package org.chivetally.entry.link;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Hello;

/**
 * Decides about the connections to one process: at most one is usable, older silent ones stay open for late answers.
 *
 * <p>Times are readings of one monotonic clock, in nanoseconds. Not safe for several threads.
 */
final class Link {
    private static final int LARGEST_BACKOFF_SHIFT = 10;

    private final String processId;
    private final Address address;
    private final HeartbeatSettings settings;
    private final LongSupplier dials;
    private final RandomGenerator jitter;
    private final Map<Long, Retired> retired = new HashMap<>();

    private State state = State.WAITING;
    private long dial;
    private long dialAt;
    private long dialledAt;
    private int failures;
    private Hello hello;
    private long lastReceived;
    private long lastBeat;
    private boolean busy;
    private long busySince;
    private long lastTick;
    private long idleInterval;

    Link(
            String processId,
            Address address,
            HeartbeatSettings settings,
            LongSupplier dials,
            RandomGenerator jitter,
            long now) {
        this.processId = processId;
        this.address = address;
        this.settings = settings;
        this.dials = dials;
        this.jitter = jitter;
        this.dialAt = now;
        this.lastTick = now;
        this.idleInterval = settings.idleInterval().toNanos();
    }

    /** Sets the time between heartbeats while nothing is awaited. */
    void pace(long intervalNanos) {
        idleInterval = intervalNanos;
    }

    /** Dials at the next tick instead of after the wait that earlier failures brought. */
    void hurry(long now) {
        failures = 0;
        dialAt = now;
    }

    Address address() {
        return address;
    }

    /** Returns the number of the usable connection, or -1. */
    long usableDial() {
        return state == State.USABLE ? dial : -1;
    }

    /** Returns the last introduction of the usable connection, or null. */
    Hello usableHello() {
        return state == State.USABLE ? hello : null;
    }

    /** Time passed; {@code awaiting} tells whether answers of the process are awaited. */
    List<LinkEffect> tick(long now, boolean awaiting) {
        List<LinkEffect> effects = new ArrayList<>();
        forgivePause(now);
        if (awaiting && !busy) {
            busySince = now;
        }
        busy = awaiting;
        switch (state) {
            case WAITING -> dialWhenDue(now, effects);
            case DIALLING, GREETING -> giveUpWhenOverdue(now, effects);
            default -> watch(now, effects);
        }
        closeRetired(now, effects);
        return effects;
    }

    /** The connection is open. */
    List<LinkEffect> opened(long opened, long now) {
        if (opened != dial || state != State.DIALLING) {
            return List.of(new LinkEffect.Hangup(opened));
        }
        state = State.GREETING;
        lastReceived = now;
        return List.of(new LinkEffect.Greet(opened));
    }

    /** A frame arrived on any of the connections. */
    List<LinkEffect> received(long from, Frame frame, long now) {
        Retired old = retired.get(from);
        if (old != null) {
            return frame.hasHello() ? List.of() : deliver(from, old.hello(), frame);
        }
        if (from != dial) {
            return List.of();
        }
        lastReceived = now;
        if (frame.hasHello()) {
            return greeted(frame.getHello());
        }
        return state == State.USABLE ? deliver(from, hello, frame) : List.of();
    }

    /** A connection is closed, or a dial failed. */
    List<LinkEffect> closed(long closed, String reason, long now) {
        if (retired.remove(closed) != null || closed != dial) {
            return List.of();
        }
        boolean wasUsable = state == State.USABLE;
        if (state == State.WAITING) {
            return List.of();
        }
        backOff(now);
        return wasUsable ? List.of(new LinkEffect.Down(hello, reason)) : List.of();
    }

    /** Ends all connections. */
    List<LinkEffect> close() {
        List<LinkEffect> effects = new ArrayList<>();
        if (state != State.WAITING) {
            effects.add(new LinkEffect.Hangup(dial));
        }
        retired.keySet().forEach(old -> effects.add(new LinkEffect.Hangup(old)));
        retired.clear();
        state = State.WAITING;
        dialAt = Long.MAX_VALUE;
        return effects;
    }

    private List<LinkEffect> greeted(Hello arrived) {
        if (state != State.GREETING) {
            return List.of();
        }
        if (!arrived.getProcessId().equals(processId)) {
            backOff(lastReceived);
            return List.of(new LinkEffect.Hangup(dial), new LinkEffect.Stranger(arrived));
        }
        state = State.USABLE;
        hello = arrived;
        failures = 0;
        lastBeat = lastReceived;
        busySince = lastReceived;
        return List.of(new LinkEffect.Up(arrived));
    }

    private static List<LinkEffect> deliver(long from, Hello sender, Frame frame) {
        boolean asks = frame.hasHeartbeat() && !frame.getHeartbeat().getAnswer();
        LinkEffect delivered = new LinkEffect.Deliver(sender, frame);
        return asks ? List.of(new LinkEffect.AnswerBeat(from, frame.getRequestId()), delivered) : List.of(delivered);
    }

    // A pause of this process makes every connection look silent at once; all would be dialled anew although their
    // answers wait unread in the sockets. After a late tick the time of silence therefore starts again.
    private void forgivePause(long now) {
        long gap = now - lastTick;
        lastTick = now;
        if (gap > settings.silentAfter().toNanos() / 2) {
            lastReceived = now;
        }
    }

    private void dialWhenDue(long now, List<LinkEffect> effects) {
        if (now - dialAt < 0) {
            return;
        }
        state = State.DIALLING;
        dial = dials.getAsLong();
        dialledAt = now;
        effects.add(new LinkEffect.Dial(dial));
    }

    private void giveUpWhenOverdue(long now, List<LinkEffect> effects) {
        if (now - dialledAt < settings.dialTimeout().toNanos()) {
            return;
        }
        effects.add(new LinkEffect.Hangup(dial));
        backOff(now);
    }

    private void watch(long now, List<LinkEffect> effects) {
        long quietSince = busy ? Math.max(lastReceived, busySince) : lastReceived;
        long silentAfter = busy
                ? settings.silentAfter().toNanos()
                : settings.idleSilentAfter().toNanos()
                        + idleInterval
                        - settings.idleInterval().toNanos();
        if (now - quietSince >= silentAfter) {
            retire(now, effects);
            return;
        }
        long interval = busy ? settings.busyInterval().toNanos() : idleInterval;
        if (now - Math.max(lastReceived, lastBeat) >= interval) {
            lastBeat = now;
            effects.add(new LinkEffect.Beat(dial));
        }
    }

    // Something between the two ends may have lost track of the connection: frames go nowhere, and no error ever
    // comes. A new connection is not affected, and the old one may still bring answers, so it is kept for a while.
    private void retire(long now, List<LinkEffect> effects) {
        retired.put(dial, new Retired(hello, now + settings.lateAnswers().toNanos()));
        state = State.WAITING;
        dialAt = now;
        effects.add(new LinkEffect.Down(hello, "silent"));
        dialWhenDue(now, effects);
    }

    private void closeRetired(long now, List<LinkEffect> effects) {
        Iterator<Map.Entry<Long, Retired>> all = retired.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<Long, Retired> old = all.next();
            if (now - old.getValue().closeAt() < 0) {
                continue;
            }
            effects.add(new LinkEffect.Hangup(old.getKey()));
            all.remove();
        }
    }

    private void backOff(long now) {
        long longest = settings.longestBackoff().toNanos();
        long grown = settings.shortestBackoff().toNanos() << Math.min(failures, LARGEST_BACKOFF_SHIFT);
        long backoff = Math.min(longest, grown);
        failures++;
        state = State.WAITING;
        dialAt = now + backoff / 2 + jitter.nextLong(backoff / 2 + 1);
    }

    private enum State {
        WAITING,
        DIALLING,
        GREETING,
        USABLE
    }

    private record Retired(Hello hello, long closeAt) {}
}
