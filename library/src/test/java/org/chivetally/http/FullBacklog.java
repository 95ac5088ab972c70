package org.chivetally.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/** A listening socket whose queue of new connections is full, so that the opening packets of further ones are lost. */
final class FullBacklog implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 50;
    private static final int MAXIMUM_CONNECTIONS = 8;

    private final ServerSocket server;
    private final List<Socket> connections = new ArrayList<>();

    FullBacklog() throws IOException {
        InetAddress host = InetAddress.getLoopbackAddress();
        server = new ServerSocket(0, 1, host);
        for (int number = 0; number < MAXIMUM_CONNECTIONS; number++) {
            Socket socket = new Socket();
            connections.add(socket);
            try {
                socket.connect(new InetSocketAddress(host, server.getLocalPort()), CONNECT_TIMEOUT_MILLIS);
            } catch (SocketTimeoutException queueIsFull) {
                return;
            }
        }
        throw new IllegalStateException("the queue of new connections does not fill up");
    }

    int port() {
        return server.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        for (Socket socket : connections) {
            socket.close();
        }
        server.close();
    }
}
