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

/** Drains a process when it is asked to end by SIGTERM or SIGINT. */
public final class GracefulStop {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final String COMPLETE = "complete";
    private static final int DRAINED_STATUS = 0;
    private static final int INCOMPLETE_STATUS = 1;

    private final Duration drainTimeout;
    private final Supplier<CompletionStage<Void>> drain;

    /**
     * Creates a stop.
     *
     * @param limit longest wait for the drain
     * @param drain starts the drain; its stage completes when no request is in progress any more
     */
    public GracefulStop(Duration drainTimeout, Supplier<CompletionStage<Void>> drain) {
        this.drainTimeout = drainTimeout;
        this.drain = drain;
    }

    /** Registers the stop with the process and waits for a signal; never returns, as the process ends in the stop. */
    public void awaitSignal() throws InterruptedException {
        awaitSignal(new CompletableFuture<Void>());
    }

    /**
     * Registers the stop with the process and waits for a signal; the process then ends in the stop. Returns only when
     * the given stage fails first: then there is nothing left to drain.
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

    // A signal ends the JVM as soon as its hooks return; the hook therefore waits for the drain, or requests in
    // progress would be cut. The limit keeps a drain that hangs from keeping the machine.
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
