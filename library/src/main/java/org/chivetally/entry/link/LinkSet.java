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
 * Links to a set of processes, carried out over a transport and driven by the one actor that owns the set.
 *
 * <p>The transport's threads only hand signals to the owner, which passes them to {@link #signal}.
 */
public final class LinkSet {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Wiring wiring;
    private final HeartbeatSettings settings;
    private final LinkObserver observer;
    private final Map<String, Link> links = new HashMap<>();
    private final Map<Long, String> owners = new HashMap<>();
    private final Map<Long, FrameConnection> connections = new HashMap<>();
    private long lastDial;

    /** Creates an empty set. */
    public LinkSet(Wiring wiring, HeartbeatSettings settings, LinkObserver observer) {
        this.wiring = wiring;
        this.settings = settings;
        this.observer = observer;
    }

    /** Keeps a link to a process at an address; an earlier link to another address of it is closed. */
    public void keep(String processId, Address address, long now) {
        Link present = links.get(processId);
        if (present != null && present.address().equals(address)) {
            return;
        }
        if (present != null) {
            drop(processId, "moved");
        }
        links.put(processId, new Link(processId, address, settings, () -> ++lastDial, wiring.jitter(), now));
        LOGGER.atInfo().log(
                "%s", EventLine.of("link-kept").with("process", processId).with("address", address));
    }

    /** Dials a process at once if its link waits after failures, since it is known to be there again. */
    public void hurry(String processId, long now) {
        Link link = links.get(processId);
        if (link != null) {
            link.hurry(now);
        }
    }

    /** Sets the time between heartbeats on an idle link. */
    public void pace(String processId, Duration interval) {
        Link link = links.get(processId);
        if (link != null) {
            link.pace(interval.toNanos());
        }
    }

    /** Closes the link to a process; the observer hears of it when the link was usable. */
    public void drop(String processId, String reason) {
        Link link = links.remove(processId);
        if (link == null) {
            return;
        }
        Hello usable = link.usableHello();
        carryOut(processId, link, link.close());
        if (usable != null) {
            lost(usable, reason);
        }
    }

    /** Returns the processes that have a link, usable or not. */
    public Set<String> processes() {
        return Set.copyOf(links.keySet());
    }

    /** Returns the introduction of a process that can be reached now. */
    public Optional<Hello> usable(String processId) {
        return Optional.ofNullable(links.get(processId)).map(Link::usableHello);
    }

    /** Sends a frame, with a new request id when it has none; false when the process can't be reached now. */
    public boolean send(String processId, Frame frame) {
        Link link = links.get(processId);
        FrameConnection connection = link == null ? null : connections.get(link.usableDial());
        if (connection == null) {
            return false;
        }
        connection.send(frame.getRequestId() == 0 ? numbered(frame) : frame);
        return true;
    }

    private Frame numbered(Frame frame) {
        return frame.toBuilder().setRequestId(wiring.requestIds().getAsLong()).build();
    }

    /** Passes on what the transport reported. */
    public void signal(LinkSignal signal, long now) {
        String processId = owners.get(signal.dial());
        Link link = processId == null ? null : links.get(processId);
        switch (signal) {
            case LinkSignal.Opened opened -> opened(processId, link, opened, now);
            case LinkSignal.Received received -> received(processId, link, received, now);
            case LinkSignal.Closed closed -> closed(processId, link, closed, now);
        }
    }

    /** Time passed; the predicate tells whether answers of a process are awaited. */
    public void tick(long now, Predicate<String> awaiting) {
        for (Map.Entry<String, Link> entry : Map.copyOf(links).entrySet()) {
            Link link = entry.getValue();
            carryOut(entry.getKey(), link, link.tick(now, awaiting.test(entry.getKey())));
        }
    }

    /** Closes all links without telling the observer. */
    public void close() {
        links.forEach((processId, link) -> carryOut(processId, link, link.close()));
        links.clear();
    }

    private void opened(String processId, Link link, LinkSignal.Opened opened, long now) {
        if (link == null) {
            opened.connection().close();
            return;
        }
        connections.put(opened.dial(), opened.connection());
        carryOut(processId, link, link.opened(opened.dial(), now));
    }

    private void received(String processId, Link link, LinkSignal.Received received, long now) {
        if (link != null) {
            carryOut(processId, link, link.received(received.dial(), received.frame(), now));
        }
    }

    private void closed(String processId, Link link, LinkSignal.Closed closed, long now) {
        owners.remove(closed.dial());
        connections.remove(closed.dial());
        if (link != null) {
            carryOut(processId, link, link.closed(closed.dial(), closed.reason(), now));
        }
    }

    private void carryOut(String processId, Link link, List<LinkEffect> effects) {
        for (LinkEffect effect : effects) {
            carryOut(processId, link, effect);
        }
    }

    private void carryOut(String processId, Link link, LinkEffect effect) {
        switch (effect) {
            case LinkEffect.Dial dial -> dial(processId, link, dial.dial());
            case LinkEffect.Greet greet ->
                sendOn(greet.dial(), Frame.newBuilder().setHello(wiring.hello().get()));
            case LinkEffect.Beat beat -> sendOn(beat.dial(), Frame.newBuilder().setHeartbeat(heartbeat(false)));
            case LinkEffect.AnswerBeat answer -> answer(answer);
            case LinkEffect.Hangup hangup -> hangUp(hangup.dial());
            case LinkEffect.Up up -> found(link, up.hello());
            case LinkEffect.Down down -> lost(down.hello(), down.reason());
            case LinkEffect.Stranger stranger -> observer.stranger(stranger.hello());
            case LinkEffect.Deliver deliver -> observer.received(deliver.sender(), deliver.frame());
        }
    }

    private void found(Link link, Hello hello) {
        LOGGER.atInfo().log(
                "%s",
                EventLine.of("link-up")
                        .with("process", hello.getProcessId())
                        .with("incarnation", hello.getIncarnation())
                        .with("address", link.address()));
        observer.up(hello);
    }

    private void lost(Hello hello, String reason) {
        LOGGER.atInfo().log(
                "%s",
                EventLine.of("link-down").with("process", hello.getProcessId()).with("reason", reason));
        observer.down(hello, reason);
    }

    private void dial(String processId, Link link, long dial) {
        owners.put(dial, processId);
        wiring.dialer().dial(link.address().host(), link.address().port(), new SignalListener(dial, wiring.signals()));
    }

    private void hangUp(long dial) {
        owners.remove(dial);
        FrameConnection connection = connections.remove(dial);
        if (connection != null) {
            connection.close();
        }
    }

    private void answer(LinkEffect.AnswerBeat answer) {
        FrameConnection connection = connections.get(answer.dial());
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

    private void sendOn(long dial, Frame.Builder frame) {
        FrameConnection connection = connections.get(dial);
        if (connection != null) {
            connection.send(frame.setRequestId(wiring.requestIds().getAsLong()).build());
        }
    }

    /**
     * What a set needs of its process.
     *
     * @param dialer opens connections
     * @param hello introduction of this process
     * @param requestIds request ids of this process, never repeated
     * @param configurationVersion version in force here, told with each heartbeat
     * @param jitter spreads dials after a failure
     * @param signals takes signals on the transport's threads to the owner
     */
    public record Wiring(
            Dialer dialer,
            Supplier<Hello> hello,
            LongSupplier requestIds,
            LongSupplier configurationVersion,
            RandomGenerator jitter,
            Consumer<LinkSignal> signals) {}

    private record SignalListener(long dial, Consumer<LinkSignal> signals) implements FrameListener {
        @Override
        public void connected(FrameConnection connection) {
            signals.accept(new LinkSignal.Opened(dial, connection));
        }

        @Override
        public void received(FrameConnection connection, Frame frame) {
            signals.accept(new LinkSignal.Received(dial, frame));
        }

        @Override
        public void disconnected(FrameConnection connection, String reason) {
            signals.accept(new LinkSignal.Closed(dial, reason));
        }
    }
}
