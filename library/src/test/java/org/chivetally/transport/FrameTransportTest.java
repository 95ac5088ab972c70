package org.chivetally.transport;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Hello;
import org.chivetally.wire.v1.Result;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FrameTransportTest {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int END_OF_STREAM = -1;

    private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
    private final FrameTransport transport = new FrameTransport(registry);
    private final RecordingListener server = new RecordingListener();
    private final RecordingListener client = new RecordingListener();
    private InetSocketAddress address;

    @BeforeEach
    void listen() {
        address = transport.listen(LOOPBACK, 0, server).toCompletableFuture().join();
    }

    @AfterEach
    void close() {
        transport.close();
    }

    /** Batching of frames must not reorder, drop or duplicate them. */
    @Test
    void carriesFramesBothWaysInOrder() throws InterruptedException {
        transport.dial(LOOPBACK, address.getPort(), client);
        FrameConnection dialled = client.nextConnection();
        int frames = 2_000;
        for (int number = 1; number <= frames; number++) {
            dialled.send(result(number, "x".repeat(number % 200)));
        }
        for (int number = 1; number <= frames; number++) {
            assertThat(server.nextFrame(), is(result(number, "x".repeat(number % 200))));
        }
        server.nextConnection().send(hello());
        assertThat(client.nextFrame(), is(hello()));
        assertThat(count("chivetally.transport.frames", "out", "result"), is((double) frames));
        assertThat(count("chivetally.transport.frames", "in", "result"), is((double) frames));
        assertThat(count("chivetally.transport.bytes", "in", "hello"), is((double) hello().getSerializedSize()));
    }

    /** The size limit must not reject a frame that is barely within it. */
    @Test
    void carriesAFrameOfTheMaximumSize() throws InterruptedException {
        transport.dial(LOOPBACK, address.getPort(), client);
        Frame frame = result(1, "y".repeat(FrameTransport.MAXIMUM_FRAME_BYTES - 64));
        client.nextConnection().send(frame);
        assertThat(server.nextFrame(), is(frame));
    }

    /** Closing immediately would lose the frames that are still queued. */
    @Test
    void flushesSentFramesBeforeClosing() throws InterruptedException {
        transport.dial(LOOPBACK, address.getPort(), client);
        FrameConnection dialled = client.nextConnection();
        dialled.send(result(1, "z".repeat(1_000_000)));
        dialled.close();
        dialled.send(hello());
        assertThat(server.nextFrame().getRequestId(), is(1L));
        server.nextDisconnectReason();
        client.nextDisconnectReason();
        assertThat(server.unreadFrames(), is(0));
    }

    /** An exception for an invalid port of a peer ended the loop over the peers behind it, and all later attempts. */
    @ParameterizedTest
    @ValueSource(ints = {-1, 0, 65_536, 70_000})
    void reportsAnInvalidPortAsAFailedConnectionAttempt(int port) throws InterruptedException {
        transport.dial(LOOPBACK, port, client);
        assertThat(client.nextDisconnectReason(), startsWith("dial failed"));
    }

    /** Nothing listens on the port; the failure must be reported so that the caller can retry. */
    @Test
    void reportsAFailedConnectionAttempt() throws Exception {
        int closedPort;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK))) {
            closedPort = socket.getLocalPort();
        }
        transport.dial(LOOPBACK, closedPort, client);
        assertThat(client.nextDisconnectReason(), startsWith("dial failed"));
    }

    /**
     * A foreign program connects and writes bytes with a valid length prefix and invalid content. Only its own
     * connection may be closed, with the cause logged; the next connection must work.
     */
    @Test
    void closesAConnectionThatSendsGarbage() throws Exception {
        try (Socket socket = new Socket(LOOPBACK, address.getPort())) {
            socket.getOutputStream().write(new byte[] {3, 7, 7, 7, 9, 9});
            assertThat(socket.getInputStream().read(), is(END_OF_STREAM));
        }
        assertThat(server.nextDisconnectReason(), containsString("InvalidProtocolBuffer"));
        server.nextConnection();
        carriesFramesBothWaysInOrder();
    }

    /**
     * A faulty peer announces a frame of 2 GiB. Buffering it would exhaust the memory of the process, so a length
     * prefix of more than 4 MiB closes the connection before any content is buffered.
     */
    @Test
    void closesAConnectionThatAnnouncesAnOversizeFrame() throws Exception {
        try (Socket socket = new Socket(LOOPBACK, address.getPort())) {
            socket.getOutputStream().write(new byte[] {-1, -1, -1, -1, 7});
            assertThat(socket.getInputStream().read(), is(END_OF_STREAM));
        }
        assertThat(server.nextDisconnectReason(), containsString("TooLongFrame"));
    }

    /** The peer would close the connection on an oversize frame, and other requests in flight on it would fail. */
    @Test
    void dropsAnOversizeFrameAndKeepsTheConnection() throws InterruptedException {
        transport.dial(LOOPBACK, address.getPort(), client);
        FrameConnection dialled = client.nextConnection();
        dialled.send(result(1, "y".repeat(FrameTransport.MAXIMUM_FRAME_BYTES)));
        dialled.send(hello());
        assertThat(server.nextFrame(), is(hello()));
        assertThat(registry.counter("chivetally.transport.oversize.dropped").count(), is(1.0));
    }

    /**
     * A peer opens a connection and does not read while this side sends 64 MB. Once the socket buffers are full and 8
     * MiB are queued, the connection must be closed and the rest dropped; otherwise the queue would grow without bound.
     */
    @Test
    void closesAConnectionWhosePeerDoesNotRead() throws Exception {
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(4_096);
            socket.connect(address);
            FrameConnection accepted = server.nextConnection();
            String megabyte = "x".repeat(1_000_000);
            for (int number = 1; number <= 64; number++) {
                accepted.send(result(number, megabyte));
            }
            assertThat(server.nextDisconnectReason(), is("peer reads too slowly"));
        }
    }

    /** During a rolling upgrade, a newer release may send frame types that this one does not know. */
    @Test
    void skipsUnknownFrameTypes() throws InterruptedException {
        transport.dial(LOOPBACK, address.getPort(), client);
        FrameConnection dialled = client.nextConnection();
        dialled.send(Frame.newBuilder().setRequestId(5).build());
        dialled.send(hello());
        assertThat(server.nextFrame(), is(hello()));
    }

    private double count(String name, String direction, String body) {
        return registry.counter(name, "direction", direction, "body", body).count();
    }

    private static Frame hello() {
        return Frame.newBuilder()
                .setHello(Hello.newBuilder().setProcessId("entry-1"))
                .build();
    }

    private static Frame result(long requestId, String body) {
        return Frame.newBuilder()
                .setRequestId(requestId)
                .setResult(Result.newBuilder().setAttemptId("a" + requestId).setBody(body))
                .build();
    }
}
