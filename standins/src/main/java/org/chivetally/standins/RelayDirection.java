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
    private final Queue<Piece> underWay = new ArrayDeque<>();
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
        underWay.forEach(this::withhold);
        underWay.clear();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        send(context, new Piece.Bytes((ByteBuf) message));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        send(context, new Piece.End());
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

    private void send(ChannelHandlerContext context, Piece piece) {
        if (silent) {
            withhold(piece);
            return;
        }
        long delay = delayNanos.getAsLong();
        underWay.add(piece);
        if (delay == 0 && underWay.size() == 1) {
            forwardOldest();
            return;
        }
        timer.runAfter(delay, context.executor(), this::forwardOldest);
    }

    /** Each timer forwards the oldest piece, not its own: a delay made shorter must not let bytes overtake others. */
    private void forwardOldest() {
        switch (underWay.poll()) {
            case null -> {}
            case Piece.Bytes(ByteBuf bytes) -> {
                forwardedBytes.add(bytes.readableBytes());
                sink.writeAndFlush(bytes);
            }
            case Piece.End() -> sink.writeAndFlush(sink.alloc().buffer(0)).addListener(ChannelFutureListener.CLOSE);
        }
    }

    private void withhold(Piece piece) {
        if (piece instanceof Piece.Bytes(ByteBuf bytes)) {
            withheldBytes.add(bytes.readableBytes());
            bytes.release();
        }
    }

    /** Runs steps later. */
    @FunctionalInterface
    interface Timer {
        /** Runs a step on an event loop after a time in nanoseconds. */
        void runAfter(long nanos, EventExecutor eventLoop, Runnable step);
    }

    /** What is forwarded. */
    private sealed interface Piece {
        /** Some bytes. */
        record Bytes(ByteBuf content) implements Piece {}

        /** The end of the connection. */
        record End() implements Piece {}
    }
}
