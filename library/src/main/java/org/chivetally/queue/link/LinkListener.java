package org.chivetally.queue.link;

import org.chivetally.wire.v1.Frame;

/** Receives the events of links, on the event loop. */
public interface LinkListener {
    /**
     * The link is open and its peer is identified. {@link #down} was called before for an older link to that process.
     */
    void up(PeerLink link);

    /** A frame was received on a link that is up. */
    void received(PeerLink link, Frame frame);

    /**
     * The link is closed.
     *
     * @param link the link
     * @param reason why the link was closed, for log lines
     */
    void down(PeerLink link, String reason);
}
