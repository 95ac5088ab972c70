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
 * What a daemon's process runs in.
 *
 * @param system actor system of the process
 * @param log client of the platform's log
 */
public record DaemonRuntime(ProcessSettings process, ActorSystem<Void> system, PlatformLog log) {
    /** Sets up log lines, the actor system and the log's client. */
    public static DaemonRuntime start(ProcessSettings process) {
        LogSetup.install(process.logLevel().level());
        ActorSystem<Void> system = DaemonSystem.start(process.name());
        PlatformLog log =
                new HttpPlatformLog(system, process.log().url(), process.log().requestTimeout());
        return new DaemonRuntime(process, system, log);
    }

    /** Waits for a daemon's start; throws when it failed. */
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
     * Waits for a signal, drains within the settings' limit, and ends the process.
     *
     * @param whenStopped fails when a broken invariant ended the daemon; only then this returns
     */
    public void awaitSignal(CompletionStage<Void> whenStopped, Supplier<CompletionStage<Void>> drain)
            throws InterruptedException {
        new GracefulStop(process.drainTimeout(), drain).awaitSignal(whenStopped);
    }
}
