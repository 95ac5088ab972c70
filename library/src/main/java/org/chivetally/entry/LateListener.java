package org.chivetally.entry;

import java.util.concurrent.atomic.AtomicReference;
import org.chivetally.transport.FrameConnection;
import org.chivetally.transport.FrameListener;
import org.chivetally.wire.v1.Frame;

/** Listens from before the entry's parts are made; connections that come earlier are closed and dialled again. */
final class LateListener implements FrameListener {
    private final AtomicReference<FrameListener> target = new AtomicReference<>();

    /** Passes everything on from now on. */
    void open(FrameListener listener) {
        target.set(listener);
    }

    @Override
    public void connected(FrameConnection connection) {
        FrameListener listener = target.get();
        if (listener == null) {
            connection.close();
            return;
        }
        listener.connected(connection);
    }

    @Override
    public void received(FrameConnection connection, Frame frame) {
        FrameListener listener = target.get();
        if (listener != null) {
            listener.received(connection, frame);
        }
    }

    @Override
    public void disconnected(FrameConnection connection, String reason) {
        FrameListener listener = target.get();
        if (listener != null) {
            listener.disconnected(connection, reason);
        }
    }
}
