package org.chivetally.queue.link;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.chivetally.queue.ManualTimers;
import org.chivetally.wire.v1.Frame;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Identities that another writer or an odd peer has sent. */
class LinkTableTest {
    private static final String ADDRESS = "10.0.0.9";

    private final ManualTimers timers = new ManualTimers();
    private final MemoryNetwork network = new MemoryNetwork(timers);
    private final List<String> dialed = new ArrayList<>();
    private final List<Peer> linked = new ArrayList<>();
    private final LinkTable table = new LinkTable(
            peer("entry-1", 1, network.addressOf("entry-1"), 1),
            timers,
            (host, port, listener) -> dialed.add(host + ":" + port),
            new LinkListener() {
                @Override
                public void up(PeerLink link) {
                    linked.add(link.peer());
                }

                @Override
                public void received(PeerLink link, Frame frame) {}

                @Override
                public void down(PeerLink link, String reason) {}
            });

    private static Peer peer(String process, long incarnation, String host, int port) {
        return new Peer(process, incarnation, true, "north", host, port);
    }

    /** Each of these made an attempt fail with an exception, or never end, and was awaited at each takeover. */
    @ParameterizedTest
    @CsvSource({
        "agent-9, 1, 10.0.0.9, 70000, port",
        "agent-9, 1, 10.0.0.9, -1, port",
        "agent-9, 1, 10.0.0.9, 0, port",
        "agent-9, 1, '', 8161, host",
        "agent-9, 1, agent-9.example, 8161, host",
        "agent-9, 1, 0.0.0.0, 8161, host",
        "agent-9, 0, 10.0.0.9, 8161, incarnation",
        "agent-9, -5, 10.0.0.9, 8161, incarnation",
        "' ', 1, 10.0.0.9, 8161, process"
    })
    void dialsNoInvalidPeer(String process, long incarnation, String host, int port, String component) {
        Peer invalid = peer(process, incarnation, host, port);
        assertThat(invalid.invalidComponent(), is(Optional.of(component)));
        table.dial(invalid);
        table.dialOnce(invalid);
        timers.advance(Duration.ofSeconds(5));
        assertThat(dialed, is(empty()));
    }

    /**
     * An entry passed the address of such a peer on to all agents, which lost their links to the entry on dialing it.
     */
    @Test
    void rejectsTheHelloOfAnInvalidPeer() {
        network.listen("entry-1", table.acceptor());
        Peer invalid = peer("agent-9", 1, ADDRESS, 70_000);
        LinkTable sender = new LinkTable(invalid, timers, network.dialer("agent-9"), new LinkListener() {
            @Override
            public void up(PeerLink link) {}

            @Override
            public void received(PeerLink link, Frame frame) {}

            @Override
            public void down(PeerLink link, String reason) {}
        });
        sender.dial(peer("entry-1", 1, network.addressOf("entry-1"), 1));
        timers.advance(Duration.ofMillis(100));
        assertThat(linked, is(empty()));
        assertThat(table.links(), is(empty()));
    }
}
