package org.chivetally.entry.link;

import org.chivetally.transport.FrameListener;

/** Opens connections for frames; the listener hears of the result. */
@FunctionalInterface
public interface Dialer {
    /** Dials a listener; never blocks. */
    void dial(String host, int port, FrameListener listener);
}
