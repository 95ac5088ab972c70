package org.chivetally.transport;

import org.chivetally.wire.v1.Frame;

/** Receives the events of one or more connections on the connection's event loop; must not block. */
public interface FrameListener {
    /** Called when the connection is open. */
    void connected(FrameConnection connection);

    /** Called for each received frame. */
    void received(FrameConnection connection, Frame frame);

    /**
     * Called when the connection is closed, or when it could not be established and {@code connected} was never called.
     *
     * @param reason cause, for logs
     */
    void disconnected(FrameConnection connection, String reason);
}
