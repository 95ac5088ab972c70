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
 * <p>Senders add frames to a queue. The first sender schedules a task on the channel's event loop that encodes all
 * queued frames into shared buffers and flushes once, so that a burst of frames costs one wake-up and one write.
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
        Channel openChannel = channel;
        if (closed || openChannel == null) {
            return;
        }
        outbound.add(frame);
        if (flushScheduled.compareAndSet(false, true)) {
            execute(openChannel, this::flushOutbound);
        }
    }

    @Override
    public void close() {
        Channel openChannel = channel;
        if (closed || openChannel == null) {
            return;
        }
        closed = true;
        execute(openChannel, () -> closeAfterFlush(openChannel));
    }

    @Override
    public String peer() {
        return peer;
    }

    private void execute(Channel openChannel, Runnable task) {
        try {
            openChannel.eventLoop().execute(task);
        } catch (RejectedExecutionException e) {
            // The event loop is shutting down, which closes all its connections.
            detach();
        }
    }

    private void closeAfterFlush(Channel openChannel) {
        flushOutbound();
        openChannel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        // The flush never completes if the peer has stopped reading; the timeout closes the socket in that case.
        openChannel.eventLoop().schedule(() -> openChannel.close(), CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void flushOutbound() {
        // Reset first, so that a frame added during the flush is either written by it or schedules another one.
        flushScheduled.set(false);
        Frame next = outbound.poll();
        while (next != null) {
            next = writeBatch(next);
        }
        channel.flush();
    }

    /** Writes queued frames up to the batch size; returns the first frame that was not written, or null. */
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
            throw new UncheckedIOException("the encoded frame exceeds its computed size", e);
        }
        batch.writerIndex(batch.writerIndex() + total);
        meters.sent(frame, size);
    }

    private void dropOversize(Frame frame, int size) {
        // The peer would close the connection on an oversize frame, and all requests in flight on it would fail.
        meters.countOversizeFrame();
        EventLine.of("frame-oversize")
                .with("peer", peer)
                .with("body", frame.getBodyCase())
                .with("bytes", size)
                .log(LOGGER.atSevere());
    }
}
