package org.chivetally.load;

import java.time.Duration;
import java.util.Objects;

/** A fault that is brought about at a time during a run, and its end. */
public sealed interface Fault {
    /** Returns when it begins, from the beginning of the run. */
    Duration at();

    /** Returns how long it lasts; zero leaves it until the run's end. */
    Duration lasting();

    /** Returns the name of the process or stand-in. */
    String target();

    /**
     * Settings put at a stand-in, and its earlier state put back afterwards.
     *
     * @param settings JSON object of the stand-in's fault settings
     */
    record StandInFault(Duration at, Duration lasting, String target, String settings) implements Fault {
        /** Refuses missing parts. */
        public StandInFault {
            Objects.requireNonNull(target, "target");
            Objects.requireNonNull(settings, "settings");
        }
    }

    /** Something done to a process. The load tool starts no process, so a script beside it carries these out. */
    record ProcessFault(Duration at, Duration lasting, String target, Action action) implements Fault {
        /** Refuses missing parts. */
        public ProcessFault {
            Objects.requireNonNull(target, "target");
            Objects.requireNonNull(action, "action");
        }
    }

    /** What is done to a process. */
    enum Action {
        /** Stopped by SIGSTOP; SIGCONT at the end. */
        PAUSE,
        /** Ended by SIGKILL; started again at the end. */
        KILL,
        /** Ended by SIGTERM, which asks for a graceful stop; started again at the end. */
        TERMINATE
    }
}
