package org.chivetally.daemon;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;

/** Creates the actor systems of the daemons. */
public final class DaemonSystem {
    private static final String SETTINGS = """
            pekko {
              loggers = ["org.apache.pekko.event.slf4j.Slf4jLogger"]
              logging-filter = "org.apache.pekko.event.slf4j.Slf4jLoggingFilter"
              loglevel = WARNING
              stdout-loglevel = WARNING
              log-dead-letters = off
              log-dead-letters-during-shutdown = off
              library-extensions = []
              # Timers of 20 ms and less decide when tasks start; the default tick of 10 ms would double them.
              scheduler.tick-duration = 1ms
              # The daemons stop in the order of their own drain; another hook would abort requests meanwhile.
              jvm-shutdown-hooks = off
              coordinated-shutdown.run-by-jvm-shutdown-hook = off
              coordinated-shutdown.exit-jvm = off
              actor.default-dispatcher.fork-join-executor {
                parallelism-min = 2
                parallelism-max = 8
              }
              http.server.server-header = "chivetally"
              http.server.transparent-head-requests = on
              http.client.user-agent-header = "chivetally"
              http.host-connection-pool.max-open-requests = 1024
            }
            """;

    private DaemonSystem() {}

    /** Starts an actor system with the daemons' settings and an empty guardian. */
    public static ActorSystem<Void> start(String name) {
        return ActorSystem.create(Behaviors.empty(), name, settings());
    }

    /** Returns the Pekko settings of the daemons, which override those of the class path. */
    public static Config settings() {
        return ConfigFactory.parseString(SETTINGS).withFallback(ConfigFactory.load());
    }
}
