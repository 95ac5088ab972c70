package org.chivetally.entry.link;

import org.chivetally.transport.FrameConnection;
import org.chivetally.wire.v1.Frame;

/** What the transport reports about one dial; dials are numbered and never reused. */
public sealed interface LinkSignal {
    /** Returns the number of the dial. */
    long connectionId();

    /** The connection is open. */
    record Opened(long connectionId, FrameConnection connection) implements LinkSignal {}

    /** A frame arrived. */
    record Received(long connectionId, Frame frame) implements LinkSignal {}

    /** The connection is closed, or was never opened. */
    record Closed(long connectionId, String reason) implements LinkSignal {}
}
