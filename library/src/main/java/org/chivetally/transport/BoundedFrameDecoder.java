package org.chivetally.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import java.util.List;

/**
 * Splits the byte stream into frames by their varint length prefix and rejects frames over a maximum size.
 *
 * <p>Without the limit, a peer that sends garbage could announce a frame of up to 2 GiB and make this process buffer
 * all of it. The prefix is checked before any content is buffered, which bounds the memory per connection.
 */
final class BoundedFrameDecoder extends ProtobufVarint32FrameDecoder {
    private static final int PREFIX_BYTES = 5;
    private static final int VALUE_BITS = 7;
    private static final int VALUE_MASK = 0x7f;

    private final int maximumBytes;

    BoundedFrameDecoder(int maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        checkLength(in);
        super.decode(context, in, out);
    }

    private void checkLength(ByteBuf in) {
        long length = 0;
        int available = Math.min(PREFIX_BYTES, in.readableBytes());
        for (int index = 0; index < available; index++) {
            byte next = in.getByte(in.readerIndex() + index);
            length |= (long) (next & VALUE_MASK) << (index * VALUE_BITS);
            if (next >= 0) {
                requireWithinLimit(length);
                return;
            }
        }
        if (available == PREFIX_BYTES) {
            throw new CorruptedFrameException("length prefix exceeds " + PREFIX_BYTES + " bytes");
        }
    }

    private void requireWithinLimit(long length) {
        if (length > maximumBytes) {
            throw new TooLongFrameException(
                    "frame of " + length + " bytes exceeds the maximum of " + maximumBytes + " bytes");
        }
    }
}
