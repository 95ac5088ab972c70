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

/**
 * One end of a connection in memory. Frames are encoded and decoded in a direct buffer, as on a socket, to warm up the
 * same code.
 */
final class InMemoryConnection implements FrameConnection {
    private static final Duration ONE_WAY_DELAY = Duration.ofMillis(1);

    /**
     * Size of the reused buffer: more than any warm-up frame takes. A new buffer per frame would cost more than the
     * frame.
     */
    private static final int BUFFER_BYTES = 8 * 1024;

    private final Timers timers;
    private final FrameListener listener;
    private InMemoryConnection remote;
    private ByteBuffer buffer = ByteBuffer.allocateDirect(BUFFER_BYTES);

    private InMemoryConnection(Timers timers, FrameListener listener) {
        this.timers = timers;
        this.listener = listener;
    }

    /** Connects the listeners of two processes. */
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
            throw new UncheckedIOException("a frame exceeded its serialized size", e);
        }
        return buffer.flip();
    }

    private static Frame decode(ByteBuffer buffer) {
        try {
            return Frame.parseFrom(CodedInputStream.newInstance(buffer));
        } catch (IOException e) {
            throw new UncheckedIOException("an encoded frame can't be decoded", e);
        }
    }

    @Override
    public void close() {
        // Nothing to release: both ends are garbage collected with the warm-up load.
    }

    @Override
    public String peer() {
        return "model";
    }
}
