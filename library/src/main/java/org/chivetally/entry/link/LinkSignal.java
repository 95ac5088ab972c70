package org.chivetally.entry.link;

import org.chivetally.transport.FrameConnection;
import org.chivetally.wire.v1.Frame;

/** Event that the transport reports about one connection. Each dial gets a new connection id; ids are never reused. */
public sealed interface LinkSignal {
    /** Returns the id of the connection. */
    long connectionId();

    /** The connection is open. */
    record Opened(long connectionId, FrameConnection connection) implements LinkSignal {}

    /** A frame arrived. */
    record Received(long connectionId, Frame frame) implements LinkSignal {}

    /** The connection is closed, or the dial failed. */
    record Closed(long connectionId, String reason) implements LinkSignal {}
}
