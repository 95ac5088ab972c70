package org.chivetally.standins;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;

/**
 * Forwards the bytes that one channel reads to another channel on the same event loop, in order and after a delay. The
 * close of the channel is forwarded in the same way. Once silenced, it keeps reading but forwards nothing.
 */
final class RelayDirection extends ChannelInboundHandlerAdapter {
    private final Channel sink;
    private final LongSupplier delayNanos;
    private final Timer timer;
    private final LongAdder forwardedBytes;
    private final LongAdder withheldBytes;
    private final Queue<Item> inTransit = new ArrayDeque<>();
    private boolean silent;

    RelayDirection(
            Channel sink, LongSupplier delayNanos, Timer timer, LongAdder forwardedBytes, LongAdder withheldBytes) {
        this.sink = sink;
        this.delayNanos = delayNanos;
        this.timer = timer;
        this.forwardedBytes = forwardedBytes;
        this.withheldBytes = withheldBytes;
    }

    /** Withholds everything from now on, including the items in transit. Must be called on the event loop. */
    void silence() {
        silent = true;
        inTransit.forEach(this::withhold);
        inTransit.clear();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        enqueue(context, new Item.Bytes((ByteBuf) message));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        enqueue(context, new Item.End());
    }

    /**
     * Applies backpressure: while the peer of this channel reads too slowly, stops reading from the other channel, so
     * that the relay doesn't buffer bytes without limit.
     */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        sink.config().setAutoRead(context.channel().isWritable());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    private void enqueue(ChannelHandlerContext context, Item item) {
        if (silent) {
            withhold(item);
            return;
        }
        long delay = delayNanos.getAsLong();
        inTransit.add(item);
        if (delay == 0 && inTransit.size() == 1) {
            forwardOldest();
            return;
        }
        timer.runAfter(delay, context.executor(), this::forwardOldest);
    }

    /**
     * Forwards the oldest item in transit. Each timer forwards the oldest item rather than its own, so that bytes stay
     * in order when the delay is reduced.
     */
    private void forwardOldest() {
        switch (inTransit.poll()) {
            case null -> {}
            case Item.Bytes(ByteBuf bytes) -> {
                forwardedBytes.add(bytes.readableBytes());
                sink.writeAndFlush(bytes);
            }
            case Item.End() -> sink.writeAndFlush(sink.alloc().buffer(0)).addListener(ChannelFutureListener.CLOSE);
        }
    }

    private void withhold(Item item) {
        if (item instanceof Item.Bytes(ByteBuf bytes)) {
            withheldBytes.add(bytes.readableBytes());
            bytes.release();
        }
    }

    /** Schedules actions on an event loop. */
    @FunctionalInterface
    interface Timer {
        /** Runs an action on an event loop after a delay in nanoseconds. */
        void runAfter(long nanos, EventExecutor eventLoop, Runnable action);
    }

    /** An item to forward. */
    private sealed interface Item {
        /** Bytes read from the channel. */
        record Bytes(ByteBuf content) implements Item {}

        /** The close of the channel. */
        record End() implements Item {}
    }
}
