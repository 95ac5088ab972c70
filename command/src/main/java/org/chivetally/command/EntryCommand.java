package org.chivetally.command;

import java.util.concurrent.Callable;
import org.apache.pekko.actor.typed.ActorSystem;
import org.chivetally.command.daemon.DaemonRuntime;
import org.chivetally.daemon.EntryDaemon;
import org.chivetally.settings.EntryDaemonSettings;
import org.chivetally.settings.SettingsFile;
import org.chivetally.time.NanoClock;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Runs an entry daemon. */
@Command(
        name = "entry",
        description = {
            "Run an entry, which accepts jobs from callers, coordinates them, and serves resources to operators.",
            "SIGTERM stops it gracefully: requests in progress are completed first."
        })
final class EntryCommand implements Callable<Integer> {
    private static final String SIGNAL = "signal";

    @Mixin
    private DaemonOptions options;

    @Override
    public Integer call() throws InterruptedException {
        EntryDaemonSettings settings = SettingsFile.readEntry(options.settings());
        DaemonRuntime runtime = DaemonRuntime.start(settings.process());
        ActorSystem<Void> system = runtime.system();
        EntryDaemon daemon =
                DaemonRuntime.await(EntryDaemon.start(system, settings, runtime.log(), NanoClock.system()));
        runtime.awaitSignal(daemon.whenStopped(), () -> daemon.drain(SIGNAL));
        return ExitCodes.INTERNAL;
    }
}
