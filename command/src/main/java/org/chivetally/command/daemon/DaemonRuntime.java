package org.chivetally.command.daemon;

import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.apache.pekko.actor.typed.ActorSystem;
import org.chivetally.daemon.DaemonSystem;
import org.chivetally.errors.ChivetallyException;
import org.chivetally.errors.ErrorCode;
import org.chivetally.log.HttpPlatformLog;
import org.chivetally.log.PlatformLog;
import org.chivetally.settings.ProcessSettings;

/**
 * Settings, actor system and log client of a daemon's process.
 *
 * @param process settings of the process
 * @param system actor system of the process
 * @param log client of the platform's log
 */
public record DaemonRuntime(ProcessSettings process, ActorSystem<Void> system, PlatformLog log) {
    /** Configures logging, starts the actor system and creates the client of the platform's log. */
    public static DaemonRuntime start(ProcessSettings process) {
        LogSetup.install(process.logLevel().level());
        ActorSystem<Void> system = DaemonSystem.start(process.name());
        PlatformLog log =
                new HttpPlatformLog(system, process.log().url(), process.log().requestTimeout());
        return new DaemonRuntime(process, system, log);
    }

    /** Waits until a daemon has started; throws {@link ChivetallyException} if its start failed. */
    public static <T> T await(CompletionStage<T> startup) {
        try {
            return startup.toCompletableFuture().join();
        } catch (CompletionException failed) {
            Throwable cause = failed.getCause();
            if (cause instanceof ChivetallyException known) {
                throw known;
            }
            throw new ChivetallyException(ErrorCode.INTERNAL, "the process can't start: " + cause.getMessage(), cause);
        }
    }

    /**
     * Waits for SIGTERM or SIGINT, drains the daemon within the drain timeout of its settings, and ends the process.
     *
     * @param whenStopped stage that fails if an internal error ended the daemon; only then this method returns
     * @param drain starts the drain; its stage completes when no request is in progress any more
     */
    public void awaitSignal(CompletionStage<Void> whenStopped, Supplier<CompletionStage<Void>> drain)
            throws InterruptedException {
        new GracefulStop(process.drainTimeout(), drain).awaitSignal(whenStopped);
    }
}
