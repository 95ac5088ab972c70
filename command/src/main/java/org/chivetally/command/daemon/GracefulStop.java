package org.chivetally.command.daemon;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.chivetally.logging.EventLine;

/** Drains the process on SIGTERM or SIGINT before it ends. */
public final class GracefulStop {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final String COMPLETE = "complete";
    private static final int DRAINED_STATUS = 0;
    private static final int INCOMPLETE_STATUS = 1;

    private final Duration drainTimeout;
    private final Supplier<CompletionStage<Void>> drain;

    /**
     * Creates a graceful stop, which takes effect with {@link #awaitSignal()}.
     *
     * @param drainTimeout maximum time to wait for the drain
     * @param drain starts the drain; its stage completes when no request is in progress any more
     */
    public GracefulStop(Duration drainTimeout, Supplier<CompletionStage<Void>> drain) {
        this.drainTimeout = drainTimeout;
        this.drain = drain;
    }

    /**
     * Registers a shutdown hook and waits for a signal. Never returns, as the hook ends the process after the drain.
     */
    public void awaitSignal() throws InterruptedException {
        awaitSignal(new CompletableFuture<Void>());
    }

    /**
     * Registers a shutdown hook and waits for a signal, after which the hook drains and ends the process. Returns only
     * if the given stage fails first, as there is nothing left to drain then.
     */
    public void awaitSignal(CompletionStage<Void> whenStopped) throws InterruptedException {
        Thread hook = new Thread(this::run, "graceful-stop");
        Runtime.getRuntime().addShutdownHook(hook);
        CountDownLatch failed = new CountDownLatch(1);
        whenStopped.whenComplete((stopped, failure) -> {
            if (failure != null) {
                failed.countDown();
            }
        });
        failed.await();
        Runtime.getRuntime().removeShutdownHook(hook);
    }

    // On a signal the JVM ends as soon as its shutdown hooks return. The hook therefore waits for the drain, as
    // requests in progress would be aborted otherwise. The timeout keeps a drain that hangs from blocking the machine.
    private void run() {
        LOGGER.atInfo().log("%s", EventLine.of("drain-started").with("limit", drainTimeout));
        String result = awaitDrain();
        LOGGER.atInfo().log("%s", EventLine.of("drain-ended").with("result", result));
        Runtime.getRuntime().halt(result.equals(COMPLETE) ? DRAINED_STATUS : INCOMPLETE_STATUS);
    }

    private String awaitDrain() {
        try {
            drain.get().toCompletableFuture().get(drainTimeout.toMillis(), TimeUnit.MILLISECONDS);
            return COMPLETE;
        } catch (TimeoutException expired) {
            return "timed-out";
        } catch (ExecutionException failed) {
            return "failed: " + failed.getCause();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return "interrupted";
        }
    }
}
