package org.chivetally.queue.warmup;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import org.chivetally.time.Timers;
import org.chivetally.transport.FrameConnection;
import org.chivetally.transport.FrameListener;
import org.chivetally.wire.v1.Frame;

/** One end of a connection in memory. Frames are written and read as over a socket, in a buffer outside the heap. */
final class InMemoryConnection implements FrameConnection {
    private static final Duration ONE_WAY_DELAY = Duration.ofMillis(1);

    /** More than any frame of an exercise takes; a buffer for each frame costs more than the frame. */
    private static final int BUFFER_BYTES = 8 * 1024;

    private final Timers timers;
    private final FrameListener listener;
    private InMemoryConnection remote;
    private ByteBuffer buffer = ByteBuffer.allocateDirect(BUFFER_BYTES);

    private InMemoryConnection(Timers timers, FrameListener listener) {
        this.timers = timers;
        this.listener = listener;
    }

    /** Connects two processes. */
    static void connect(Timers timers, FrameListener dialling, FrameListener accepting) {
        InMemoryConnection dialler = new InMemoryConnection(timers, dialling);
        InMemoryConnection acceptor = new InMemoryConnection(timers, accepting);
        dialler.remote = acceptor;
        acceptor.remote = dialler;
        accepting.connected(acceptor);
        dialling.connected(dialler);
    }

    @Override
    public void send(Frame frame) {
        Frame received = decode(encode(frame));
        timers.after(ONE_WAY_DELAY, () -> remote.listener.received(remote, received));
    }

    private ByteBuffer encode(Frame frame) {
        if (frame.getSerializedSize() > buffer.capacity()) {
            buffer = ByteBuffer.allocateDirect(frame.getSerializedSize());
        }
        buffer.clear();
        try {
            CodedOutputStream out = CodedOutputStream.newInstance(buffer);
            frame.writeTo(out);
            out.flush();
        } catch (IOException e) {
            throw new UncheckedIOException("a frame did not fit its own size", e);
        }
        return buffer.flip();
    }

    private static Frame decode(ByteBuffer buffer) {
        try {
            return Frame.parseFrom(CodedInputStream.newInstance(buffer));
        } catch (IOException e) {
            throw new UncheckedIOException("a frame can't be read back", e);
        }
    }

    @Override
    public void close() {
        // Both ends are forgotten together with the exercise.
    }

    @Override
    public String peer() {
        return "model";
    }
}
