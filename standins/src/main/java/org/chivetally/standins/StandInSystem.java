package org.chivetally.standins;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;

/** Starts actor systems whose timers are precise enough for stand-ins with delays of a few milliseconds. */
public final class StandInSystem {
    private StandInSystem() {}

    /** Starts an actor system with the timer setting of {@link #exactTimers()}. */
    public static ActorSystem<Void> start(String name) {
        return ActorSystem.create(Behaviors.empty(), name, exactTimers().withFallback(ConfigFactory.load()));
    }

    /**
     * Returns the setting that makes timers fire within 2 ms. The default tick of 10 ms would lengthen a task of 50 ms
     * by a fifth, and an append of 4 ms to several times its duration.
     */
    public static Config exactTimers() {
        return ConfigFactory.parseString("pekko.scheduler.tick-duration = 1ms");
    }
}
