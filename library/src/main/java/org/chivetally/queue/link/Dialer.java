package org.chivetally.queue.link;

import org.chivetally.transport.FrameListener;

/** Opens connections to other processes. */
@FunctionalInterface
public interface Dialer {
    /**
     * Opens a connection.
     *
     * @param host host to connect to
     * @param port port to connect to
     * @param listener receives the outcome and the events of the connection
     */
    void dial(String host, int port, FrameListener listener);
}
