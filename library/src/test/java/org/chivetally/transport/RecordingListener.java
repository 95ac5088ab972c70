package org.chivetally.transport;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.chivetally.wire.v1.Frame;

/** Records the events of connections, so that a test can wait for them. */
public final class RecordingListener implements FrameListener {
    private static final long WAIT_SECONDS = 20;

    private final BlockingQueue<FrameConnection> connections = new LinkedBlockingQueue<>();
    private final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> disconnectReasons = new LinkedBlockingQueue<>();

    @Override
    public void connected(FrameConnection connection) {
        connections.add(connection);
    }

    @Override
    public void received(FrameConnection connection, Frame frame) {
        frames.add(frame);
    }

    @Override
    public void disconnected(FrameConnection connection, String reason) {
        disconnectReasons.add(reason);
    }

    /** Waits for the next connection. */
    public FrameConnection nextConnection() throws InterruptedException {
        return next(connections);
    }

    /** Waits for the next frame. */
    public Frame nextFrame() throws InterruptedException {
        return next(frames);
    }

    /** Waits until the next connection is closed and returns the reason. */
    public String nextDisconnectReason() throws InterruptedException {
        return next(disconnectReasons);
    }

    /** Returns the number of received frames that the test has not taken. */
    public int unreadFrames() {
        return frames.size();
    }

    private static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
        T next = queue.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        if (next == null) {
            throw new AssertionError("nothing received within " + WAIT_SECONDS + " s");
        }
        return next;
    }
}
