package org.chivetally.transport;

import org.chivetally.wire.v1.Frame;

/** Told about one or more connections, on the connection's own thread; must not block. */
public interface FrameListener {
    /** The connection is open. */
    void connected(FrameConnection connection);

    /** A frame arrived. */
    void received(FrameConnection connection, Frame frame);

    /** The connection is closed, or the dial failed and {@code connected} was never called. */
    void disconnected(FrameConnection connection, String reason);
}
