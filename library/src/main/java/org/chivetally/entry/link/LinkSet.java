package org.chivetally.entry.link;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.chivetally.logging.EventLine;
import org.chivetally.transport.FrameConnection;
import org.chivetally.transport.FrameListener;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Heartbeat;
import org.chivetally.wire.v1.Hello;

/**
 * Links to a set of processes over a transport. Not thread-safe: only the actor that owns the set calls it.
 *
 * <p>The transport's threads pass their signals to the owning actor, which calls {@link #signal}.
 */
public final class LinkSet {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Wiring wiring;
    private final HeartbeatSettings settings;
    private final LinkObserver observer;
    private final Map<String, Link> links = new HashMap<>();
    private final Map<Long, String> processIds = new HashMap<>();
    private final Map<Long, FrameConnection> connections = new HashMap<>();
    private long lastConnectionId;

    /** Creates an empty set. */
    public LinkSet(Wiring wiring, HeartbeatSettings settings, LinkObserver observer) {
        this.wiring = wiring;
        this.settings = settings;
        this.observer = observer;
    }

    /**
     * Adds a link to a process at an address. An existing link to the same address is kept; one to another address is
     * closed and replaced.
     *
     * @param now reading of the monotonic clock, in nanoseconds
     */
    public void add(String processId, Address address, long now) {
        Link present = links.get(processId);
        if (present != null && present.address().equals(address)) {
            return;
        }
        if (present != null) {
            remove(processId, "moved");
        }
        links.put(processId, new Link(processId, address, settings, () -> ++lastConnectionId, wiring.jitter(), now));
        LOGGER.atInfo().log(
                "%s", EventLine.of("link-kept").with("process", processId).with("address", address));
    }

    /**
     * Cancels the wait after failed dials: the link dials at the next tick. Called when the process is known to run
     * again.
     *
     * @param now reading of the monotonic clock, in nanoseconds
     */
    public void resetBackoff(String processId, long now) {
        Link link = links.get(processId);
        if (link != null) {
            link.resetBackoff(now);
        }
    }

    /** Sets the time between heartbeats while no answer of the process is awaited. */
    public void setIdleInterval(String processId, Duration interval) {
        Link link = links.get(processId);
        if (link != null) {
            link.setIdleInterval(interval.toNanos());
        }
    }

    /** Closes and removes the link to a process; the observer is notified if the link was usable. */
    public void remove(String processId, String reason) {
        Link link = links.remove(processId);
        if (link == null) {
            return;
        }
        Hello usable = link.usableHello();
        execute(processId, link, link.close());
        if (usable != null) {
            linkDown(usable, reason);
        }
    }

    /** Returns the processes that have a link, usable or not. */
    public Set<String> processes() {
        return Set.copyOf(links.keySet());
    }

    /** Returns the Hello of a process if it is reachable. */
    public Optional<Hello> usable(String processId) {
        return Optional.ofNullable(links.get(processId)).map(Link::usableHello);
    }

    /**
     * Sends a frame to a process, with a new request id if the frame has none.
     *
     * @return whether the frame was sent; false if the process is not reachable
     */
    public boolean send(String processId, Frame frame) {
        Link link = links.get(processId);
        FrameConnection connection = link == null ? null : connections.get(link.usableConnectionId());
        if (connection == null) {
            return false;
        }
        connection.send(frame.getRequestId() == 0 ? withRequestId(frame) : frame);
        return true;
    }

    private Frame withRequestId(Frame frame) {
        return frame.toBuilder().setRequestId(wiring.requestIds().getAsLong()).build();
    }

    /**
     * Handles a signal of the transport.
     *
     * @param now reading of the monotonic clock, in nanoseconds
     */
    public void signal(LinkSignal signal, long now) {
        String processId = processIds.get(signal.connectionId());
        Link link = processId == null ? null : links.get(processId);
        switch (signal) {
            case LinkSignal.Opened opened -> opened(processId, link, opened, now);
            case LinkSignal.Received received -> received(processId, link, received, now);
            case LinkSignal.Closed closed -> closed(processId, link, closed, now);
        }
    }

    /**
     * Dials, sends heartbeats and replaces silent connections where due. Called periodically.
     *
     * @param now reading of the monotonic clock, in nanoseconds
     * @param awaiting tests whether an answer of the process with the given id is awaited
     */
    public void tick(long now, Predicate<String> awaiting) {
        for (Map.Entry<String, Link> entry : Map.copyOf(links).entrySet()) {
            Link link = entry.getValue();
            execute(entry.getKey(), link, link.tick(now, awaiting.test(entry.getKey())));
        }
    }

    /** Closes all links without notifying the observer. */
    public void close() {
        links.forEach((processId, link) -> execute(processId, link, link.close()));
        links.clear();
    }

    private void opened(String processId, Link link, LinkSignal.Opened opened, long now) {
        if (link == null) {
            opened.connection().close();
            return;
        }
        connections.put(opened.connectionId(), opened.connection());
        execute(processId, link, link.opened(opened.connectionId(), now));
    }

    private void received(String processId, Link link, LinkSignal.Received received, long now) {
        if (link != null) {
            execute(processId, link, link.received(received.connectionId(), received.frame(), now));
        }
    }

    private void closed(String processId, Link link, LinkSignal.Closed closed, long now) {
        processIds.remove(closed.connectionId());
        connections.remove(closed.connectionId());
        if (link != null) {
            execute(processId, link, link.closed(closed.connectionId(), closed.reason(), now));
        }
    }

    private void execute(String processId, Link link, List<LinkEffect> effects) {
        for (LinkEffect effect : effects) {
            execute(processId, link, effect);
        }
    }

    private void execute(String processId, Link link, LinkEffect effect) {
        switch (effect) {
            case LinkEffect.Dial dial -> dial(processId, link, dial.connectionId());
            case LinkEffect.SendHello sendHello ->
                sendOn(
                        sendHello.connectionId(),
                        Frame.newBuilder().setHello(wiring.hello().get()));
            case LinkEffect.SendHeartbeat sendHeartbeat ->
                sendOn(sendHeartbeat.connectionId(), Frame.newBuilder().setHeartbeat(heartbeat(false)));
            case LinkEffect.AnswerHeartbeat answer -> answerHeartbeat(answer);
            case LinkEffect.Close close -> closeConnection(close.connectionId());
            case LinkEffect.Up up -> linkUp(link, up.hello());
            case LinkEffect.Down down -> linkDown(down.hello(), down.reason());
            case LinkEffect.UnexpectedProcess unexpected -> observer.unexpectedProcess(unexpected.hello());
            case LinkEffect.Deliver deliver -> observer.received(deliver.sender(), deliver.frame());
        }
    }

    private void linkUp(Link link, Hello hello) {
        LOGGER.atInfo().log(
                "%s",
                EventLine.of("link-up")
                        .with("process", hello.getProcessId())
                        .with("incarnation", hello.getIncarnation())
                        .with("address", link.address()));
        observer.up(hello);
    }

    private void linkDown(Hello hello, String reason) {
        LOGGER.atInfo().log(
                "%s",
                EventLine.of("link-down").with("process", hello.getProcessId()).with("reason", reason));
        observer.down(hello, reason);
    }

    private void dial(String processId, Link link, long connectionId) {
        processIds.put(connectionId, processId);
        wiring.dialer()
                .dial(link.address().host(), link.address().port(), new SignalListener(connectionId, wiring.signals()));
    }

    private void closeConnection(long connectionId) {
        processIds.remove(connectionId);
        FrameConnection connection = connections.remove(connectionId);
        if (connection != null) {
            connection.close();
        }
    }

    private void answerHeartbeat(LinkEffect.AnswerHeartbeat answer) {
        FrameConnection connection = connections.get(answer.connectionId());
        if (connection == null) {
            return;
        }
        connection.send(Frame.newBuilder()
                .setRequestId(answer.requestId())
                .setHeartbeat(heartbeat(true))
                .build());
    }

    private Heartbeat.Builder heartbeat(boolean answer) {
        return Heartbeat.newBuilder()
                .setAnswer(answer)
                .setConfigurationVersion(wiring.configurationVersion().getAsLong());
    }

    private void sendOn(long connectionId, Frame.Builder frame) {
        FrameConnection connection = connections.get(connectionId);
        if (connection != null) {
            connection.send(frame.setRequestId(wiring.requestIds().getAsLong()).build());
        }
    }

    /**
     * Dependencies of a set.
     *
     * @param dialer opens connections
     * @param hello supplies this process's Hello
     * @param requestIds supplies request ids that are unique within this process
     * @param configurationVersion supplies the configuration version in force here, which is sent with each heartbeat
     * @param jitter random source that spreads the redials after failures
     * @param signals passes signals to the owning actor; called on the transport's threads
     */
    public record Wiring(
            Dialer dialer,
            Supplier<Hello> hello,
            LongSupplier requestIds,
            LongSupplier configurationVersion,
            RandomGenerator jitter,
            Consumer<LinkSignal> signals) {}

    private record SignalListener(long connectionId, Consumer<LinkSignal> signals) implements FrameListener {
        @Override
        public void connected(FrameConnection connection) {
            signals.accept(new LinkSignal.Opened(connectionId, connection));
        }

        @Override
        public void received(FrameConnection connection, Frame frame) {
            signals.accept(new LinkSignal.Received(connectionId, frame));
        }

        @Override
        public void disconnected(FrameConnection connection, String reason) {
            signals.accept(new LinkSignal.Closed(connectionId, reason));
        }
    }
}
