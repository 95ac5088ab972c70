package org.chivetally.entry.link;

import org.chivetally.transport.FrameListener;

/** Opens connections that carry frames. */
@FunctionalInterface
public interface Dialer {
    /**
     * Dials a remote address without blocking.
     *
     * @param listener called when the connection opens, receives a frame or closes, and when the dial fails
     */
    void dial(String host, int port, FrameListener listener);
}
