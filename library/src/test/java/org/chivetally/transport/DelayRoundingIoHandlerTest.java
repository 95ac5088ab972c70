package org.chivetally.transport;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class DelayRoundingIoHandlerTest {
    private static final int TIMERS = 100;

    private final AtomicInteger iterations = new AtomicInteger();
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(
            1,
            DelayRoundingIoHandler.newFactory(
                    executor -> new CountingHandler(NioIoHandler.newFactory().newHandler(executor))));

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /**
     * A hundred timers expire one after the other, each 2.3 ms after the previous one. Without rounding up, the loop
     * busy-polls during the half millisecond before each timer, up to a hundred times; one or two iterations suffice.
     */
    @Test
    void sleepsUntilTheNextTimerIsDue() throws InterruptedException {
        CountDownLatch fired = new CountDownLatch(TIMERS);
        iterations.set(0);

        scheduleNext(fired);

        assertThat(fired.await(10, TimeUnit.SECONDS), is(true));
        assertThat(iterations.get(), is(lessThan(4 * TIMERS)));
    }

    private void scheduleNext(CountDownLatch fired) {
        group.next()
                .schedule(
                        () -> {
                            fired.countDown();
                            if (fired.getCount() > 0) {
                                scheduleNext(fired);
                            }
                        },
                        2_300,
                        TimeUnit.MICROSECONDS);
    }

    /** Rounding the delay down would fire timers up to a millisecond early. */
    @Test
    void neverFiresEarly() throws Exception {
        long start = System.nanoTime();
        long fired = group.next()
                .schedule(System::nanoTime, 3_700, TimeUnit.MICROSECONDS)
                .get();

        assertThat(fired - start, is(greaterThanOrEqualTo(3_700_000L)));
    }

    /** Counts the iterations of the event loop. */
    private final class CountingHandler implements IoHandler {
        private final IoHandler delegate;

        private CountingHandler(IoHandler delegate) {
            this.delegate = delegate;
        }

        @Override
        public void initialize() {
            delegate.initialize();
        }

        @Override
        public int run(IoHandlerContext context) {
            iterations.incrementAndGet();
            return delegate.run(context);
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
    }
}
