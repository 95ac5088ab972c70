package org.chivetally.command;

import java.util.concurrent.Callable;
import org.apache.pekko.actor.typed.ActorSystem;
import org.chivetally.command.daemon.DaemonRuntime;
import org.chivetally.daemon.AgentDaemon;
import org.chivetally.settings.AgentDaemonSettings;
import org.chivetally.settings.SettingsFile;
import org.chivetally.time.NanoClock;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Runs an agent daemon. */
@Command(
        name = "agent",
        description = {
            "Run the agent of one minion, which runs tasks on it for the entries.",
            "SIGTERM stops it gracefully: requests in progress are completed first."
        })
final class AgentCommand implements Callable<Integer> {
    private static final String SIGNAL = "signal";

    @Mixin
    private DaemonOptions options;

    @Override
    public Integer call() throws InterruptedException {
        AgentDaemonSettings settings = SettingsFile.readAgent(options.settings());
        DaemonRuntime runtime = DaemonRuntime.start(settings.process());
        ActorSystem<Void> system = runtime.system();
        AgentDaemon daemon =
                DaemonRuntime.await(AgentDaemon.start(system, settings, runtime.log(), NanoClock.system()));
        runtime.awaitSignal(daemon.whenStopped(), () -> daemon.drain(SIGNAL));
        return ExitCodes.INTERNAL;
    }
}
