package org.chivetally.transport;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.CodedOutputStream;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.chivetally.logging.EventLine;
import org.chivetally.wire.v1.Frame;

/**
 * A connection over a Netty channel.
 *
 * <p>Senders put frames into a queue; the first of them schedules one task on the channel's event loop, which encodes
 * all that wait into shared buffers and flushes once. Thus a burst of frames costs one wake-up and one write.
 */
final class NettyFrameConnection implements FrameConnection {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int BATCH_BYTES = 64 * 1024;
    private static final long CLOSE_TIMEOUT_MILLIS = 1_000;

    private final String peer;
    private final FrameMeters meters;
    private final Queue<Frame> outbound = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean flushScheduled = new AtomicBoolean();
    private volatile Channel channel;
    private volatile boolean closed;

    NettyFrameConnection(String peer, FrameMeters meters) {
        this.peer = peer;
        this.meters = meters;
    }

    void attach(Channel opened) {
        channel = opened;
    }

    void detach() {
        closed = true;
        outbound.clear();
    }

    @Override
    public void send(Frame frame) {
        Channel open = channel;
        if (closed || open == null) {
            return;
        }
        outbound.add(frame);
        if (flushScheduled.compareAndSet(false, true)) {
            execute(open, this::flushOutbound);
        }
    }

    @Override
    public void close() {
        Channel open = channel;
        if (closed || open == null) {
            return;
        }
        closed = true;
        execute(open, () -> closeAfterFlush(open));
    }

    @Override
    public String peer() {
        return peer;
    }

    private void execute(Channel open, Runnable step) {
        try {
            open.eventLoop().execute(step);
        } catch (RejectedExecutionException e) {
            // The transport is being closed, and every connection with it.
            detach();
        }
    }

    private void closeAfterFlush(Channel open) {
        flushOutbound();
        open.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        // A silent peer takes nothing more, so its flush would never end and the socket would stay for good.
        open.eventLoop().schedule(() -> open.close(), CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void flushOutbound() {
        // Cleared first: a frame added while draining is either seen by this loop or schedules the next one.
        flushScheduled.set(false);
        Frame next = outbound.poll();
        while (next != null) {
            next = writeBatch(next);
        }
        channel.flush();
    }

    /** Writes frames up to the size of a batch; returns the first one that is left. */
    private Frame writeBatch(Frame first) {
        ByteBuf batch = channel.alloc().ioBuffer(bufferSize(first));
        Frame next = first;
        while (next != null) {
            encode(next, batch);
            next = outbound.poll();
            if (batch.readableBytes() >= BATCH_BYTES) {
                break;
            }
        }
        channel.write(batch);
        return next;
    }

    private static int bufferSize(Frame first) {
        int size = CodedOutputStream.computeUInt32SizeNoTag(first.getSerializedSize()) + first.getSerializedSize();
        return Math.min(size, FrameTransport.MAXIMUM_FRAME_BYTES);
    }

    private void encode(Frame frame, ByteBuf batch) {
        int size = frame.getSerializedSize();
        if (size > FrameTransport.MAXIMUM_FRAME_BYTES) {
            dropOversize(frame, size);
            return;
        }
        int total = CodedOutputStream.computeUInt32SizeNoTag(size) + size;
        batch.ensureWritable(total);
        ByteBuffer target = batch.internalNioBuffer(batch.writerIndex(), total);
        try {
            CodedOutputStream out = CodedOutputStream.newInstance(target);
            out.writeUInt32NoTag(size);
            frame.writeTo(out);
            out.flush();
        } catch (IOException e) {
            throw new UncheckedIOException("a frame did not fit its own size", e);
        }
        batch.writerIndex(batch.writerIndex() + total);
        meters.sent(frame, size);
    }

    private void dropOversize(Frame frame, int size) {
        // The peer would close the connection over it, and fail everything else in flight there.
        meters.countOversizeFrame();
        EventLine.of("frame-oversize")
                .with("peer", peer)
                .with("body", frame.getBodyCase())
                .with("bytes", size)
                .log(LOGGER.atSevere());
    }
}
