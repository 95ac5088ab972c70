package org.chivetally.standins;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.function.BooleanSupplier;
import org.chivetally.standins.RelayFaults.NewConnections;
import org.chivetally.standins.RelayFaults.Silence;
import org.hamcrest.MatcherAssert;
import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Checks forwarding and each fault of the relay over real sockets. */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class TcpRelayTest {
    private static final int END_OF_STREAM = -1;

    private EchoServer server;
    private TcpRelay relay;

    @BeforeEach
    void start() throws IOException {
        server = new EchoServer();
        relay = TcpRelay.start(0, "127.0.0.1", server.port());
    }

    @AfterEach
    void stop() throws IOException {
        relay.close();
        server.close();
    }

    @Test
    void forwardsBothDirectionsAndTheClose() throws IOException {
        try (Socket socket = connect()) {
            MatcherAssert.assertThat(echo(socket, 'x'), Matchers.is((int) 'x'));
        }
        await(() -> relay.statistics().open() == 0);
        MatcherAssert.assertThat(relay.statistics(), Matchers.is(new RelayStatistics(1, 0, 1, 1, 0)));
    }

    // An open connection is silenced in both directions: bytes that the caller sends are read but not forwarded, and no
    // close is seen. A connection opened afterwards works, and the first one stays silent after the fault is removed.
    @Test
    void silencesOpenConnectionsWhileNewOnesWork() throws IOException {
        try (Socket silenced = connect()) {
            echo(silenced, 'a');
            relay.setFaults(RelayFaults.silencing(Silence.BOTH));
            relay.setFaults(RelayFaults.NONE);
            silenced.getOutputStream().write('b');
            await(() -> relay.statistics().bytesWithheld() == 1);
            try (Socket newSocket = connect()) {
                MatcherAssert.assertThat(echo(newSocket, 'c'), Matchers.is((int) 'c'));
            }
            MatcherAssert.assertThat(server.received(), Matchers.is(2L));
            MatcherAssert.assertThat(silenced.getInputStream().available(), Matchers.is(0));
        }
    }

    // Only the direction to the caller is silenced: the target receives what the caller sends, but its answer is lost.
    @Test
    void silencesOneDirection() throws IOException {
        try (Socket socket = connect()) {
            echo(socket, 'a');
            relay.setFaults(RelayFaults.silencing(Silence.TO_CLIENT));
            socket.getOutputStream().write('b');
            await(() -> relay.statistics().bytesWithheld() == 1);
            MatcherAssert.assertThat(server.received(), Matchers.is(2L));
            MatcherAssert.assertThat(relay.statistics().bytesToClient(), Matchers.is(1L));
        }
    }

    @Test
    void cutsOpenConnections() throws IOException {
        try (Socket socket = connect()) {
            echo(socket, 'a');
            relay.setFaults(new RelayFaults(0, Silence.NONE, true, NewConnections.FORWARDED));
            MatcherAssert.assertThat(socket.getInputStream().read(), Matchers.is(END_OF_STREAM));
        }
        await(() -> relay.statistics().open() == 0);
    }

    // New connections are accepted but not forwarded, or closed at once; in both cases the target doesn't see them.
    // After the fault is removed, new connections are forwarded again.
    @Test
    void newConnectionsMayBeSilentOrClosed() throws IOException {
        relay.setFaults(new RelayFaults(0, Silence.NONE, false, NewConnections.SILENT));
        try (Socket silent = connect()) {
            silent.getOutputStream().write('a');
            await(() -> relay.statistics().accepted() == 1);
            relay.setFaults(new RelayFaults(0, Silence.NONE, false, NewConnections.CLOSED));
            try (Socket closed = connect()) {
                MatcherAssert.assertThat(closed.getInputStream().read(), Matchers.is(END_OF_STREAM));
            }
            relay.setFaults(RelayFaults.NONE);
            try (Socket forwarded = connect()) {
                MatcherAssert.assertThat(echo(forwarded, 'c'), Matchers.is((int) 'c'));
            }
            MatcherAssert.assertThat(server.received(), Matchers.is(1L));
        }
    }

    @Test
    void aTargetThatRefusesClosesTheConnection() throws IOException {
        server.close();
        try (Socket socket = connect()) {
            MatcherAssert.assertThat(socket.getInputStream().read(), Matchers.is(END_OF_STREAM));
        }
    }

    private Socket connect() throws IOException {
        return new Socket(InetAddress.getLoopbackAddress(), relay.port());
    }

    private static int echo(Socket socket, char letter) throws IOException {
        socket.getOutputStream().write(letter);
        return socket.getInputStream().read();
    }

    private static void await(BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            Thread.onSpinWait();
        }
    }
}
