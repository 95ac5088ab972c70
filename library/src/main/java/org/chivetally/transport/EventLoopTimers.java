package org.chivetally.transport;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.chivetally.logging.EventLine;
import org.chivetally.time.Timers;

/** Clocks and timers on a Netty event loop. */
public final class EventLoopTimers implements Timers {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final EventLoop loop;

    /** Creates timers whose actions run on the given event loop. */
    public EventLoopTimers(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public long nanos() {
        return System.nanoTime();
    }

    @Override
    public long epochMillis() {
        return System.currentTimeMillis();
    }

    @Override
    public Timer after(Duration delay, Runnable action) {
        if (delay.isZero()) {
            loop.execute(() -> run(action));
            return () -> {};
        }
        ScheduledFuture<?> future = loop.schedule(() -> run(action), delay.toNanos(), TimeUnit.NANOSECONDS);
        return () -> future.cancel(false);
    }

    private static void run(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            EventLine.of("timer-action-failed").log(LOGGER.atSevere().withCause(e));
        }
    }
}
