package org.chivetally.transport;

import org.chivetally.wire.v1.Frame;

/** One open connection. All calls are safe from any thread and never block. */
public interface FrameConnection {
    /** Sends a frame; dropped when the connection is closed. Frames sent within one loop turn share a flush. */
    void send(Frame frame);

    /** Closes the connection after what was sent is flushed. */
    void close();

    /** Returns the far end as host:port, for logs. */
    String peer();
}
