package org.chivetally.queue.link;

import org.chivetally.transport.FrameListener;

/** Opens connections. */
@FunctionalInterface
public interface Dialer {
    /** Dials an address; the outcome is told to the listener. */
    void dial(String host, int port, FrameListener listener);
}
