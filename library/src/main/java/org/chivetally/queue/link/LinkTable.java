package org.chivetally.queue.link;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chivetally.logging.EventLine;
import org.chivetally.time.Timers;
import org.chivetally.transport.FrameConnection;
import org.chivetally.transport.FrameListener;
import org.chivetally.wire.v1.Frame;

/**
 * The links of a process, at most one to each peer. The table dials configured peers until they are connected, and
 * redials them when a link is lost. It closes links on which no frame arrives for some time, because a connection can
 * hang forever without an error.
 */
public final class LinkTable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /**
     * Time without a received frame after which a link is closed. Heartbeats arrive every 250 ms, or every 750 ms if
     * there is no work; even a machine slowed down fivefold sends one within this time.
     */
    public static final Duration SILENCE_TIMEOUT = Duration.ofMillis(1_500);

    /**
     * Delay before the first redial. A restart of a process takes about two seconds, so shorter delays gain nothing.
     */
    static final Duration FIRST_REDIAL_DELAY = Duration.ofMillis(200);

    /** Longest delay between redials, which bounds the time until a recovered peer is connected. */
    static final Duration LONGEST_REDIAL_DELAY = Duration.ofMillis(1_000);

    private final Peer self;
    private final Timers timers;
    private final Dialer dialer;
    private final LinkListener listener;
    private final Map<String, PeerLink> links = new LinkedHashMap<>();
    private final Map<FrameConnection, PeerLink> byConnection = new IdentityHashMap<>();
    private final Map<String, Target> targets = new HashMap<>();

    /**
     * Creates a table without links.
     *
     * @param self identity of this process, sent to peers
     * @param timers timers of the event loop
     * @param dialer opens connections
     * @param listener receives the events of the links
     */
    public LinkTable(Peer self, Timers timers, Dialer dialer, LinkListener listener) {
        this.self = self;
        this.timers = timers;
        this.dialer = dialer;
        this.listener = listener;
    }

    /** Returns a listener for the connections that peers open. */
    public FrameListener acceptor() {
        return new Handshake(Optional.empty());
    }

    /** Returns the open links. */
    public Collection<PeerLink> links() {
        return List.copyOf(links.values());
    }

    /** Returns the number of open links. */
    public int size() {
        return links.size();
    }

    /** Returns the open link to a process, if there is one. */
    public Optional<PeerLink> link(String process) {
        return Optional.ofNullable(links.get(process));
    }

    /**
     * Connects to a peer, and redials it whenever the link is lost. A newer incarnation replaces the address of a peer.
     * A peer with an invalid identity is ignored.
     */
    public void dial(Peer peer) {
        Target existing = targets.get(peer.process());
        boolean isKnown = existing != null && existing.redials && existing.peer.incarnation() >= peer.incarnation();
        if (!isKnown && !isRejected(peer)) {
            connect(new Target(peer, true));
        }
    }

    /**
     * Connects to a peer that has not connected itself, unless an attempt is in progress. A failed attempt or a lost
     * link is not retried. A peer with an invalid identity is ignored.
     */
    public void dialOnce(Peer peer) {
        boolean isConnecting = targets.containsKey(peer.process()) || links.containsKey(peer.process());
        if (!isConnecting && !isRejected(peer)) {
            connect(new Target(peer, false));
        }
    }

    private static boolean isRejected(Peer peer) {
        Optional<String> invalid = peer.invalidComponent();
        invalid.ifPresent(component -> EventLine.of("peer-rejected")
                .with("peer", peer.process())
                .with("component", component)
                .log(LOGGER.atWarning()));
        return invalid.isPresent();
    }

    private void connect(Target target) {
        targets.put(target.peer.process(), target);
        target.dial();
    }

    /** Returns the time until the next link reaches its silence timeout if no frame arrives on it. */
    public Duration untilNextSilenceTimeout() {
        long now = timers.nanos();
        long remaining = SILENCE_TIMEOUT.toNanos();
        for (PeerLink link : links.values()) {
            remaining = Math.min(remaining, link.lastReceivedNanos() + SILENCE_TIMEOUT.toNanos() - now);
        }
        return Duration.ofNanos(Math.max(0, remaining));
    }

    /**
     * Closes links that have reached the silence timeout. Called with each heartbeat, so that one wake-up serves both.
     */
    public void closeSilentLinks() {
        long now = timers.nanos();
        for (PeerLink link : links()) {
            if (now - link.lastReceivedNanos() >= SILENCE_TIMEOUT.toNanos()) {
                closeLink(link, "silent");
            }
        }
    }

    private void closeLink(PeerLink link, String reason) {
        link.connection().close();
        byConnection.remove(link.connection());
        if (!links.remove(link.peer().process(), link)) {
            return;
        }
        EventLine.of("link-lost")
                .with("peer", link.peer().process())
                .with("incarnation", link.peer().incarnation())
                .with("silent_ms", (timers.nanos() - link.lastReceivedNanos()) / 1_000_000)
                .with("reason", reason)
                .log(LOGGER.atWarning());
        listener.down(link, reason);
        Target target = targets.get(link.peer().process());
        if (target != null) {
            target.scheduleRedial();
        }
    }

    private void openLink(FrameConnection connection, Peer peer) {
        PeerLink existing = links.get(peer.process());
        if (existing != null && existing.peer().incarnation() > peer.incarnation()) {
            connection.close();
            return;
        }
        if (existing != null) {
            closeLink(existing, "replaced");
        }
        PeerLink link = new PeerLink(peer, connection, timers.nanos());
        links.put(peer.process(), link);
        byConnection.put(connection, link);
        EventLine.of("link-up")
                .with("peer", peer.process())
                .with("incarnation", peer.incarnation())
                .log(LOGGER.atInfo());
        Target target = targets.get(peer.process());
        if (target != null) {
            target.redialDelay = FIRST_REDIAL_DELAY;
        }
        listener.up(link);
    }

    /** A peer to which this process opens a link. */
    private final class Target {
        private final Peer peer;
        private final boolean redials;
        private Duration redialDelay = FIRST_REDIAL_DELAY;

        private Target(Peer peer, boolean redials) {
            this.peer = peer;
            this.redials = redials;
        }

        private void dial() {
            if (targets.get(peer.process()) != this || links.containsKey(peer.process())) {
                return;
            }
            Handshake handshake = new Handshake(Optional.of(this));
            // A connection can open and then hang forever, without a hello and without an error.
            timers.after(SILENCE_TIMEOUT, handshake::abandonWithoutHello);
            dialer.dial(peer.host(), peer.port(), handshake);
        }

        private void scheduleRedial() {
            if (!redials) {
                targets.remove(peer.process(), this);
                return;
            }
            timers.after(redialDelay, this::dial);
            Duration doubled = redialDelay.multipliedBy(2);
            redialDelay = doubled.compareTo(LONGEST_REDIAL_DELAY) > 0 ? LONGEST_REDIAL_DELAY : doubled;
        }
    }

    /** Listener of one connection, from its opening to its end. */
    private final class Handshake implements FrameListener {
        private final Optional<Target> target;
        private FrameConnection opened;
        private boolean helloReceived;
        private boolean ended;

        private Handshake(Optional<Target> target) {
            this.target = target;
        }

        @Override
        public void connected(FrameConnection connection) {
            opened = connection;
            connection.send(Frame.newBuilder().setLinkHello(self.hello()).build());
        }

        @Override
        public void received(FrameConnection connection, Frame frame) {
            if (frame.getBodyCase() == Frame.BodyCase.LINK_HELLO) {
                receiveHello(connection, Peer.of(frame.getLinkHello()));
                return;
            }
            linkOf(connection).ifPresent(link -> {
                link.recordReceived(timers.nanos());
                listener.received(link, frame);
            });
        }

        private void receiveHello(FrameConnection connection, Peer peer) {
            if (ended) {
                return;
            }
            if (isRejected(peer)) {
                // An entry passes the addresses of its peers on to all agents.
                connection.close();
                return;
            }
            helloReceived = true;
            openLink(connection, peer);
        }

        @Override
        public void disconnected(FrameConnection connection, String reason) {
            linkOf(connection).ifPresent(link -> closeLink(link, reason));
            if (!helloReceived && !ended) {
                ended = true;
                target.ifPresent(Target::scheduleRedial);
            }
        }

        private void abandonWithoutHello() {
            if (helloReceived || ended) {
                return;
            }
            ended = true;
            if (opened != null) {
                opened.close();
            }
            target.ifPresent(Target::scheduleRedial);
        }

        /** Returns the link of a connection, unless a newer connection to the same peer has replaced it. */
        private Optional<PeerLink> linkOf(FrameConnection connection) {
            return Optional.ofNullable(byConnection.get(connection));
        }
    }
}
