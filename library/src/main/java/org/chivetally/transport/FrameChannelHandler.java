package org.chivetally.transport;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.CodedInputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import java.io.IOException;
import org.chivetally.logging.EventLine;
import org.chivetally.wire.v1.Frame;

/** Parses the frames of one channel and passes them to the listener. */
final class FrameChannelHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final NettyFrameConnection connection;
    private final FrameListener listener;
    private final FrameMeters meters;
    private String closeReason = "closed by the peer";
    private boolean failed;

    FrameChannelHandler(NettyFrameConnection connection, FrameListener listener, FrameMeters meters) {
        this.connection = connection;
        this.listener = listener;
        this.meters = meters;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        connection.attach(context.channel());
        listener.connected(connection);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) throws IOException {
        if (failed) {
            return;
        }
        int length = bytes.readableBytes();
        Frame frame = Frame.parseFrom(CodedInputStream.newInstance(bytes.nioBuffer()));
        meters.received(frame, length);
        // Skips frame types that this release does not know, so that different releases can run side by side.
        if (frame.getBodyCase() != Frame.BodyCase.BODY_NOT_SET) {
            listener.received(connection, frame);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (context.channel().isWritable() || !context.channel().isActive()) {
            return;
        }
        // Buffering for a peer that has stopped reading would exhaust the memory. Its connection is closed; the peer
        // can request the missed data over a new one.
        meters.countOverflow();
        closeReason = "peer reads too slowly";
        EventLine.of("connection-overflow").with("peer", connection.peer()).log(LOGGER.atWarning());
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        connection.detach();
        listener.disconnected(connection, closeReason);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (failed) {
            return;
        }
        failed = true;
        closeReason = String.valueOf(cause);
        if (isMalformed(cause)) {
            meters.countMalformedFrame();
            EventLine.of("frame-malformed")
                    .with("peer", connection.peer())
                    .with("cause", cause)
                    .log(LOGGER.atWarning());
        } else if (cause instanceof IOException) {
            EventLine.of("connection-lost")
                    .with("peer", connection.peer())
                    .with("cause", cause)
                    .log(LOGGER.atFine());
        } else {
            EventLine.of("listener-failed")
                    .with("peer", connection.peer())
                    .log(LOGGER.atSevere().withCause(cause));
        }
        context.close();
    }

    private static boolean isMalformed(Throwable cause) {
        return cause instanceof DecoderException || cause instanceof InvalidProtocolBufferException;
    }
}
