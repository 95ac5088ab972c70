package org.chivetally.transport;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandler;

/**
 * Rounds the delay until an event loop's next timer up to whole milliseconds.
 *
 * <p>The selector blocks for whole milliseconds, and Netty rounds the delay to the nearest one. Rounded down, it makes
 * the loop busy-poll during the half millisecond before each timer: an agent at 36 starts per second polled 946 times
 * per second for 139 reads. Rounding up makes a timer fire at most 1 ms late, and the shortest timer here takes 4 ms.
 */
public final class DelayRoundingIoHandler implements IoHandler {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final IoHandler delegate;

    private DelayRoundingIoHandler(IoHandler delegate) {
        this.delegate = delegate;
    }

    /** Returns a factory of NIO handlers for sockets. */
    public static IoHandlerFactory newFactory() {
        return newFactory(NioIoHandler.newFactory());
    }

    /** Returns a factory of handlers that delegate to the handlers of another factory. */
    static IoHandlerFactory newFactory(IoHandlerFactory delegates) {
        return executor -> new DelayRoundingIoHandler(delegates.newHandler(executor));
    }

    @Override
    public void initialize() {
        delegate.initialize();
    }

    @Override
    public int run(IoHandlerContext context) {
        return delegate.run(new RoundedDelayContext(context));
    }

    @Override
    public void prepareToDestroy() {
        delegate.prepareToDestroy();
    }

    @Override
    public void destroy() {
        delegate.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return delegate.register(handle);
    }

    @Override
    public void wakeup() {
        delegate.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> handleType) {
        return delegate.isCompatible(handleType);
    }

    /**
     * Reports the delay until the next timer, rounded up to whole milliseconds.
     *
     * @param delegate context of the event loop
     */
    private record RoundedDelayContext(IoHandlerContext delegate) implements IoHandlerContext {
        @Override
        public boolean canBlock() {
            return delegate.canBlock();
        }

        @Override
        public long delayNanos(long currentTimeNanos) {
            long delay = delegate.delayNanos(currentTimeNanos);
            return delay <= 0 ? 0 : Math.ceilDiv(delay, NANOS_PER_MILLI) * NANOS_PER_MILLI;
        }

        @Override
        public long deadlineNanos() {
            return delegate.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long activeNanos) {
            delegate.reportActiveIoTime(activeNanos);
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            return delegate.shouldReportActiveIoTime();
        }
    }
}
