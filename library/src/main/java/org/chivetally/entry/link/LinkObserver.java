package org.chivetally.entry.link;

import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Hello;

/** Told by a {@link LinkSet}, on the thread that drives it. */
public interface LinkObserver {
    /** The process can be reached; its introduction on the newest connection is given. */
    void up(Hello hello);

    /** The process can't be reached now. */
    void down(Hello hello, String reason);

    /** A process that was not expected answers at an address. */
    void unexpectedProcess(Hello hello);

    /** A frame arrived from the process that introduced itself so. */
    void received(Hello sender, Frame frame);
}
