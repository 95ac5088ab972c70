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
 * State machine of the connections to one process. At most one connection is usable; connections that became silent
 * stay open for a while to receive late answers.
 *
 * <p>The methods return the actions to be executed. All times are readings of one monotonic clock, in nanoseconds. Not
 * thread-safe.
 */
final class Link {
    private static final int MAXIMUM_BACKOFF_SHIFT = 10;

    private final String processId;
    private final Address address;
    private final HeartbeatSettings settings;
    private final LongSupplier connectionIds;
    private final RandomGenerator jitter;
    private final Map<Long, Retired> retired = new HashMap<>();

    private State state = State.DISCONNECTED;
    private long connectionId;
    private long nextDialNanos;
    private long dialledNanos;
    private int failures;
    private Hello hello;
    private long lastReceivedNanos;
    private long lastHeartbeatNanos;
    private boolean awaitingAnswers;
    private long awaitingSinceNanos;
    private long lastTickNanos;
    private long idleIntervalNanos;

    Link(
            String processId,
            Address address,
            HeartbeatSettings settings,
            LongSupplier connectionIds,
            RandomGenerator jitter,
            long now) {
        this.processId = processId;
        this.address = address;
        this.settings = settings;
        this.connectionIds = connectionIds;
        this.jitter = jitter;
        this.nextDialNanos = now;
        this.lastTickNanos = now;
        this.idleIntervalNanos = settings.idleInterval().toNanos();
    }

    /** Sets the time between heartbeats while no answer is awaited. */
    void setIdleInterval(long intervalNanos) {
        idleIntervalNanos = intervalNanos;
    }

    /** Cancels the wait after failed dials: the next tick dials. */
    void resetBackoff(long now) {
        failures = 0;
        nextDialNanos = now;
    }

    Address address() {
        return address;
    }

    /** Returns the id of the usable connection, or -1 if there is none. */
    long usableConnectionId() {
        return state == State.USABLE ? connectionId : -1;
    }

    /** Returns the Hello received on the usable connection, or null if there is none. */
    Hello usableHello() {
        return state == State.USABLE ? hello : null;
    }

    /**
     * Dials, sends a heartbeat or replaces a silent connection if due. Called periodically.
     *
     * @param awaiting whether an answer of the process is awaited
     */
    List<LinkEffect> tick(long now, boolean awaiting) {
        List<LinkEffect> effects = new ArrayList<>();
        resetSilenceAfterPause(now);
        if (awaiting && !awaitingAnswers) {
            awaitingSinceNanos = now;
        }
        awaitingAnswers = awaiting;
        switch (state) {
            case DISCONNECTED -> dialWhenDue(now, effects);
            case DIALLING, AWAITING_HELLO -> abortDialAfterTimeout(now, effects);
            default -> checkUsableConnection(now, effects);
        }
        closeRetired(now, effects);
        return effects;
    }

    /** Handles the opening of a connection; one that the link no longer expects is closed. */
    List<LinkEffect> opened(long openedId, long now) {
        if (openedId != connectionId || state != State.DIALLING) {
            return List.of(new LinkEffect.Close(openedId));
        }
        state = State.AWAITING_HELLO;
        lastReceivedNanos = now;
        return List.of(new LinkEffect.SendHello(openedId));
    }

    /** Handles a frame received on any connection. */
    List<LinkEffect> received(long fromId, Frame frame, long now) {
        Retired old = retired.get(fromId);
        if (old != null) {
            return frame.hasHello() ? List.of() : deliver(fromId, old.hello(), frame);
        }
        if (fromId != connectionId) {
            return List.of();
        }
        lastReceivedNanos = now;
        if (frame.hasHello()) {
            return helloReceived(frame.getHello());
        }
        return state == State.USABLE ? deliver(fromId, hello, frame) : List.of();
    }

    /** Handles the closing of a connection or the failure of a dial. */
    List<LinkEffect> closed(long closedId, String reason, long now) {
        if (retired.remove(closedId) != null || closedId != connectionId) {
            return List.of();
        }
        boolean wasUsable = state == State.USABLE;
        if (state == State.DISCONNECTED) {
            return List.of();
        }
        backOff(now);
        return wasUsable ? List.of(new LinkEffect.Down(hello, reason)) : List.of();
    }

    /** Closes all connections; the link does not dial again. */
    List<LinkEffect> close() {
        List<LinkEffect> effects = new ArrayList<>();
        if (state != State.DISCONNECTED) {
            effects.add(new LinkEffect.Close(connectionId));
        }
        retired.keySet().forEach(old -> effects.add(new LinkEffect.Close(old)));
        retired.clear();
        state = State.DISCONNECTED;
        nextDialNanos = Long.MAX_VALUE;
        return effects;
    }

    private List<LinkEffect> helloReceived(Hello receivedHello) {
        if (state != State.AWAITING_HELLO) {
            return List.of();
        }
        if (!receivedHello.getProcessId().equals(processId)) {
            backOff(lastReceivedNanos);
            return List.of(new LinkEffect.Close(connectionId), new LinkEffect.UnexpectedProcess(receivedHello));
        }
        state = State.USABLE;
        hello = receivedHello;
        failures = 0;
        lastHeartbeatNanos = lastReceivedNanos;
        awaitingSinceNanos = lastReceivedNanos;
        return List.of(new LinkEffect.Up(receivedHello));
    }

    private static List<LinkEffect> deliver(long fromId, Hello sender, Frame frame) {
        boolean needsAnswer = frame.hasHeartbeat() && !frame.getHeartbeat().getAnswer();
        LinkEffect delivered = new LinkEffect.Deliver(sender, frame);
        return needsAnswer
                ? List.of(new LinkEffect.AnswerHeartbeat(fromId, frame.getRequestId()), delivered)
                : List.of(delivered);
    }

    // After a pause of this process every connection looks silent at once, although answers are waiting unread in the
    // sockets, and all would be redialled. A late tick therefore restarts the measurement of silence.
    private void resetSilenceAfterPause(long now) {
        long gap = now - lastTickNanos;
        lastTickNanos = now;
        if (gap > settings.silentAfter().toNanos() / 2) {
            lastReceivedNanos = now;
        }
    }

    private void dialWhenDue(long now, List<LinkEffect> effects) {
        if (now - nextDialNanos < 0) {
            return;
        }
        state = State.DIALLING;
        connectionId = connectionIds.getAsLong();
        dialledNanos = now;
        effects.add(new LinkEffect.Dial(connectionId));
    }

    private void abortDialAfterTimeout(long now, List<LinkEffect> effects) {
        if (now - dialledNanos < settings.dialTimeout().toNanos()) {
            return;
        }
        effects.add(new LinkEffect.Close(connectionId));
        backOff(now);
    }

    private void checkUsableConnection(long now, List<LinkEffect> effects) {
        long silentSince = awaitingAnswers ? Math.max(lastReceivedNanos, awaitingSinceNanos) : lastReceivedNanos;
        long silentAfter = awaitingAnswers
                ? settings.silentAfter().toNanos()
                : settings.idleSilentAfter().toNanos()
                        + idleIntervalNanos
                        - settings.idleInterval().toNanos();
        if (now - silentSince >= silentAfter) {
            replaceSilentConnection(now, effects);
            return;
        }
        long interval = awaitingAnswers ? settings.busyInterval().toNanos() : idleIntervalNanos;
        if (now - Math.max(lastReceivedNanos, lastHeartbeatNanos) >= interval) {
            lastHeartbeatNanos = now;
            effects.add(new LinkEffect.SendHeartbeat(connectionId));
        }
    }

    // A network device between the two ends may have dropped the state of the connection: frames are lost and no error
    // is ever reported. A new connection is not affected. The old one may still deliver answers, so it stays open for
    // a while.
    private void replaceSilentConnection(long now, List<LinkEffect> effects) {
        retired.put(
                connectionId, new Retired(hello, now + settings.lateAnswers().toNanos()));
        state = State.DISCONNECTED;
        nextDialNanos = now;
        effects.add(new LinkEffect.Down(hello, "silent"));
        dialWhenDue(now, effects);
    }

    private void closeRetired(long now, List<LinkEffect> effects) {
        Iterator<Map.Entry<Long, Retired>> all = retired.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<Long, Retired> old = all.next();
            if (now - old.getValue().closeAtNanos() < 0) {
                continue;
            }
            effects.add(new LinkEffect.Close(old.getKey()));
            all.remove();
        }
    }

    private void backOff(long now) {
        long longest = settings.longestBackoff().toNanos();
        long exponential = settings.shortestBackoff().toNanos() << Math.min(failures, MAXIMUM_BACKOFF_SHIFT);
        long backoff = Math.min(longest, exponential);
        failures++;
        state = State.DISCONNECTED;
        nextDialNanos = now + backoff / 2 + jitter.nextLong(backoff / 2 + 1);
    }

    private enum State {
        DISCONNECTED,
        DIALLING,
        AWAITING_HELLO,
        USABLE
    }

    private record Retired(Hello hello, long closeAtNanos) {}
}
