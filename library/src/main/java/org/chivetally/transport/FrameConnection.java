package org.chivetally.transport;

import org.chivetally.wire.v1.Frame;

/** An open connection. Thread-safe; no method blocks. */
public interface FrameConnection {
    /** Sends a frame, or drops it if the connection is closed. Frames sent within one loop iteration share a flush. */
    void send(Frame frame);

    /** Closes the connection once all frames sent before are flushed. */
    void close();

    /** Returns the remote address as host:port, for logs. */
    String peer();
}
