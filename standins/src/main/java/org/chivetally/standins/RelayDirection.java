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
 * Forwards what one channel reads to another on the same event loop, in order, each piece after a delay; once silenced
 * it reads on and forwards nothing more. The end of the channel counts as a piece.
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

    /** Withholds from now on everything, also what is under way; on the event loop only. */
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

    /** The far side reads this channel's writes slowly: its source waits, so that the relay keeps no heap of bytes. */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        sink.config().setAutoRead(context.channel().isWritable());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    private void enqueue(ChannelHandlerContext context, Item piece) {
        if (silent) {
            withhold(piece);
            return;
        }
        long delay = delayNanos.getAsLong();
        inTransit.add(piece);
        if (delay == 0 && inTransit.size() == 1) {
            forwardOldest();
            return;
        }
        timer.runAfter(delay, context.executor(), this::forwardOldest);
    }

    /** Each timer forwards the oldest piece, not its own: a delay made shorter must not let bytes overtake others. */
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

    private void withhold(Item piece) {
        if (piece instanceof Item.Bytes(ByteBuf bytes)) {
            withheldBytes.add(bytes.readableBytes());
            bytes.release();
        }
    }

    /** Runs steps later. */
    @FunctionalInterface
    interface Timer {
        /** Runs a step on an event loop after a time in nanoseconds. */
        void runAfter(long nanos, EventExecutor eventLoop, Runnable action);
    }

    /** What is forwarded. */
    private sealed interface Item {
        /** Some bytes. */
        record Bytes(ByteBuf content) implements Item {}

        /** The end of the connection. */
        record End() implements Item {}
    }
}
