package org.chivetally.queue.link;

import org.chivetally.wire.v1.Frame;

/** Told about links, on the event loop. */
public interface LinkListener {
    /** The link is open and its far end known. An older link to the same process was told down before. */
    void up(PeerLink link);

    /** A frame came on a link that is up. */
    void received(PeerLink link, Frame frame);

    /** The link is closed. */
    void down(PeerLink link, String reason);
}
