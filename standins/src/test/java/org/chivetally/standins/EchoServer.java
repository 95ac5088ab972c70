package org.chivetally.standins;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** TCP server that echoes each byte it receives and counts them. */
final class EchoServer implements AutoCloseable {
    private final ServerSocket listener;
    private final AtomicLong received = new AtomicLong();

    EchoServer() throws IOException {
        listener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    long received() {
        return received.get();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket connection = listener.accept();
                Thread.ofVirtual().start(() -> echo(connection));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void echo(Socket connection) {
        try (connection) {
            for (int read = connection.getInputStream().read();
                    read >= 0;
                    read = connection.getInputStream().read()) {
                received.incrementAndGet();
                connection.getOutputStream().write(read);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
